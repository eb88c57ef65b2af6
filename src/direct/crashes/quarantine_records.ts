/**
 * Keeps records of requests that crash replicas in the platform's store.
 * Entries first report such requests to each other in datagrams. The records
 * are for entries that the datagrams do not reach, and for the time after all
 * entries have restarted.
 */
import type {Cancel, Clock, Log, Random} from '../../types/runtime.js';
import {
  createGuard,
  guardClock,
  toProcess,
} from '../../utils/callback_guard.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {CrashReport, QuarantineRecord} from './crash_reports.js';
import {followCollection} from '../collection_follower.js';
import type {CollectionFollower} from '../collection_follower.js';
import {QUARANTINE_MS} from './suspect_table.js';
import {faultFields} from '../followed/collection.js';
import type {StoreFault} from '../followed/collection.js';
import type {DirectStore} from '../types.js';

/**
 * The entry that saw the last crash writes the record at once. Its peers write
 * it after this time, in milliseconds, if the store does not show it by then.
 */
const REPORTER_WRITE_GRACE_MS = 1_000;
/**
 * The peers write at random times within this period, in milliseconds, and so
 * do all entries after a restore of the store.
 */
const WRITE_SPREAD_MS = 2_000;
/** Pause before a failed write or removal is repeated, in milliseconds. */
const RETRY_MS = 1_000;
/** Interval between checks for expired records, in milliseconds. */
const EXPIRY_CHECK_MS = 60_000;

export interface QuarantineRecordsOptions extends StepOwner {
  readonly store: Pick<
    DirectStore,
    'quarantine' | 'writeQuarantine' | 'removeQuarantine' | 'claimTrial'
  >;
  readonly clock: Clock;
  /** Returns the time of day, in milliseconds. */
  readonly wallMs: () => number;
  readonly random: Random;
  readonly log: Log;
  /** See `CollectionFollowerOptions`. */
  waitMs(): number;
  maxRetryMs(): number;
  onReports(reports: readonly CrashReport[]): void;
  onFault(fault: StoreFault): void;
  /**
   * The record was removed, by an operator or by an entry after it had expired.
   */
  onReleased(digest: string): void;
}

export interface QuarantineRecords extends Pick<
  CollectionFollower,
  'observeEra'
> {
  /**
   * Makes sure that the store has a record of the report. `isOwn` is true where
   * this entry saw the last crash.
   */
  ensureStored(report: CrashReport, isOwn: boolean): void;
  /**
   * The subject ran well. This entry removes its record if it saw the run, with
   * `isOwn`, or has written the record.
   */
  clear(digest: string, isOwn: boolean): void;
  /**
   * Claims a trial of a quarantined request for this entry. Resolves to true for
   * one claim among all entries, to false for the others, and to undefined if
   * the call to the store failed.
   */
  claimTrial(
    digest: string,
    trial: number,
    claimant: string,
  ): Promise<boolean | undefined>;
  /** Reports all stored records again. */
  reportAll(): void;
  /** The store was restored from an older copy. */
  storeRestored(): void;
  stop: Cancel;
}

