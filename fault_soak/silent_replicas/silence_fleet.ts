/**
 * A fleet whose engines are processes of their own: a pool, a spare service that
 * the streams' route may move to, and one sound engine of a pair.
 */
import {freeAddresses} from '../../demo/free_addresses.js';
import {startReplica} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import {createEntryProcess} from '../entry_process.js';
import type {EntryProcess} from '../entry_process.js';
import {DOMAINS, PORTS_PER_ENTRY, TIMING, settingsOf} from '../soak_fleet.js';
import {ROOMY_ENGINE, createConfigSeries} from './silence_config.js';
import type {ConfigSeries} from './silence_config.js';
import {EVENT_PAUSE_MS, STREAM_EVENTS} from './silence_judge.js';
import type {Kind} from './silence_judge.js';
import {startReplicaProcess} from './replica_process.js';
import type {ReplicaProcess} from './replica_process.js';

const DESKS = 2;
const REVOKE_MS = 5_000;

/** Services that may run each kind of request. */
const SERVICES: {readonly [K in Kind]: readonly string[]} = {
  stream: ['pool', 'spare'],
  pair: ['pair'],
  long: ['pool'],
  once: ['desk'],
};

export interface ReplicaRecord {
  readonly state?: string;
  readonly coldLeftMs?: number;
}

export interface SilenceFleet {
  readonly store: StoreStandIn;
  readonly config: ConfigSeries;
  readonly entries: readonly EntryProcess[];
  /** Engines that live from the start to the end of the run. */
  readonly engines: readonly ReplicaProcess[];
  /** Starts one more engine, without a record. */
  startEngine(
    id: string,
    service: string,
    domain: string,
  ): Promise<ReplicaProcess>;
  list(engine: ReplicaProcess, record?: ReplicaRecord): void;
  /** Engines that may run the kind of request, also those that have ended. */
  enginesOf(kind: Kind): readonly ReplicaProcess[];
  runs(id: string): number;
  close(): Promise<void>;
}

export async function startSilenceFleet(
  processes: number,
  poolSize: number,
  dir: string,
): Promise<SilenceFleet> {
  const store = await startStore();
  const config = createConfigSeries(store);
  const started: ReplicaProcess[] = [];
  const startEngine = async (id: string, service: string, domain: string) => {
    const shape = {
      id,
      service,
      domain,
      events: STREAM_EVENTS,
      pauseMs: EVENT_PAUSE_MS,
    };
    const engine = await startReplicaProcess(shape);
    started.push(engine);
    return engine;
  };
  const put = (
    {id, address}: Pick<ReplicaProcess, 'id' | 'address'>,
    service: string,
    zone: string,
    record: ReplicaRecord = {},
  ) =>
    store.put('servers', id, {
      service,
      address,
      zone,
      slots: ROOMY_ENGINE.slots,
      state: 'ready',
      born: 1,
      ...record,
    });
  const list = (engine: ReplicaProcess, record?: ReplicaRecord) =>
    put(engine, engine.service, engine.domain, record);

  const engines = await Promise.all([
    ...Array.from({length: poolSize}, (_, at) =>
      startEngine(`pool-${at}`, 'pool', DOMAINS[at % DOMAINS.length]),
    ),
    startEngine('spare-0', 'spare', DOMAINS[0]),
    startEngine('pair-0', 'pair', DOMAINS[0]),
  ]);
  engines.forEach(engine => list(engine));
  const desks: readonly ReplicaStandIn[] = await Promise.all(
    Array.from({length: DESKS}, (_, at) => startReplica(`desk-${at}`)),
  );
  for (const desk of desks) {
    desk.answerState();
    put(desk, 'desk', DOMAINS[0]);
  }

  const ports = await freeAddresses(processes * PORTS_PER_ENTRY);
  const timing = {...TIMING, revokeMs: REVOKE_MS};
  const entries = Array.from({length: processes}, (_, at) => {
    const from = at * PORTS_PER_ENTRY;
    const own = ports.slice(from, from + PORTS_PER_ENTRY);
    return createEntryProcess(settingsOf(at, store.address, own, timing), dir);
  });
  // Else they would live on after a soak that is interrupted.
  const abort = () => {
    entries.forEach(entry => entry.abort());
    started.forEach(engine => engine.end());
  };
  process.once('exit', abort);
  await Promise.all(entries.map(entry => entry.start()));
  return {
    store,
    config,
    entries,
    engines,
    startEngine,
    list,
    enginesOf: kind =>
      started.filter(({service}) => SERVICES[kind].includes(service)),
    runs: id => {
      const atDesks = desks.flatMap(({arrivals}) =>
        arrivals.filter(arrival => arrival.id === id),
      );
      const atEngines = started.reduce((sum, it) => sum + it.runs(id), 0);
      return atDesks.length + atEngines;
    },
    close: async () => {
      process.off('exit', abort);
      await Promise.all(entries.map(entry => entry.kill()));
      started.forEach(engine => engine.end());
      await Promise.all([store, ...desks].map(part => part.close()));
    },
  };
}
