/**
 * Admits bodies by the memory of this process: what is resident, and what has
 * been admitted and is not resident yet. A body for which there is no room waits
 * for it in turn, a short time, or is rejected.
 */
import type {Cancel, Clock} from '../../types/runtime.js';
import {createGuard} from '../../utils/callback_guard.js';
import type {MemoryShares} from '../decide/memory_share.js';
import type {MemoryReading, ProcessMemory} from './process_memory.js';

/** Interval while requests wait for room. */
const WAITING_INTERVAL_MS = 20;
/**
 * Interval at which buffers are collected while memory is short: chunks of
 * answers pass through the process, and nobody asks for room meanwhile.
 */
const SHORT_INTERVAL_MS = 20;
/** A reading is not repeated within this time, in milliseconds. */
const FRESH_MS = 5;
/**
 * Requests that take up to so much do not wait. They use the room that others
 * leave, and what is reserved for them.
 */
const SMALL_BYTES = 192 * 1024;
/**
 * Bytes of a body that wait unread: those that came with the headers, and those
 * in the kernel's buffer.
 */
const WAITING_BYTES = 160 * 1024;
/**
 * Unread bytes of the few bodies that wait beyond the share of small requests.
 * The allocator may keep so much of earlier bodies that no other could ever wait
 * for the one that is being read.
 */
const WAITING_RESERVE_BYTES = 5 * WAITING_BYTES;
/** Buffers to collect, as a share of the limit, for which a collection pays. */
const GARBAGE_SHARE = 0.04;
/**
 * Largest share of the limit that counts as free within the resident size. The
 * allocator keeps part of what is freed, and gives it to later bodies.
 */
const REUSABLE_SHARE = 0.06;
/** Share of the growth outside the heap and the buffers that can be used again. */
const REUSABLE_GROWTH = 0.5;
/**
 * Bytes that are read between two collections while memory is short, as a share
 * of the limit. Each byte is copied into its body, and what was read of it stays
 * resident until it is collected.
 */
const COPIED_SHARE = 0.02;
/** Shortest time between two collections of each kind, in milliseconds. */
const COLLECT_INTERVAL_MS = {minor: 40, major: 250} as const;

export interface MemoryRoomOptions {
  readonly clock: Clock;
  readonly memory: ProcessMemory;
  readonly shares: MemoryShares;
  /** Bytes of the buffers that are in use. */
  usedBytes(): number;
  /** Bytes that open small requests take; see `isSmall`. */
  smallBytes(): number;
  /** Called with each reading. */
  onReading(reading: MemoryReading): void;
}

export interface MemoryRoom {
  /**
   * Admits so many bytes at once, or within `maxWaitMs`. The result is false
   * when they are not admitted. `whenLeft` calls its argument when the caller
   * leaves, which ends the wait.
   */
  take(
    bytes: number,
    maxWaitMs: () => number,
    whenLeft: (run: () => void) => void,
  ): boolean | Promise<boolean>;
  /** Bytes that were admitted are resident by now. */
  filled(bytes: number): void;
  /** Bytes that were admitted do not come any more. */
  dropped(bytes: number): void;
  /** Notes bytes that were not admitted before they came. */
  grew(bytes: number): void;
  /** Whether there is room for what may not wait. */
  hasRoom(): boolean;
  /** Whether there is room for a connection, whose requests may be rejected. */
  admitsConnection(): boolean;
  /** Whether requests wait for room. */
  isAwaited(): boolean;
  /** To be called at intervals. */
  measure(): void;
  stop: Cancel;
}

interface Waiting {
  readonly bytes: number;
  readonly unread: number;
  end(isAdmitted: boolean): void;
  /** Ends the wait by an error in a callback of it. */
  fail(err: unknown): void;
}