export function createQuarantineRecords(
  options: QuarantineRecordsOptions,
): QuarantineRecords {
  const {store, random, log, wallMs, onError = toProcess} = options;
  const guard = createGuard(onError);
  const clock = guardClock(options.clock, guard, 'quarantine records');
  const storedRecords = new Map<string, QuarantineRecord>();
  /**
   * Records that this entry has written, or will write unless a peer does so
   * first.
   */
  const recordsToStore = new Map<string, QuarantineRecord>();
  /** Digests of the records that this entry has written. */
  const written = new Set<string>();
  let isStopped = false;

  const handleRecords = (
    records: ReadonlyMap<string, QuarantineRecord | undefined>,
  ) => {
    const reports: CrashReport[] = [];
    for (const [digest, record] of records) {
      if (record === undefined) {
        storedRecords.delete(digest);
        recordsToStore.delete(digest);
        written.delete(digest);
        options.onReleased(digest);
      } else if (!isExpired(record)) {
        storedRecords.set(digest, record);
        reports.push(record);
      }
    }
    if (reports.length > 0) options.onReports(reports);
  };
  const isExpired = ({writtenAt}: QuarantineRecord) =>
    wallMs() - writtenAt > QUARANTINE_MS;

  const logFailed = (step: string, fault: StoreFault): void =>
    log(DIRECT_EVENTS.storeCallFailed, {...faultFields(fault), step});

  /** Calls `repeat` also where the call throws; the guard takes the error. */
  const callStore = async (
    step: string,
    call: () => ReturnType<typeof store.removeQuarantine>,
    repeat: () => void,
  ): Promise<void> => {
    let isDone = false;
    try {
      const result = await call();
      result.ifLeft(fault => logFailed(step, fault));
      isDone = result.isRight();
    } finally {
      if (!isDone) repeat();
    }
  };
  const writeRecord = async (digest: string): Promise<void> => {
    const record = recordsToStore.get(digest);
    if (record === undefined || storedRecords.has(digest) || isStopped) return;
    written.add(digest);
    await callStore(
      'write quarantine',
      () => store.writeQuarantine(record),
      () => scheduleWrite(digest, RETRY_MS),
    );
  };
  const write = guard('write quarantine', writeRecord);
  const scheduleWrite = (digest: string, delayMs: number): void => {
    clock.after(delayMs, () => write(digest));
  };
  const removeRecord = async (digest: string): Promise<void> => {
    if (isStopped) return;
    await callStore(
      'remove quarantine',
      () => store.removeQuarantine(digest),
      () => void clock.after(RETRY_MS, () => remove(digest)),
    );
  };
  const remove = guard('remove quarantine', removeRecord);
  const removeExpired = (): void => {
    for (const [digest, record] of storedRecords) {
      if (!isExpired(record)) continue;
      const delayMs = random.next() * EXPIRY_CHECK_MS;
      clock.after(delayMs, () => {
        if (storedRecords.has(digest)) remove(digest);
      });
    }
  };

  // A timer that fails to start must not leave a follower without an owner.
  const cancelExpiryCheck = clock.every(EXPIRY_CHECK_MS, removeExpired);
  const follower = followCollection({
    collection: store.quarantine,
    clock: options.clock,
    onError,
    random,
    waitMs: options.waitMs,
    maxRetryMs: options.maxRetryMs,
    changePauseMs: 0,
    onList: handleRecords,
    onChanges: handleRecords,
    onConfirmed: () => undefined,
    onRestored: () => undefined,
    onFault: options.onFault,
  });
  return {
    observeEra: follower.observeEra,
    ensureStored: (report, isOwn) => {
      recordsToStore.set(report.digest, {...report, writtenAt: wallMs()});
      const spreadMs =
        REPORTER_WRITE_GRACE_MS + random.next() * WRITE_SPREAD_MS;
      if (isOwn) write(report.digest);
      else scheduleWrite(report.digest, spreadMs);
    },
    clear: (digest, isOwn) => {
      recordsToStore.delete(digest);
      // Where a peer remembered that it ran well, no entry saw the run just now.
      if (isOwn || written.delete(digest)) remove(digest);
    },
    claimTrial: async (digest, trial, claimant) => {
      try {
        return (await store.claimTrial(digest, trial, claimant))
          .ifLeft(fault => logFailed('claim trial', fault))
          .toMaybe()
          .extract();
      } catch (err) {
        onError(err, 'claim trial');
        return undefined;
      }
    },
    reportAll: () => options.onReports([...storedRecords.values()]),
    storeRestored: () => {
      for (const [digest, record] of storedRecords)
        recordsToStore.set(digest, record);
      storedRecords.clear();
      for (const digest of recordsToStore.keys()) {
        scheduleWrite(digest, random.next() * WRITE_SPREAD_MS);
      }
    },
    stop: () => {
      isStopped = true;
      follower.stop();
      cancelExpiryCheck();
    },
  };
}
