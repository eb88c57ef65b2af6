/**
 * Requests that crash replicas, as records in the platform's store. Entries tell
 * each other in datagrams first; the records are for those that datagrams do not
 * reach, and for the time after all entries have started again.
 */
import type {Cancel, Clock, Log, Random} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {CrashReport, QuarantineRecord} from './crash_reports.js';
import {follow} from './collection_follower.js';
import type {Follower} from './collection_follower.js';
import {QUARANTINE_MS} from './suspects.js';
import type {DirectStore, StoreFault} from './types.js';

/**
 * The entry that saw the last crash writes the record at once. Another one does
 * after this time, where the store does not show it by then.
 */
const LEFT_TO_OWNER_MS = 1_000;
/** Over which the others write, and all after a return of the store. */
const WRITE_SPREAD_MS = 2_000;
const WRITE_AGAIN_MS = 1_000;
/** Between looks for records whose time is over. */
const LOOK_MS = 60_000;

export interface QuarantineRecordsOptions {
  readonly store: Pick<
    DirectStore,
    'quarantine' | 'writeQuarantine' | 'removeQuarantine' | 'claimTrial'
  >;
  readonly clock: Clock;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
  readonly random: Random;
  readonly log: Log;
  /** See `FollowOptions`. */
  waitMs(): number;
  retryMostMs(): number;
  onReports(reports: readonly CrashReport[]): void;
  onFault(fault: StoreFault): void;
  /** An operator, or an entry after its time, has removed the record. */
  onReleased(digest: string): void;
}

export interface QuarantineRecords extends Pick<Follower, 'noteEra'> {
  /** Sees to it that the store has the record. */
  keep(report: CrashReport, isOwn: boolean): void;
  /** Runs of it ended well; with `isOwn` its record is removed from here. */
  clear(digest: string, isOwn: boolean): void;
  /** True for one claim of all entries; undefined without an answer. */
  claimTrial(digest: string, trial: number): Promise<boolean | undefined>;
  /** Reports all that the store has once more. */
  tellAgain(): void;
  /** The store has come back from an older copy. */
  restored(): void;
  stop: Cancel;
}

export function createQuarantineRecords(
  options: QuarantineRecordsOptions,
): QuarantineRecords {
  const {store, clock, random, log, wallMs} = options;
  const shown = new Map<string, QuarantineRecord>();
  /** Written by this entry, or left to another one so far. */
  const kept = new Map<string, QuarantineRecord>();
  let isStopped = false;

  const take = (records: ReadonlyMap<string, QuarantineRecord | undefined>) => {
    const reports: CrashReport[] = [];
    for (const [digest, record] of records) {
      if (record === undefined) {
        shown.delete(digest);
        kept.delete(digest);
        options.onReleased(digest);
      } else if (!isOver(record)) {
        shown.set(digest, record);
        reports.push(record);
      }
    }
    if (reports.length > 0) options.onReports(reports);
  };
  const isOver = ({writtenAt}: QuarantineRecord) =>
    wallMs() - writtenAt > QUARANTINE_MS;

  const write = async (digest: string): Promise<void> => {
    const record = kept.get(digest);
    if (record === undefined || shown.has(digest) || isStopped) return;
    const written = await store.writeQuarantine(record);
    written.ifLeft(({message}) => {
      log(DIRECT_EVENTS.storeCallFailed, {step: 'write quarantine', message});
      writeLater(digest, WRITE_AGAIN_MS);
    });
  };
  const writeLater = (digest: string, delayMs: number): void => {
    clock.after(delayMs, () => void write(digest));
  };
  const remove = async (digest: string): Promise<void> => {
    if (isStopped) return;
    (await store.removeQuarantine(digest)).ifLeft(({message}) => {
      log(DIRECT_EVENTS.storeCallFailed, {step: 'remove quarantine', message});
      clock.after(WRITE_AGAIN_MS, () => void remove(digest));
    });
  };
  const removeOver = (): void => {
    for (const [digest, record] of shown) {
      if (!isOver(record)) continue;
      const delayMs = random.next() * LOOK_MS;
      clock.after(delayMs, () => shown.has(digest) && void remove(digest));
    }
  };

  const follower = follow({
    collection: store.quarantine,
    clock,
    random,
    waitMs: options.waitMs,
    retryMostMs: options.retryMostMs,
    settleMs: 0,
    onList: take,
    onChanges: take,
    onConfirmed: () => undefined,
    onRestored: () => undefined,
    onFault: options.onFault,
  });
  const cancelLook = clock.every(LOOK_MS, removeOver);
  return {
    noteEra: follower.noteEra,
    keep: (report, isOwn) => {
      kept.set(report.digest, {...report, writtenAt: wallMs()});
      const spreadMs = LEFT_TO_OWNER_MS + random.next() * WRITE_SPREAD_MS;
      if (isOwn) void write(report.digest);
      else writeLater(report.digest, spreadMs);
    },
    clear: (digest, isOwn) => {
      kept.delete(digest);
      if (isOwn) void remove(digest);
    },
    claimTrial: async (digest, trial) =>
      (await store.claimTrial(digest, trial))
        .ifLeft(({message}) =>
          log(DIRECT_EVENTS.storeCallFailed, {step: 'claim trial', message}),
        )
        .toMaybe()
        .extract(),
    tellAgain: () => options.onReports([...shown.values()]),
    restored: () => {
      for (const [digest, record] of shown) kept.set(digest, record);
      shown.clear();
      for (const digest of kept.keys()) {
        writeLater(digest, random.next() * WRITE_SPREAD_MS);
      }
    },
    stop: () => {
      isStopped = true;
      follower.stop();
      cancelLook();
    },
  };
}
