/**
 * A direct entry with all its services, before stand-ins of the users' store
 * and replicas, on loopback and the real clock.
 */
import {request} from 'node:http';
import type {Agent, IncomingHttpHeaders} from 'node:http';
import {freeAddresses} from '../../demo/free_addresses.js';
import {headerCodec} from '../../platform/header_codec.js';
import {createReadReport} from '../../platform/replica_report.js';
import {createReservationOrders} from '../../platform/reservation_orders.js';
import {createStoreClient} from '../../platform/store_client.js';
import type {DirectSettings} from '../../src/direct/settings.js';
import {wireDirectEntry} from '../../src/direct_wiring.js';
import type {DirectProcess} from '../../src/direct_wiring.js';
import type {HeaderCodec} from '../../src/direct/types.js';
import type {Runtime} from '../../src/types/runtime.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {
  HOST,
  KEY,
  announce,
  configOf,
} from '../../standins/users_platform/deployment.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {startReplica} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';

export interface DirectFleet {
  readonly store: StoreStandIn;
  readonly pool: readonly ReplicaStandIn[];
  readonly desk: readonly ReplicaStandIn[];
  readonly entry: DirectProcess;
  readonly callers: string;
  /** IP:PORT of its datagrams and of what it hands over. */
  readonly peers: string;
  readonly runtime: RecordingRuntime;
  /** Shifts the time of day that the entry sees, in milliseconds. */
  shiftWall(byMs: number): void;
  close(): Promise<void>;
}

export interface FleetOptions {
  /** Name of the entry. @default 'entry-1' */
  readonly node?: string;
  /** Another entry that its store knows, and where it listens. */
  readonly other?: {readonly node: string; readonly peers: string};
  /** @default 2 */
  readonly pool?: number;
  /** @default 2 */
  readonly desk?: number;
  readonly timing?: Partial<DirectSettings['timing']>;
  /** @default that of the users' platform */
  readonly codec?: HeaderCodec;
  /** Another entry, whose store and replicas this one has as well. */
  readonly beside?: DirectFleet;
  /** IP:PORT for its callers. @default a free one */
  readonly callers?: string;
}

/** Of one worker of the runner, for all its fleets in turn. */
const ADDRESSES = 90;
const addresses = freeAddresses(ADDRESSES);
let taken = 0;

/** Of each fleet the next ones: one that was closed just now may still wait. */
export async function nextAddress(): Promise<string> {
  taken = (taken + 1) % ADDRESSES;
  return (await addresses)[taken] as string;
}

async function settingsFor(
  store: string,
  {node = 'entry-1', timing, callers, beside}: FleetOptions,
): Promise<DirectSettings> {
  const peers = await nextAddress();
  return {
    role: 'direct-entry',
    node,
    failureDomain: 'domain-1',
    ip: '127.0.0.1',
    bootstrap: beside === undefined,
    listen: {
      callers: callers ?? (await nextAddress()),
      ready: await nextAddress(),
      metrics: await nextAddress(),
    },
    peerPorts: [Number(peers.split(':')[1])],
    store: {address: store},
    limits: {memoryMb: 300, maxDescriptors: 1_000},
    timing: {
      graceS: 8,
      revokeMs: 5_000,
      freeMs: 2_000,
      unusedMs: undefined,
      maxHoldMs: undefined,
      leavingMs: undefined,
      ...timing,
    },
    retries: {ratio: 0.2, slack: 100, windowS: 10},
  };
}

