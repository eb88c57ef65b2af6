/**
 * A lease on one object of the platform's store, with a fencing number. The
 * clocks of two hosts never need to agree: each process measures durations on
 * its own monotonic clock only.
 *
 * The holder proves itself by conditional updates. Another process takes over
 * when the object's version stood still for longer than the lease's duration
 * on that process's clock. The holder counts from the moment it *sent* its
 * last successful update, the others from the moment they first *saw* its
 * version, which is later; so the holder gives up first, by a margin that
 * covers unlike clock rates.
 */
import type {ServiceContext, ServiceName} from '../types/kernel.js';
import type {FencingNumber, NodeId} from '../types/ids.js';
import type {ObjectStore, StoreError} from '../types/platform.js';
import type {Cancel, Runtime} from '../types/runtime.js';
import {PLATFORM_EVENTS} from '../utils/events.js';
import {
  FREE_HOLDER,
  formatLeaseRecord,
  parseLeaseRecord,
} from './lease_record.js';
import type {LeaseRecord} from './lease_record.js';

/** The holder renews this many times within the lease's duration. */
const RENEWALS_PER_TTL = 3;
/** Others look this many times within the lease's duration. */
const READS_PER_TTL = 2;
/** After a failed call, the next try comes after this part of the duration. */
const RETRIES_PER_TTL = 10;
/** Pauses are spread by this share to either side, against herds. */
const JITTER_SHARE = 0.2;
/** Pause between two looks of a process that is no candidate. */
const NON_CANDIDATE_READ_MS = 60_000;
const NONCE_BYTES = 8;

/** The lease to hold, its times, and who wants it. */
export interface LeaseOptions {
  /** Its calls must end within a time limit, as failures if need be. */
  readonly store: ObjectStore;
  readonly key: string;
  /** How long the lease lasts after a renewal. */
  readonly ttlMs: number;
  /**
   * The holder stops this long before the end. It covers clocks that run at
   * unlike rates and the time from a check of `valid()` to the effect of what
   * is done on its strength.
   */
  readonly marginMs: number;
  /** Name of this process. */
  readonly holder: NodeId;
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'log' | 'invariant'>;
  /**
   * Highest fencing number that this process heard of elsewhere. Keeps the
   * numbers growing when the object was removed. @default always 0
   */
  readonly fenceFloor?: () => FencingNumber;
  /**
   * Whether this process should be among the few that look at the lease often.
   * The others look once in `IDLE_LOOK_MS`, so that the calls to the store do
   * not grow with the fleet. @default always true
   */
  readonly isCandidate?: () => boolean;
  /**
   * How long the object must have been missing before it is made, in
   * milliseconds. With heartbeats that carry `fenceFloor` it should be over
   * what those take, and over the time for which a holder still believes.
   * @default 0
   */
  readonly createAfterMs?: number;
  /** Called when this process gains the lease or learns that it lost it. */
  readonly onChange?: (held: boolean) => void;
}

/** This process's part in a lease. */
export interface Lease {
  /** Whether this process may act now; to be asked before each action. */
  valid(): boolean;
  /** Number of the newest lease seen, ours or another's; 0 before any. */
  fence(): FencingNumber;
  /** Holder of the newest lease seen; empty when there is none. */
  holder(): NodeId;
  /** Starts, and stops when the service that owns it ends. */
  run(ctx: Pick<ServiceContext<ServiceName>, 'own'>): void;
  start(): void;
  /** Gives the lease up, so that another may take it at once. */
  stop(): Promise<void>;
}

/** The lease as last seen in the store. */
interface SeenLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** On this process's clock: when this version was first seen. */
  readonly firstSeenAt: number;
}

/** Our lease, proven by a conditional update. */
interface HeldLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** On this process's clock: when the proving update was sent. */
  readonly provenAt: number;
}

/** A write of ours whose effect is not known yet. */
interface PendingWrite {
  readonly record: LeaseRecord;
  /** When the first try of it was sent. */
  readonly sentAt: number;
}