export function createMemoryRoom(options: MemoryRoomOptions): MemoryRoom {
  const {clock, memory, shares} = options;
  const waiting = new Set<Waiting>();
  /** Bytes that were admitted and are not resident yet. */
  let unfilled = 0;
  let waitingBytes = 0;
  /** Resident and unfilled bytes at the latest reading. */
  let measured = 0;
  /** Bytes that were admitted or came since. */
  let since = 0;
  let measuredAt = -Infinity;
  let arrayBuffers = 0;
  let otherAtStart: number | undefined;
  /** Bytes that were read since the last collection. */
  let copied = 0;
  const collectedAt = {minor: -Infinity, major: -Infinity};
  let cancelPump: Cancel | undefined;
  let cancelWatch: Cancel | undefined;
  let isStopped = false;

  const measure = (): void => {
    const reading = memory.read();
    measuredAt = clock.now();
    if (reading === undefined) return;
    arrayBuffers = reading.arrayBuffers;
    const other = otherBytes(reading);
    otherAtStart ??= other;
    const reusable = Math.min(
      Math.max(0, other - otherAtStart) * REUSABLE_GROWTH,
      shares.limit * REUSABLE_SHARE,
    );
    measured = reading.resident - reusable + unfilled;
    since = 0;
    options.onReading(reading);
  };
  const measureIfOld = (): void => {
    if (clock.now() - measuredAt >= FRESH_MS) measure();
  };
  const collect = (kind: 'minor' | 'major'): void => {
    copied = 0;
    memory.collect(kind);
    collectedAt[kind] = clock.now();
  };
  const collectIfDue = (kind: 'minor' | 'major'): void => {
    const garbage = arrayBuffers - options.usedBytes();
    const now = clock.now();
    if (garbage < shares.limit * GARBAGE_SHARE) return;
    if (now - collectedAt[kind] < COLLECT_INTERVAL_MS[kind]) return;
    collect(kind);
    measure();
  };
  /** Bounds what was copied by its amount; much may come in a short time. */
  const copy = (bytes: number): void => {
    copied += bytes;
    if (copied < shares.limit * COPIED_SHARE) return;
    if (isHigh()) collect('minor');
  };
  const isHigh = (): boolean => measured + since > shares.normal;
  const watch = (): void => {
    cancelWatch = undefined;
    measureIfOld();
    if (isHigh()) collectIfDue('minor');
    watchIfHigh();
  };
  const watchIfHigh = (): void => {
    if (cancelWatch !== undefined || isStopped || !isHigh()) return;
    cancelWatch = clock.after(SHORT_INTERVAL_MS, watch, 'memory while short');
  };
  const fits = (bytes: number, bound: number): boolean =>
    measured + since + waitingBytes + bytes <= bound;
  /** Without what is only announced. */
  const residentBytes = (): number => measured + since - unfilled;
  const fitsReserve = (bytes: number): boolean =>
    options.smallBytes() + bytes <= shares.reserved &&
    residentBytes() + bytes <= shares.connections;
  /** Measures, and collects, only where there seems to be no room. */
  const makeRoom = (hasRoom: () => boolean): boolean => {
    if (hasRoom()) return true;
    measureIfOld();
    if (hasRoom()) return true;
    collectIfDue('minor');
    if (hasRoom()) return true;
    collectIfDue('major');
    return hasRoom();
  };
  const makeRoomFor = (bytes: number, bound: number): boolean =>
    makeRoom(() => fits(bytes, bound));
  /**
   * While nothing is held, one body may use more: what the allocator keeps could
   * otherwise keep out every large body for good.
   */
  const boundOfBodies = (): number =>
    options.usedBytes() <= SMALL_BYTES ? shares.connections : shares.bodies;
  const mayWait = (bytes: number): boolean => {
    if (isSmall(bytes) || bytes > shares.bodies) return false;
    const unread = Math.min(bytes, WAITING_BYTES);
    const isAmongFew = waitingBytes + unread <= WAITING_RESERVE_BYTES;
    return fits(unread, isAmongFew ? shares.connections : shares.small);
  };
  const admit = (bytes: number): void => {
    unfilled += bytes;
    since += bytes;
  };

  const makeRoomForWaiting = ({bytes, unread}: Waiting): boolean => {
    waitingBytes -= unread;
    try {
      return makeRoomFor(bytes, boundOfBodies());
    } finally {
      waitingBytes += unread;
    }
  };
  /** An error at one body does not keep the others from their room. */
  const pump = (): void => {
    cancelPump = undefined;
    for (const next of waiting) {
      try {
        if (!makeRoomForWaiting(next)) break;
        admit(next.bytes);
        next.end(true);
      } catch (err) {
        next.fail(err);
      }
    }
    schedulePump();
  };
  const schedulePump = (): void => {
    if (waiting.size === 0 || cancelPump !== undefined) return;
    cancelPump = clock.after(WAITING_INTERVAL_MS, pump);
  };
  const wait = (
    bytes: number,
    maxWaitMs: number,
    whenLeft: (run: () => void) => void,
  ): Promise<boolean> =>
    new Promise((resolve, reject) => {
      const unread = Math.min(bytes, WAITING_BYTES);
      const settle = (run: () => void): void => {
        if (!waiting.delete(entry)) return;
        waitingBytes -= unread;
        run();
        cancelTimer();
      };
      const entry: Waiting = {
        bytes,
        unread,
        end: isAdmitted => settle(() => resolve(isAdmitted)),
        fail: err => settle(() => reject(err)),
      };
      const guard = createGuard(entry.fail);
      const giveUp = guard('wait for room', () => entry.end(false));
      const cancelTimer = clock.after(maxWaitMs, giveUp);
      whenLeft(giveUp);
      waiting.add(entry);
      waitingBytes += unread;
      guard('wait for room', schedulePump)();
    });

  measure();
  return {
    take: (bytes, maxWaitMs, whenLeft) => {
      const hasRoom = isSmall(bytes)
        ? makeRoomFor(bytes, shares.small) || fitsReserve(bytes)
        : waiting.size === 0 && makeRoomFor(bytes, boundOfBodies());
      if (hasRoom) {
        admit(bytes);
        return true;
      }
      return mayWait(bytes) && wait(bytes, maxWaitMs(), whenLeft);
    },
    filled: bytes => {
      unfilled -= bytes;
      copy(bytes);
    },
    dropped: bytes => {
      unfilled -= bytes;
      since -= bytes;
    },
    grew: bytes => {
      since += bytes;
      watchIfHigh();
    },
    hasRoom: () => makeRoomFor(0, shares.small),
    admitsConnection: () =>
      makeRoom(() => residentBytes() <= shares.connections),
    isAwaited: () => waiting.size > 0,
    measure: () => {
      measure();
      watchIfHigh();
    },
    stop: () => {
      isStopped = true;
      cancelWatch?.();
      cancelPump?.();
      for (const next of [...waiting]) next.end(false);
    },
  };
}

/** Whether a request that takes so many bytes is a small one. */
export function isSmall(bytes: number): boolean {
  return bytes <= SMALL_BYTES;
}

/** The program's own pages, and what the allocator holds for no buffer. */
function otherBytes(reading: MemoryReading): number {
  return reading.resident - reading.heapTotal - reading.arrayBuffers;
}
