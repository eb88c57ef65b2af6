/**
 * A lease on one object of the platform's store, with a fencing number. The
 * clocks of two hosts need not agree. Each process measures durations on its
 * own monotonic clock only.
 *
 * The holder renews the lease by conditional updates. Another process takes the
 * lease over when the object's version has not changed for longer than the
 * lease's duration on that process's clock. The holder measures the duration
 * from the time it *sent* its last successful update. The others measure it
 * from the time they first *saw* that version, which is later. The holder
 * therefore stops first. A margin covers clocks that run at different rates.
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

/** Number of renewals by the holder within the lease's duration. */
const RENEWALS_PER_TTL = 3;
/** Number of reads by another candidate within the lease's duration. */
const READS_PER_TTL = 2;
/** Number of retries within the lease's duration after a failed call. */
const RETRIES_PER_TTL = 10;
/**
 * Each delay varies at random by up to this share in either direction. This
 * prevents many processes from calling the store at the same time.
 */
const JITTER_SHARE = 0.2;
/** Mean time between two reads by a process that is not a candidate. */
const NON_CANDIDATE_READ_MS = 60_000;
const NONCE_BYTES = 8;

/** The lease to acquire, its durations, and the process that acquires it. */
export interface LeaseOptions {
  /** Each call must end within a time limit, with a failure if necessary. */
  readonly store: ObjectStore;
  /** Key of the lease's object in the store. */
  readonly key: string;
  /** How long the lease lasts after a renewal, in milliseconds. */
  readonly ttlMs: number;
  /**
   * The holder stops this many milliseconds before the lease's end. The margin
   * covers clocks that run at different rates, and the time between a check of
   * `valid()` and the effect of the action that follows the check.
   */
  readonly marginMs: number;
  /** Name of this process. */
  readonly holder: NodeId;
  readonly runtime: Pick<Runtime, 'clock' | 'random' | 'log' | 'invariant'>;
  /**
   * Highest fencing number that this process received from other sources. It
   * keeps the numbers increasing after the object was removed.
   * @default always 0
   */
  readonly fenceFloor?: () => FencingNumber;
  /**
   * Whether this process is one of the few candidates that read the lease
   * often. The others read it about once in `NON_CANDIDATE_READ_MS`. This keeps
   * the number of store calls from growing with the number of hosts.
   * @default always true
   */
  readonly isCandidate?: () => boolean;
  /**
   * How long the object must have been missing before this process creates it,
   * in milliseconds. If heartbeats carry `fenceFloor`, this time must be longer
   * than a heartbeat takes, and longer than a former holder may still consider
   * its lease valid. @default 0
   */
  readonly createAfterMs?: number;
  /** Called when this process acquires the lease or detects its loss. */
  readonly onChange?: (held: boolean) => void;
}

/** A lease as used by one process. */
export interface Lease {
  /** Whether this process may act now. Must be called before each action. */
  valid(): boolean;
  /** Fencing number of the newest lease seen, of any holder; initially 0. */
  fence(): FencingNumber;
  /** Holder of the newest lease seen; empty when nobody holds it. */
  holder(): NodeId;
  /** Starts the lease, and stops it when the service in `ctx` ends. */
  run(ctx: Pick<ServiceContext<ServiceName>, 'own'>): void;
  /** Starts to read, acquire and renew the lease. */
  start(): void;
  /** Releases the lease, so that another process can acquire it at once. */
  stop(): Promise<void>;
}

/** The newest version of the lease that this process saw in the store. */
interface SeenLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** Time when this version was first seen, on this process's clock. */
  readonly firstSeenAt: number;
}

/** The lease held by this process, proven by a conditional update. */
interface HeldLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** Time when the proving update was sent, on this process's clock. */
  readonly provenAt: number;
}

/** A write by this process whose effect is not known yet. */
interface PendingWrite {
  readonly record: LeaseRecord;
  /** Time when the first attempt was sent, on this process's clock. */
  readonly sentAt: number;
}

/** Creates a lease. The process starts to acquire it at `run` or `start`. */
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
  /** Time since which no read found the object, on this process's clock. */
  let missingSince: number | undefined;
  let nextNonCandidateReadAt =
    clock.now() + NON_CANDIDATE_READ_MS * random.next();

  // The result is computed from the clock at each call and never cached. A
  // process that was suspended past the end of its lease resumes with overdue
  // timers and queued responses. Its lease must be invalid before any of their
  // handlers runs.
  const valid = () =>
    running &&
    held !== undefined &&
    clock.now() < held.provenAt + ttlMs - marginMs;

  const recordSeen = (version: number, record: LeaseRecord) => {
    // A stale read returns an older version. Recording it would restart the
    // holder's duration, or show a holder that has lost the lease.
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

  /** Reads the object. False if the read failed or gave no lease record. */
  const readLease = async (): Promise<boolean> => {
    const read = await store.get(key, 'lease');
    if (read.isLeft()) return false;
    const object = read.unsafeCoerce().extract();
    // A stale read may find no object although a lease exists. Only a
    // conditional write proves that the object does not exist.
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

  /** Compares the newest lease seen with this process's own writes. */
  const reconcile = () => {
    if (seen === undefined) return;
    const {version, record} = seen;
    if (
      pendingWrite !== undefined &&
      isSameWrite(record, pendingWrite.record)
    ) {
      // The write took effect although its response was lost. The lease runs
      // from the first attempt, which may be the one that took effect.
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
    // The lease runs from a time before the call. The response may arrive much
    // later, while others may measure from any time after the write's effect.
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
    // After a conflict or a lost response, the stored object decides. The
    // conflict may be with an earlier write by this process, whose response
    // was lost.
    await readLease();
  };

  const nextRecord = (number: FencingNumber): LeaseRecord => {
    seq += 1;
    return {holder: options.holder, nonce, seq, fence: number, ttlMs};
  };

  const renew = async (lease: HeldLease): Promise<boolean> => {
    // The same record is sent again until its outcome is known. If a new record
    // were sent, an earlier one that takes effect late would look like a write
    // by another process.
    const record = pendingWrite?.record ?? nextRecord(lease.record.fence);
    return write(record, lease.version);
  };

  const isFree = (lease: SeenLease) => {
    if (lease.record.holder === FREE_HOLDER) return true;
    // The setting may have changed, so the longer of both durations applies.
    const longerTtlMs = Math.max(lease.record.ttlMs, ttlMs);
    return clock.now() - lease.firstSeenAt > longerTtlMs;
  };

  // An operator may have removed the object. A process that has just started
  // knows no fencing number and would start at 1 again. Sides could then not
  // distinguish its orders from those of the previous placer, which may still
  // consider its lease valid.
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

  /**
   * Tries to acquire the lease, unless this process is not a candidate and its
   * next read is not due. Any process may try at any time, as only the
   * conditional write acquires the lease.
   */
  const acquireIfDue = async (): Promise<boolean> => {
    const isNonCandidate = options.isCandidate?.() === false;
    if (isNonCandidate && clock.now() < nextNonCandidateReadAt) return true;
    nextNonCandidateReadAt =
      clock.now() + NON_CANDIDATE_READ_MS * (0.5 + random.next());
    return tryAcquire();
  };

  const nextDelayMs = (ok: boolean) => {
    // A renewal may be proven for a time so long ago that the lease is already
    // invalid. The next renewal is then due soon.
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
    // The lease becomes invalid here before it is released in the store, so no
    // other process can hold it while this one still acts.
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
