/**
 * One run in which sound replicas fall silent for a second or so and go on,
 * beside new versions of the configuration. Nothing else fails, so each request
 * that is sent with time enough ends with a complete answer.
 */
import {Agent, request} from 'node:http';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeAddresses} from '../../demo/free_addresses.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {
  ENGINE,
  HOST,
  KEY,
  configOf,
} from '../../standins/users_platform/deployment.js';
import {eventText} from '../../standins/users_platform/replica.js';
import {startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import type {Random} from '../../src/types/runtime.js';
import {createEntryProcess} from '../entry_process.js';
import type {EntryProcess} from '../entry_process.js';
import {DOMAINS, PORTS_PER_ENTRY, TIMING, settingsOf} from '../soak_fleet.js';
import {startReplicaProcess} from './replica_process.js';
import type {ReplicaProcess} from './replica_process.js';

export interface SilenceShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  /** Engines behind the stream route, each a process. */
  readonly engines: number;
  readonly silenceMs: number;
  /** Whether all engines fall silent at once, and not one in turn. */
  readonly all: boolean;
  /** Whether new versions of the configuration come. */
  readonly changes: boolean;
  readonly durationMs: number;
  /** Where settings and logs are written. */
  readonly dir: string;
}

export interface SilenceReport {
  readonly seed: number;
  readonly silences: number;
  readonly versions: number;
  readonly requests: number;
  /** Requests by their kind and how they ended. */
  readonly byEnd: Readonly<Record<string, number>>;
  readonly runsPerStream: number;
  readonly violations: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

const STREAM_EVENTS = 32;
const EVENT_PAUSE_MS = 60;
const DEADLINE_MS = 10_000;
/** A request that has used this share of its time may end by its deadline. */
const DEADLINE_SHARE = 0.9;
const CALLERS = 24;
const [DOMAIN] = DOMAINS;
/** One engine has room for all callers. */
const ROOMY_ENGINE = {...ENGINE, slots: 64, kvCapacityTokens: 1_000_000};
const DESKS = 2;
const START_LIMIT_MS = 30_000;
const POLL_MS = 50;
const SHORTEST_SILENCE_GAP_MS = 400;
const SILENCE_GAP_SPREAD_MS = 800;
const SHORTEST_CHANGE_GAP_MS = 700;
const CHANGE_GAP_SPREAD_MS = 200;
/** The first draws of small seeds are alike. */
const WARM_UP_DRAWS = 8;
const OK = 200;
/** Says that the request has not run; its caller may come back. */
const NOT_RUN = 503;

const WHOLE_STREAM = Array.from({length: STREAM_EVENTS}, (_, at) =>
  eventText(at + 1),
).join('');

type Kind = 'stream' | 'once';

interface Ended {
  readonly id: string;
  readonly kind: Kind;
  readonly entry: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined when no answer began. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isWhole: boolean;
}

interface SilenceFleet {
  readonly store: StoreStandIn;
  readonly entries: readonly EntryProcess[];
  readonly engines: readonly ReplicaProcess[];
  readonly desks: readonly ReplicaProcess[];
  close(): Promise<void>;
}

export async function runSilences(shape: SilenceShape): Promise<SilenceReport> {
  const fleet = await startFleet(shape);
  const delay = monitorEventLoopDelay();
  try {
    await allReady(fleet);
    delay.enable();
    let isOver = false;
    const over = () => isOver;
    const silences = silenceInSeries(fleet, shape, over);
    const changes = changeInSeries(fleet, shape, over);
    const ended: Ended[] = [];
    const callers = callInSeries(fleet, ended, over);
    await sleep(shape.durationMs);
    isOver = true;
    const silenceCount = await silences;
    const versions = await changes;
    await callers;
    const streams = ended.filter(({kind}) => kind === 'stream');
    const runs = streams.map(({id}) => runsOf(fleet.engines, id));
    return {
      seed: shape.seed,
      silences: silenceCount,
      versions,
      requests: ended.length,
      byEnd: countBy(ended, it => `${it.kind} ${endOf(it)}`),
      runsPerStream:
        Math.round(
          (runs.reduce((sum, count) => sum + count, 0) / runs.length) * 1_000,
        ) / 1_000,
      violations: [
        ...judge(fleet, ended),
        ...fleet.entries.flatMap(entry => entry.faults()),
      ],
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    await fleet.close();
  }
}

/** Nothing fails but for moments, so every request ends well in its time. */
function judge(fleet: SilenceFleet, ended: readonly Ended[]): string[] {
  return ended.flatMap(one => {
    const {id, kind, sentAt, endedAt} = one;
    const tookMs = Math.round(endedAt - sentAt);
    const replicas = kind === 'stream' ? fleet.engines : fleet.desks;
    const runs = runsOf(replicas, id);
    const found: string[] = [];
    if (kind === 'once' && runs > 1) found.push(`${id} ran ${runs} times`);
    const end = endOf(one);
    const hasTimedOut = tookMs > DEADLINE_SHARE * DEADLINE_MS;
    const isRefused = one.status === NOT_RUN && runs === 0;
    if (end !== 'whole' && !isRefused && !hasTimedOut) {
      found.push(`${id} ended ${end} after ${tookMs} ms, ran ${runs} times`);
    }
    return found;
  });
}

function endOf({kind, status, isWhole, body, id}: Ended): string {
  if (status === undefined) return 'without an answer';
  if (status !== OK) return `with ${status}`;
  if (!isWhole) return 'cut';
  const expected = kind === 'stream' ? WHOLE_STREAM : `answer to ${id}`;
  return body === expected ? 'whole' : 'wrong';
}

function runsOf(replicas: readonly ReplicaProcess[], id: string): number {
  return replicas.reduce((sum, replica) => sum + replica.runs(id), 0);
}

async function startFleet(shape: SilenceShape): Promise<SilenceFleet> {
  const store = await startStore();
  const start = (service: string, count: number) =>
    Promise.all(
      Array.from({length: count}, (_, at) =>
        startReplicaProcess({
          id: `${service}-${at}`,
          events: STREAM_EVENTS,
          pauseMs: EVENT_PAUSE_MS,
        }),
      ),
    );
  const engines = await start('pool', shape.engines);
  const desks = await start('desk', DESKS);
  const list =
    (service: string) =>
    ({id, address}: ReplicaProcess) =>
      store.put('servers', id, {
        service,
        address,
        zone: DOMAIN,
        slots: ROOMY_ENGINE.slots,
        state: 'ready',
        born: 1,
      });
  engines.forEach(list('pool'));
  desks.forEach(list('desk'));
  store.put('config', 'main', configAt(1));
  const ports = await freeAddresses(shape.processes * PORTS_PER_ENTRY);
  const entries = Array.from({length: shape.processes}, (_, at) => {
    const from = at * PORTS_PER_ENTRY;
    const own = ports.slice(from, from + PORTS_PER_ENTRY);
    const settings = settingsOf(at, store.address, own, {
      ...TIMING,
      revokeMs: 5_000,
    });
    return createEntryProcess(settings, shape.dir);
  });
  const replicas = [...engines, ...desks];
  // Else they would live on after a soak that is interrupted.
  const abort = () => {
    entries.forEach(entry => entry.abort());
    replicas.forEach(replica => replica.end());
  };
  process.once('exit', abort);
  await Promise.all(entries.map(entry => entry.start()));
  return {
    store,
    entries,
    engines,
    desks,
    close: async () => {
      process.off('exit', abort);
      await Promise.all(entries.map(entry => entry.kill()));
      replicas.forEach(replica => replica.end());
      await store.close();
    },
  };
}

/** A configuration whose routes leave streams time enough. */
function configAt(version: number) {
  const {routes, ...rest} = configOf(version);
  const timeoutMs = DEADLINE_MS + (version % 2) * 500;
  const gapAimMs = 250;
  return {
    ...rest,
    services: [{name: 'pool', engine: ROOMY_ENGINE}, {name: 'desk'}],
    routes: routes.map(route =>
      route.name === 'stream'
        ? {...route, gapAimMs, timeoutMs}
        : {...route, timeoutMs},
    ),
  };
}

async function changeInSeries(
  {store}: SilenceFleet,
  {changes, seed}: SilenceShape,
  isOver: () => boolean,
): Promise<number> {
  const random = seeded(seed, 1);
  let version = 1;
  while (changes && !isOver()) {
    const spreadMs = random.next() * CHANGE_GAP_SPREAD_MS;
    await sleep(SHORTEST_CHANGE_GAP_MS + spreadMs);
    version++;
    store.put('config', 'main', configAt(version));
  }
  return version;
}

async function silenceInSeries(
  {engines}: SilenceFleet,
  {seed, all, silenceMs}: SilenceShape,
  isOver: () => boolean,
): Promise<number> {
  const random = seeded(seed, 2);
  let silences = 0;
  while (!isOver()) {
    const spreadMs = random.next() * SILENCE_GAP_SPREAD_MS;
    await sleep(SHORTEST_SILENCE_GAP_MS + spreadMs);
    const silent = all ? engines : [engines[silences % engines.length]];
    silences++;
    silent.forEach(engine => engine.pause());
    await sleep(silenceMs);
    silent.forEach(engine => engine.wake());
  }
  return silences;
}

/** Each caller sends a call, a stream and a call on a kept connection. */
async function callInSeries(
  {entries}: SilenceFleet,
  ended: Ended[],
  isOver: () => boolean,
): Promise<void> {
  let sent = 0;
  const call = async (caller: number): Promise<void> => {
    const entry = caller % entries.length;
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver()) {
      for (const kind of ['once', 'stream', 'once'] as const) {
        const id = `${kind}-${++sent}-at-${entry}`;
        const asked = {id, kind, entry};
        ended.push(await send(entries[entry].callers, agent, asked));
      }
      await sleep(POLL_MS);
    }
    agent.destroy();
  };
  const callers = Math.max(CALLERS, entries.length);
  await Promise.all(Array.from({length: callers}, (_, at) => call(at)));
}

function send(
  address: string,
  agent: Agent,
  asked: Pick<Ended, 'id' | 'kind' | 'entry'>,
): Promise<Ended> {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise(resolve => {
    let status: number | undefined;
    let body = '';
    let isWhole = false;
    const end = () =>
      resolve({
        ...asked,
        sentAt,
        endedAt: performance.now(),
        status,
        body,
        isWhole,
      });
    const req = request({
      host,
      port,
      path: asked.kind === 'stream' ? '/stream/a' : '/once/a',
      method: 'POST',
      agent,
      headers: {
        Host: HOST,
        'X-Request-Id': asked.id,
        Authorization: `Token ${KEY}`,
        'X-Deadline-Ms': String(DEADLINE_MS),
        ...(asked.kind === 'stream' ? {'X-Token-Usage': '1000,100'} : {}),
      },
    });
    req.on('response', res => {
      status = res.statusCode;
      res.on('data', (piece: Buffer) => {
        body += piece.toString('utf8');
      });
      res.on('error', () => undefined);
      res.on('close', () => {
        isWhole = res.complete;
        end();
      });
    });
    req.on('error', () => status === undefined && end());
    req.end('a prompt');
  });
}

async function allReady({entries}: SilenceFleet): Promise<void> {
  const endsAt = performance.now() + START_LIMIT_MS;
  for (;;) {
    const ready = await Promise.all(entries.map(entry => entry.isReady()));
    if (!ready.includes(false)) return;
    if (performance.now() > endsAt) throw new Error('entries are not ready');
    await sleep(POLL_MS);
  }
}

function countBy<T>(
  all: readonly T[],
  keyOf: (item: T) => string,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const item of all) counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1;
  return counts;
}

function seeded(seed: number, part: number): Random {
  const random = createSeededRandom(seed * 100 + part);
  for (let at = 0; at < WARM_UP_DRAWS; at++) random.next();
  return random;
}