/** Starts everything and waits until the entry is ready. */
export async function startDirectFleet(
  options: FleetOptions = {},
): Promise<DirectFleet> {
  const {beside} = options;
  const {store, pool, desk} = beside ?? (await startUpstreams(options));
  if (options.other !== undefined) announceEntry(store, options.other);

  const settings = await settingsFor(store.address, options);
  const clock = createProcessClock();
  const recorded = createRecordingRuntime();
  const runtime: Runtime = {...recorded.runtime, clock};
  let wallShiftMs = 0;
  const entry = await wireDirectEntry(
    {
      settings,
      store: createStoreClient({
        address: store.address,
        clock,
        metrics: runtime.metrics,
        log: runtime.log,
      }),
      codec: options.codec ?? headerCodec,
      orders: createReservationOrders(runtime.metrics),
      readReport: createReadReport(runtime.metrics),
      wallMs: () => Date.now() + wallShiftMs,
    },
    runtime,
  );
  await until(() => isReady(settings.listen.ready)).catch(err => {
    throw new Error(`not ready: ${storyOf(recorded)}`, {cause: err});
  });
  return {
    store,
    pool,
    desk,
    entry,
    runtime: recorded,
    callers: settings.listen.callers,
    peers: `${settings.ip}:${settings.peerPorts[0]}`,
    shiftWall: byMs => {
      wallShiftMs += byMs;
    },
    close: async () => {
      await entry.kernel.stop();
      if (beside !== undefined) return;
      await Promise.all([store, ...pool, ...desk].map(part => part.close()));
    },
  };
}

/** What an entry that did not come up has logged and counted. */
function storyOf({events, metrics}: RecordingRuntime): string {
  const lines = events.map(
    ({event, fields}) => `${event.name} ${JSON.stringify(fields)}`,
  );
  return [...lines, metrics.render()].join('\n');
}

async function startUpstreams(options: FleetOptions) {
  const store = await startStore();
  const start = (service: string, count: number) =>
    Promise.all(
      Array.from({length: count}, (_, at) => startReplica(`${service}-${at}`)),
    );
  const pool = await start('pool', options.pool ?? 2);
  const desk = await start('desk', options.desk ?? 2);
  for (const replica of pool) announce(store, replica, 'pool');
  for (const replica of desk) announce(store, replica, 'desk');
  store.put('config', 'main', configOf(1));
  return {store, pool, desk};
}

function announceEntry(
  store: StoreStandIn,
  {node, peers}: {readonly node: string; readonly peers: string},
): void {
  const [ip, port] = peers.split(':');
  const entry = {node, incarnation: 'i', ip, port: Number(port)};
  store.put('onyxloft-entries', node, entry);
}

async function isReady(address: string): Promise<boolean> {
  try {
    return (await fetch(`http://${address}/api/ready`)).status === 200;
  } catch {
    return false;
  }
}

/** Waits until it holds; fails after some seconds. */
export async function until(
  holds: () => boolean | Promise<boolean>,
  limitMs = 5_000,
): Promise<void> {
  const endsAt = Date.now() + limitMs;
  while (!(await holds())) {
    if (Date.now() > endsAt) throw new Error('did not come about in time');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

/** What a caller gets. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** The answer's framing says that it is whole. */
  readonly whole: boolean;
}

let requests = 0;

/** Sends one request as a caller; rejects when no answer begins. */
export function callEntry(
  fleet: DirectFleet,
  path: string,
  options: {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Keeps connections. @default one for each request */
    readonly agent?: Agent;
    /** Called with each piece; true leaves. */
    readonly leaveAt?: (body: string) => boolean;
  } = {},
): Promise<CallerAnswer> {
  const [host, port] = fleet.callers.split(':');
  const method = options.method ?? 'POST';
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      method,
      agent: options.agent ?? false,
      headers: {
        Host: HOST,
        'X-Request-Id': `req-${++requests}`,
        Authorization: `Token ${KEY}`,
        'X-Deadline-Ms': '5000',
        ...options.headers,
      },
    });
    req.on('error', reject);
    req.on('response', res => {
      let body = '';
      const end = () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body,
          whole: res.complete,
        });
      res.on('data', (piece: Buffer) => {
        body += piece.toString('utf8');
        if (options.leaveAt?.(body)) req.destroy();
      });
      res.on('error', () => undefined);
      res.on('close', end);
    });
    req.end(options.body ?? (method === 'POST' ? 'a prompt' : undefined));
  });
}
