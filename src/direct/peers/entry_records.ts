/**
 * The entries' records in the store, by which an entry finds its peers and is
 * found by them. Peers that have been silent for long lose their record.
 */
import type {Cancel, Clock, Random} from '../../types/runtime.js';
import {createGuard} from '../../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {createStepReport} from '../boundary/contained_errors.js';
import type {ErrorSinks} from '../boundary/contained_errors.js';
import {faultFields} from '../followed/collection.js';
import type {StoreFault} from '../followed/collection.js';
import type {DirectStore, EntryAddress} from '../types.js';
import type {PeerTable} from './peer_table.js';

/**
 * Silence in milliseconds after which an entry's record is removed from the
 * store.
 */
const REMOVE_RECORD_AFTER_MS = 15_000;
/**
 * Time between reads of the entries' records after the own start, and between
 * checks for silent peers, in milliseconds. An entry that starts sends to every
 * entry that it finds, so these reads only have to find entries that started at
 * the same moment.
 */
const LIST_INTERVAL_MS = 10_000;
/**
 * Delay before another read where none has succeeded, in milliseconds. An entry
 * that knows no others takes the whole limit of a replica for itself.
 */
const LIST_RETRY_MS = 1_000;
/** Successful reads after which the records are read less often. */
const FREQUENT_LISTS = 3;
/** Time between later reads, as a multiple of the interval. */
const LATER_LIST_FACTOR = 6;
/**
 * Delay before another attempt to write the own record to the store, in
 * milliseconds.
 */
const ANNOUNCE_RETRY_MS = 1_000;
/**
 * After the store lost the records, entries write theirs at random times within
 * this period, in milliseconds. Otherwise all of them would write at the same
 * moment.
 */
const REANNOUNCE_SPREAD_MS = 1_000;

export interface EntryRecordsOptions extends ErrorSinks {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: EntryAddress;
  readonly store: Pick<
    DirectStore,
    'listEntries' | 'announceEntry' | 'removeEntry'
  >;
  readonly peers: PeerTable;
  /** What the own record is to state now. */
  ownAddress(): EntryAddress;
  isDraining(): boolean;
  /** Registers what is released when the service ends. */
  own(cancel: Cancel): void;
}

export interface EntryRecords {
  /** Resolves to true if the store's list lacks this entry's own address. */
  listPeers(): Promise<boolean>;
  /** Writes the own record, again and again until the store took it. */
  announce(): Promise<void>;
  /** Writes the own record again after the store was restored. */
  reannounce(): void;
}

/** Also reads the records from time to time, and removes those of silent peers. */
export function keepEntryRecords(options: EntryRecordsOptions): EntryRecords {
  const {clock, log, self, store, peers, own} = options;
  const guard = createGuard(createStepReport(options));
  /** Number of successful reads since the start or the last restore. */
  let lists = 0;
  /** Number of intervals since the start. */
  let intervals = 0;

  const isSelf = ({node, ip, port}: EntryAddress) =>
    node === self.node && ip === self.ip && port === self.port;
  let cancelRetry: Cancel = () => undefined;
  own(() => cancelRetry());
  const readPeers = async (): Promise<boolean> => {
    const entries = await store.listEntries();
    cancelRetry();
    entries.ifRight(found => {
      lists += 1;
      found.forEach(peers.add);
    });
    if (lists === 0) {
      const retry = guard('list entries', async () => {
        await readPeers();
      });
      cancelRetry = clock.after(LIST_RETRY_MS, retry);
    }
    return entries.map(found => !found.some(isSelf)).orDefault(false);
  };
  const logFailed = (step: string, fault: StoreFault): void =>
    log(DIRECT_EVENTS.storeCallFailed, {...faultFields(fault), step});
  const refreshPeers = async (): Promise<void> => {
    intervals += 1;
    const isDue = intervals % LATER_LIST_FACTOR === 0;
    if (lists < FREQUENT_LISTS || isDue) await readPeers();
    for (const node of peers.silentFor(REMOVE_RECORD_AFTER_MS)) {
      peers.remove(node);
      log(DIRECT_EVENTS.entryRemoved, {entry: node});
      (await store.removeEntry(node)).ifLeft(fault =>
        logFailed('remove entry', fault),
      );
    }
  };
  const announce = async (): Promise<void> => {
    const announced = await store.announceEntry(options.ownAddress());
    announced.ifLeft(fault => {
      logFailed('announce entry', fault);
      const retry = guard('announce entry', announce);
      own(clock.after(ANNOUNCE_RETRY_MS, retry));
    });
  };
  const refresh = guard('refresh entries', refreshPeers);
  own(clock.every(LIST_INTERVAL_MS, refresh));

  return {
    listPeers: readPeers,
    announce,
    // All entries notice a restore at the same moment. They still know each
    // other, so the records need not be written at once.
    reannounce: () => {
      const delayMs = options.random.next() * REANNOUNCE_SPREAD_MS;
      const rewrite = () => {
        if (options.isDraining()) return;
        lists = 0;
        log(DIRECT_EVENTS.recordRewritten, {});
        return announce();
      };
      own(clock.after(delayMs, guard('rewrite entry', rewrite)));
    },
  };
}
