/** The deployment of the soak: sound replicas, services that flood, the store. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {HOST, configOf} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {passOn} from '../odd_wires/odd_store.js';
import {ROOMY_ENGINE} from '../silent_replicas/silence_config.js';
import {startStoreProcess} from '../stops_and_records/store_process.js';
import {FLOOD_FORMS} from './flood_forms.js';
import {floodHead, startFloodingReplica, writeFlood} from './flooding.js';
import type {Flood, FloodingReplica} from './flooding.js';

const PAGE_SIZE = 500;
const SLOTS = 64;
const TIMEOUT_MS = 10_000;
/** Flooding replicas of each service. */
const FLOODING = 3;
export const STREAM_EVENTS = 60;
const EVENT_PAUSE_MS = 50;
/** A sound answer in chunks of one byte. */
export const SMALL_PIECES = 200_000;

/** Services and their routes. */
const ROUTES = [
  ['calm', 'safe', 'desk'],
  ['stream', 'streaming', 'pool'],
  ['flood-stream', 'streaming', 'flood-pool'],
  ['flood-call', 'safe', 'flood-desk'],
  ['flood-once', 'unsafe', 'flood-desk'],
] as const;

/** Whole, in as many chunks as it has bytes where the path says so. */
const answerDesk: Behaviour = (arrival, res, req) => {
  if (!arrival.path.endsWith('/pieces')) return answerWell(arrival, res, req);
  const seal = [`X-Response-Seal: seal-${arrival.id}`];
  const id = [`X-Request-Id: ${arrival.id}`];
  const form = FLOOD_FORMS['byte-chunks'];
  const pieces = form.piece().repeat(SMALL_PIECES);
  const head = floodHead(form, 200, [...seal, ...id]);
  req.socket.write(`${head}${pieces}0\r\n\r\n`);
};

export interface FloodsFleet {
  /** IP:PORT of the store, which floods while it is told to. */
  readonly store: string;
  /** Floods that were sent, of replicas and of the store. */
  readonly count: () => number;
  close(): Promise<void>;
}

export async function startFloodsFleet(
  flood: (path: string) => Flood,
  isStoreFlooding: () => boolean,
): Promise<FloodsFleet> {
  const behind = await startStoreProcess(PAGE_SIZE);
  const announce = (name: string, address: string, service: string) => {
    const slots = service.endsWith('pool') ? ROOMY_ENGINE.slots : SLOTS;
    const at = {service, address, zone: 'domain-1', slots};
    return behind.put('servers', name, {...at, state: 'ready', born: 1});
  };
  const desk = await startReplica('desk-0');
  desk.behave(answerDesk);
  const pool = await startReplica('pool-0');
  pool.answerState();
  pool.behave(streamTo(STREAM_EVENTS, EVENT_PAUSE_MS));
  await announce(desk.id, desk.address, 'desk');
  await announce(pool.id, pool.address, 'pool');
  const [ip] = desk.address.split(':');
  const flooding: FloodingReplica[] = [];
  for (const service of ['flood-pool', 'flood-desk']) {
    for (let at = 0; at < FLOODING; at++) {
      const replica = await startFloodingReplica(ip, flood);
      flooding.push(replica);
      await announce(`${service}-${at}`, replica.address, service);
    }
  }
  await behind.put('config', 'main', floodsConfig());
  const store = await startFloodingStore(behind.address, isStoreFlooding);
  return {
    store: store.address,
    count: () =>
      flooding.reduce((sum, it) => sum + it.count(), 0) + store.count(),
    close: async () => {
      const parts = [desk, pool, store, ...flooding];
      await Promise.all(parts.map(it => it.close()));
      await behind.close();
    },
  };
}

/** A front of the store that answers with chunks of one byte for a while. */
async function startFloodingStore(behind: string, isFlooding: () => boolean) {
  let count = 0;
  const server = createServer((req, res) => {
    if (!isFlooding()) {
      void passOn(behind, req, res);
      return;
    }
    count++;
    const form = FLOOD_FORMS['byte-chunks'];
    req.resume();
    req.socket.write(floodHead(form, 200, ['Content-Type: application/json']));
    writeFlood(req.socket, form);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    count: () => count,
    close: () =>
      new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function floodsConfig(): unknown {
  const config = configOf(1);
  return {
    ...config,
    routes: ROUTES.map(([name, kind, service]) => ({
      name,
      host: HOST,
      pathPrefix: `/${name}/`,
      kind,
      service,
      timeoutMs: TIMEOUT_MS,
      sloMs: 300,
      maxAttempts: 3,
      public: true,
      ...(kind === 'streaming' ? {gapAimMs: 100, resumable: true} : {}),
    })),
    services: ['pool', 'flood-pool', 'desk', 'flood-desk'].map(name =>
      name.endsWith('pool') ? {name, engine: ROOMY_ENGINE} : {name},
    ),
    limits: {...config.limits, maxBodyBytes: 4_000_000},
  };
}
