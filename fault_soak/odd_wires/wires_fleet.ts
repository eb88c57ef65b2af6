/** The deployment of the soak: sound replicas beside odd ones, and odd ones alone. */
import {HOST, configOf} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  signed,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {ROOMY_ENGINE} from '../silent_replicas/silence_config.js';
import {startStoreProcess} from '../stops_and_records/store_process.js';
import type {StoreProcess} from '../stops_and_records/store_process.js';
import type {Draw} from './draws.js';
import {STREAM_EVENTS, startOddReplica} from './odd_replica.js';
import type {OddReplica, SentAnswer} from './odd_replica.js';

const PAGE_SIZE = 500;
const SLOTS = 64;
const TIMEOUT_MS = 6_000;
const MAX_ATTEMPTS = 3;
const EVENT_PAUSE_MS = 10;
/** Services and their routes; keys need the store, which is odd, too. */
const ROUTES = [
  ['stream', 'streaming', 'pool'],
  ['once', 'unsafe', 'desk'],
  ['again', 'safe', 'desk'],
  ['odd-stream', 'streaming', 'odd-pool'],
  ['odd-call', 'safe', 'odd-desk'],
] as const;
const ODD = ['pool', 'desk', 'odd-pool', 'odd-pool', 'odd-desk', 'odd-desk'];

export interface WiresFleet {
  readonly store: StoreProcess;
  readonly odd: readonly OddReplica[];
  soundRuns(id: string): number;
  /** Writes the next configuration. */
  configure(): Promise<unknown>;
  /** Announces the odd replicas as started again, so that they are sent more. */
  renew(): Promise<unknown>;
  close(): Promise<void>;
}

export async function startWiresFleet(
  draw: Draw,
  isOdd: () => boolean,
  onSent: (sent: SentAnswer) => void,
): Promise<WiresFleet> {
  const store = await startStoreProcess(PAGE_SIZE);
  const runs = new Map<string, number>();
  let born = 1;
  let version = 0;
  let numbers = 0;
  const announce = (name: string, address: string, service: string) => {
    const slots = service.endsWith('pool') ? ROOMY_ENGINE.slots : SLOTS;
    const at = {service, address, zone: 'domain-1', slots};
    return store.put('servers', name, {...at, state: 'ready', born});
  };
  const sound: ReplicaStandIn[] = [];
  for (const service of ['pool', 'pool', 'desk', 'desk']) {
    const replica = await startReplica(`${service}-${sound.length}`);
    const behaviour = service === 'pool' ? answerStream : answerWell;
    replica.answerState();
    replica.behave((arrival, res, req) => {
      runs.set(arrival.id, (runs.get(arrival.id) ?? 0) + 1);
      behaviour(arrival, res, req);
    });
    await announce(replica.id, replica.address, service);
    sound.push(replica);
  }
  const [ip] = sound[0].address.split(':');
  const odd: OddReplica[] = [];
  for (const service of ODD) {
    odd.push(
      await startOddReplica({
        name: `x-${service}-${odd.length}`,
        ip,
        draw,
        mayStall: service.startsWith('odd'),
        isOdd,
        onSent,
        nextNumber: () => ++numbers,
      }),
    );
  }
  const renew = () => {
    born++;
    return Promise.all(
      odd.map(({name, address}, at) => announce(name, address, ODD[at])),
    );
  };
  const configure = () => store.put('config', 'main', configAt(++version));
  await renew();
  await configure();
  return {
    store,
    odd,
    soundRuns: id => runs.get(id) ?? 0,
    configure,
    renew,
    close: async () => {
      await Promise.all([...sound, ...odd].map(it => it.close()));
      await store.close();
    },
  };
}

const answerEvents = streamTo(STREAM_EVENTS, EVENT_PAUSE_MS);

/** Odd callers ask for events after numbers from which no events lead on. */
const answerStream: Behaviour = (arrival, res, req) => {
  const after = Number(arrival.headers['last-event-id'] ?? 0);
  if (after >= 0) return answerEvents(arrival, res, req);
  res.writeHead(400, signed(arrival)).end();
};

function configAt(version: number): unknown {
  const config = configOf(version);
  return {
    ...config,
    routes: ROUTES.map(([name, kind, service]) => ({
      name,
      host: HOST,
      pathPrefix: `/${name}/`,
      kind,
      service,
      // A replica that stalls must not hold the run up.
      timeoutMs: name.startsWith('odd') ? 800 : TIMEOUT_MS + (version % 2),
      sloMs: 300,
      maxAttempts: MAX_ATTEMPTS,
      public: true,
      ...(kind === 'streaming' ? {gapAimMs: 100, resumable: true} : {}),
    })),
    services: ['pool', 'odd-pool', 'desk', 'odd-desk'].map(name =>
      name.endsWith('pool') ? {name, engine: ROOMY_ENGINE} : {name},
    ),
    limits: {...config.limits, headerTimeoutMs: 2_000 + (version % 2)},
  };
}
