/** The deployment of the soak: store, replicas and configuration. */
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
import {DOMAINS} from '../soak_fleet.js';
import {startStoreProcess} from '../stops_and_records/store_process.js';
import type {StoreProcess} from '../stops_and_records/store_process.js';
import {
  BULKY_ANSWER,
  BULK_PATH,
  ENDLESS_PATH,
  MAX_BODY_BYTES,
} from './bursts.js';

const SLOTS = 64;
/** As the users' store has it; smaller ones take longer while it is slow. */
const PAGE_SIZE = 500;
/** A large request keeps its slot a while, so that others wait. */
const BULK_WORK_MS = 300;
const ROUTE_TIMEOUT_MS = 10_000;
const EVENT_PAUSE_MS = 25;
/** Most streams are short; some make a drain last. */
const SHORT_EVENTS = 12;
const LONG_EVENTS = 90;
const LONG_SHARE_OF = 6;

const BULKY = Buffer.alloc(MAX_BODY_BYTES, 'y');

export interface StartsFleet {
  readonly store: StoreProcess;
  readonly names: readonly string[];
  readonly endless: ReplicaStandIn;
  close(): Promise<void>;
}

export async function startStartsFleet(): Promise<StartsFleet> {
  const store = await startStoreProcess(PAGE_SIZE);
  const start = async (service: string, at: number, behaviour: Behaviour) => {
    const replica = await startReplica(`${service}-${at}`);
    replica.answerState();
    replica.behave(withoutBody(behaviour));
    const {address} = replica;
    const zone = DOMAINS[at % DOMAINS.length];
    const slots = service === 'pool' ? ROOMY_ENGINE.slots : SLOTS;
    const record = {service, address, zone, slots, state: 'ready', born: 1};
    await store.put('servers', replica.id, record);
    return replica;
  };
  const replicas = [
    await start('pool', 0, answerStream),
    await start('pool', 1, answerStream),
    await start('desk', 0, answerWell),
    await start('desk', 1, answerWell),
    await start('bulk', 0, answerBulk),
    await start('bulk', 1, answerBulk),
  ];
  const endless = await start('endless', 0, answerWell);
  await store.put('config', 'main', startsConfig());
  const all = [...replicas, endless];
  return {
    store,
    names: all.map(({id}) => id),
    endless,
    close: async () => {
      await Promise.all(all.map(it => it.close()));
      await store.close();
    },
  };
}

export function startsConfig(version = 1): unknown {
  const config = configOf(version);
  const added = [
    ['bulk', BULK_PATH],
    ['endless', ENDLESS_PATH],
  ].map(([service, pathPrefix]) => ({
    name: service,
    host: HOST,
    pathPrefix,
    kind: 'safe',
    service,
    maxAttempts: 2,
  }));
  return {
    ...config,
    routes: [...config.routes, ...added].map(route => ({
      ...route,
      timeoutMs: ROUTE_TIMEOUT_MS,
    })),
    services: [
      {name: 'pool', engine: ROOMY_ENGINE},
      ...['desk', 'bulk', 'endless'].map(name => ({name})),
    ],
    limits: {
      ...config.limits,
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutMs: ROUTE_TIMEOUT_MS,
    },
  };
}

/** What has arrived is kept; large bodies would fill the soak's own memory. */
function withoutBody(behaviour: Behaviour): Behaviour {
  return (arrival, res, req) => {
    Object.assign(arrival, {body: ''});
    behaviour(arrival, res, req);
  };
}

const answerShort = streamTo(SHORT_EVENTS, EVENT_PAUSE_MS);
const answerLong = streamTo(LONG_EVENTS, EVENT_PAUSE_MS);

const answerStream: Behaviour = (arrival, res, req) => {
  const number = Number(arrival.id.split('-').at(-1));
  const isLong = number % LONG_SHARE_OF === 0;
  (isLong ? answerLong : answerShort)(arrival, res, req);
};

const answerBulk: Behaviour = (arrival, res, req) => {
  if (arrival.path.startsWith(BULKY_ANSWER)) {
    res.writeHead(200, signed(arrival));
    res.end(BULKY);
  } else setTimeout(() => answerWell(arrival, res, req), BULK_WORK_MS);
};