/** Makes a lease that nobody tries for until `run` or `start`. */
export function createLease(options: LeaseOptions): Lease {
  const {store, key, ttlMs, marginMs, runtime} = options;
  const {clock, random, log} = runtime;
  const nonce = random.hex(NONCE_BYTES);
  let seen: SeenLease | undefined;
  let held: HeldLease | undefined;
  let pendingWrite: PendingWrite | undefined;
  let seq = 0;
  let highestFence: FencingNumber = 0;
  let running = false;
  let cancelNextStep: Cancel = () => undefined;
  let currentStep: Promise<void> = Promise.resolve();
  /** On this process's clock: since when no look found the object. */
  let missingSince: number | undefined;
  let nextNonCandidateReadAt =
    clock.now() + NON_CANDIDATE_READ_MS * random.next();

  // Computed from the clock at each call and never kept: a process that was
  // frozen past its lease wakes with timers unfired and answers queued, and
  // must find itself without the lease before any of them runs.
  const valid = () =>
    running &&
    held !== undefined &&
    clock.now() < held.provenAt + ttlMs - marginMs;

  const recordSeen = (version: number, record: LeaseRecord) => {
    // A stale read shows an older version. Taking it would restart the
    // holder's time, or show a holder that has lost the lease.
    if (seen !== undefined && version <= seen.version) return;
    seen = {version, record, firstSeenAt: clock.now()};
    highestFence = Math.max(highestFence, record.fence);
  };

  const recordLoss = (why: string) => {
    if (held === undefined) return;
    log(PLATFORM_EVENTS.leaseLost, {
      key,
      fence: held.record.fence,
      why,
    });
    held = undefined;
    options.onChange?.(false);
  };

  const recordHeld = (
    version: number,
    record: LeaseRecord,
    provenAt: number,
  ) => {
    pendingWrite = undefined;
    runtime.invariant(record.fence >= highestFence, 'fence-grows', {
      key,
      fence: record.fence,
      highestFence,
    });
    recordSeen(version, record);
    const isNew = held === undefined;
    held = {version, record, provenAt};
    if (!isNew) return;
    log(PLATFORM_EVENTS.leaseTaken, {key, fence: record.fence});
    options.onChange?.(true);
  };

  /** Reads the object; false when that gave no lease record to go by. */
  const readLease = async (): Promise<boolean> => {
    const read = await store.get(key, 'lease');
    if (read.isLeft()) return false;
    const object = read.unsafeCoerce().extract();
    // A stale read may show nothing where there is a lease; only a
    // conditional write decides that there is none.
    if (object === undefined) {
      missingSince ??= clock.now();
      return true;
    }
    missingSince = undefined;
    const record = parseLeaseRecord(object.value).extract();
    if (record === undefined) return false;
    recordSeen(object.version, record);
    reconcile();
    return true;
  };

  /** Compares what was read with our own writes. */
  const reconcile = () => {
    if (seen === undefined) return;
    const {version, record} = seen;
    if (
      pendingWrite !== undefined &&
      isSameWrite(record, pendingWrite.record)
    ) {
      // The write took effect though its answer was lost. It counts from the
      // first try: a later one may not be the one that took effect.
      recordHeld(version, record, pendingWrite.sentAt);
    } else if (held !== undefined && version > held.version) {
      recordLoss('taken over');
      pendingWrite = undefined;
    }
  };

  const isSameWrite = (a: LeaseRecord, b: LeaseRecord) =>
    a.nonce === b.nonce && a.seq === b.seq;

  /** Writes `record` over `version`, or creates it for version 0. */
  const write = async (record: LeaseRecord, version: number) => {
    // Counted from before the call: the answer may come any time later, and
    // others may count from any moment after the effect.
    const earlier =
      pendingWrite !== undefined && isSameWrite(pendingWrite.record, record)
        ? pendingWrite
        : undefined;
    const trackedWrite = earlier ?? {record, sentAt: clock.now()};
    pendingWrite = trackedWrite;
    const value = formatLeaseRecord(record);
    const written =
      version === 0
        ? await store.create(key, value, 'lease')
        : await store.update(key, value, version, 'lease');
    await written.caseOf<void | Promise<void>>({
      Right: object => recordHeld(object.version, record, trackedWrite.sentAt),
      Left: err => {
        if (err.effect === 'none') pendingWrite = earlier;
        return handleWriteFailure(err, version);
      },
    });
    return written.isRight();
  };

  const handleWriteFailure = async (err: StoreError, version: number) => {
    if (err.kind === 'unavailable' && err.effect === 'none') return;
    const isGone = err.kind !== 'unavailable' && err.version === 0;
    if (isGone && version > 0) {
      recordLoss('removed');
      seen = undefined;
      pendingWrite = undefined;
      return;
    }
    // Conflict or lost answer: what is stored decides. A conflict may be
    // with our own earlier write, whose answer was lost.
    await readLease();
  };

  const nextRecord = (number: FencingNumber): LeaseRecord => {
    seq += 1;
    return {holder: options.holder, nonce, seq, fence: number, ttlMs};
  };

  const renew = async (lease: HeldLease): Promise<boolean> => {
    // The same record is sent again until its fate is known. A new one would
    // make an earlier one, taking effect late, look like another's write.
    const record = pendingWrite?.record ?? nextRecord(lease.record.fence);
    return write(record, lease.version);
  };

  const isFree = (lease: SeenLease) => {
    if (lease.record.holder === FREE_HOLDER) return true;
    // The longer duration of the two, in case the setting was changed.
    const longerTtlMs = Math.max(lease.record.ttlMs, ttlMs);
    return clock.now() - lease.firstSeenAt > longerTtlMs;
  };

  // Someone may have removed the object. A process that was just started has
  // heard of no number, would begin at 1 again, and sides could not tell its
  // orders from those of the placer before, which may still believe.
  const mayCreate = () =>
    missingSince === undefined ||
    clock.now() - missingSince >= (options.createAfterMs ?? 0);

  const tryAcquire = async (): Promise<boolean> => {
    if (!(await readLease())) return false;
    if (held !== undefined) return true;
    if (seen !== undefined && !isFree(seen)) return true;
    if (!mayCreate()) return true;
    const floor = options.fenceFloor?.() ?? 0;
    const number = Math.max(floor, highestFence) + 1;
    const reusableRecord =
      pendingWrite?.record.fence === number ? pendingWrite.record : undefined;
    return write(reusableRecord ?? nextRecord(number), seen?.version ?? 0);
  };

  /** Correct whoever looks, as only the conditional write takes the lease. */
  const acquireIfDue = async (): Promise<boolean> => {
    const isNonCandidate = options.isCandidate?.() === false;
    if (isNonCandidate && clock.now() < nextNonCandidateReadAt) return true;
    nextNonCandidateReadAt =
      clock.now() + NON_CANDIDATE_READ_MS * (0.5 + random.next());
    return tryAcquire();
  };

  const nextDelayMs = (ok: boolean) => {
    // A renewal may be proven only as of long ago; the next one is then due.
    const isRetry = !ok || (held !== undefined && !valid());
    const usualStepsPerTtl =
      held === undefined ? READS_PER_TTL : RENEWALS_PER_TTL;
    const stepsPerTtl = isRetry ? RETRIES_PER_TTL : usualStepsPerTtl;
    const jitterFactor = 1 + JITTER_SHARE * (2 * random.next() - 1);
    return (ttlMs / stepsPerTtl) * jitterFactor;
  };

  const step = async () => {
    const ok = held === undefined ? await acquireIfDue() : await renew(held);
    if (!ok && held !== undefined) {
      log(PLATFORM_EVENTS.leaseNotRenewed, {
        key,
        fence: held.record.fence,
        valid: valid(),
      });
    }
    if (!running) return;
    cancelNextStep = clock.after(nextDelayMs(ok), () => {
      currentStep = step();
    });
  };

  const start = () => {
    if (running) return;
    running = true;
    currentStep = step();
  };

  const stop = async () => {
    if (!running) return;
    // First not valid, then free: nobody can hold it while we still act.
    running = false;
    cancelNextStep();
    await currentStep;
    if (held === undefined) return;
    const {version, record} = held;
    const free = {...nextRecord(record.fence), holder: FREE_HOLDER};
    await store.update(key, formatLeaseRecord(free), version, 'lease');
    recordLoss('stopped');
  };

  return {
    valid,
    fence: () => highestFence,
    holder: () => (seen === undefined ? FREE_HOLDER : seen.record.holder),
    run: ctx => {
      start();
      ctx.own(stop);
    },
    start,
    stop,
  };
}
