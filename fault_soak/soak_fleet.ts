/**
 * A fleet for the soak: entries as real processes; store, replicas and the
 * network before them as stand-ins in this process, so that faults are
 * injected from outside and the judge sees what ran.
 */
import {freeAddresses} from '../demo/free_addresses.js';
import type {DirectSettings} from '../src/direct/settings.js';
import {startRelay} from '../standins/relay_core.js';
import type {Relay} from '../standins/relay_core.js';
import {announce, configOf} from '../standins/users_platform/deployment.js';
import {startStore} from '../standins/users_platform/store.js';
import type {StoreStandIn} from '../standins/users_platform/store.js';
import type {EntryProcess} from './entry_process.js';
import {createEntryProcess} from './entry_process.js';
import {SERVICE_COLD, createReplica} from './soak_replica.js';
import type {SoakReplica} from './soak_replica.js';

export type {SoakReplica} from './soak_replica.js';

export const TIMING = {
  graceS: 8,
  // Shorter than the longest cut from the store.
  revokeMs: 2_500,
  configMs: 2_000,
  leavingMs: 1_500,
  freeMs: 2_000,
  unusedMs: undefined,
  maxHoldMs: 20_000,
  evacuateMs: 5_000,
} as const;
/** Bound on what all entries together send a cold replica. */
export const COLD_REPLICAS = {overFactor: 1.5, slack: 5} as const;
/** Shares of retries, as the users' sheets have them. */
export const RETRIES = {ratio: 0.2, slack: 120, windowS: 10} as const;

/** Failure domains of the replicas, in turn; entries are in the first one. */
export const DOMAINS = ['domain-1', 'domain-2'] as const;

export const PORTS_PER_ENTRY = 4;

/** Entries and replicas, without what they reach the store by. */
export interface EntriesAndReplicas {
  readonly entries: readonly EntryProcess[];
  readonly replicas: readonly SoakReplica[];
  /** Lists a replica in this state. */
  list(replica: SoakReplica, state: string): void;
  close(): Promise<void>;
}

export interface SoakFleet extends EntriesAndReplicas {
  readonly store: StoreStandIn;
  /** Link of each entry to the store. */
  readonly storeLinks: readonly Relay[];
}

/** Settings of the entry with this index. */
export function settingsOf(
  at: number,
  store: string,
  addresses: readonly string[],
  timing: DirectSettings['timing'],
): DirectSettings {
  const [callers = '', ready = '', metrics = '', peers = ''] = addresses;
  return {
    role: 'direct-entry',
    node: `entry-${at}`,
    failureDomain: DOMAINS[0],
    ip: '127.0.0.1',
    bootstrap: undefined,
    organisationShares: undefined,
    slowReaders: undefined,
    listen: {callers, ready, metrics},
    peerPorts: [Number(peers.split(':')[1])],
    store: {address: store},
    limits: {memoryMb: 300, maxDescriptors: 1_000},
    timing,
    retries: RETRIES,
    coldReplicas: COLD_REPLICAS,
  };
}

/** Starts all stand-ins, and the entries' processes without waiting. */
export async function startSoakFleet(
  entryCount: number,
  dir: string,
  timing: DirectSettings['timing'] = TIMING,
): Promise<SoakFleet> {
  const store = await startStore();
  const storeLinks: Relay[] = [];
  for (let at = 0; at < entryCount; at++) {
    storeLinks.push(await startRelay('127.0.0.1:0', store.address));
  }
  const addresses = storeLinks.map(({address}) => address);
  const others = await startEntriesAndReplicas(store, addresses, dir, timing);
  return {
    ...others,
    store,
    storeLinks,
    close: async () => {
      await others.close();
      await Promise.all(storeLinks.map(link => link.close()));
      await store.close();
    },
  };
}

/**
 * Lists the replicas in the store, and starts an entry for each address at which
 * one reaches the store, without waiting.
 */
export async function startEntriesAndReplicas(
  store: Pick<StoreStandIn, 'put'>,
  storeAddresses: readonly string[],
  dir: string,
  timing: DirectSettings['timing'],
): Promise<EntriesAndReplicas> {
  const states = new Map<SoakReplica, string>();
  const list = (replica: SoakReplica, state: string) => {
    const {standIn, service, domain, link} = replica;
    states.set(replica, state);
    const at = {...standIn, address: link.address};
    announce(
      store,
      at,
      service,
      state,
      replica.born(),
      domain,
      replica.coldLeftMs(),
    );
  };
  const onStart = (replica: SoakReplica) =>
    list(replica, states.get(replica) ?? 'ready');
  const domainOf = (at: number) => DOMAINS[at % DOMAINS.length];
  const replicas = await Promise.all([
    ...Array.from({length: 4}, (_, at) =>
      createReplica('pool', at, domainOf(at), onStart),
    ),
    ...Array.from({length: 3}, (_, at) =>
      createReplica('desk', at, domainOf(at), onStart),
    ),
  ]);
  for (const replica of replicas) list(replica, 'ready');
  store.put('config', 'main', configOf(1, undefined, SERVICE_COLD));

  const ports = await freeAddresses(storeAddresses.length * PORTS_PER_ENTRY);
  const entries = storeAddresses.map((address, at) => {
    const from = at * PORTS_PER_ENTRY;
    const own = ports.slice(from, from + PORTS_PER_ENTRY);
    return createEntryProcess(settingsOf(at, address, own, timing), dir);
  });
  // Else they would live on after a soak that is interrupted.
  const abort = () => entries.forEach(entry => entry.abort());
  process.once('exit', abort);
  await Promise.all(entries.map(entry => entry.start()));
  return {
    entries,
    replicas,
    list,
    close: async () => {
      process.off('exit', abort);
      await Promise.all(entries.map(entry => entry.kill()));
      await Promise.all(replicas.map(({link}) => link.close()));
      await Promise.all(replicas.map(({standIn}) => standIn.close()));
    },
  };
}
