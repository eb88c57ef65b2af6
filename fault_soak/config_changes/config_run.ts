/**
 * One run of changes of the configuration in series beside troubles. Callers
 * ask each entry for routes that were added or dropped lately, and the judge
 * holds the answers to the store's acknowledgements.
 */
import {Agent, request} from 'node:http';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import type {Random} from '../../src/types/runtime.js';
import type {SoakFleet} from '../soak_fleet.js';
import {TIMING, startSoakFleet} from '../soak_fleet.js';
import {CONFIG_APPLY_MS, createRouteHistory} from './route_history.js';
import type {RouteHistory} from './route_history.js';
import {TROUBLES, createTroubles} from './troubles.js';
import type {Trouble, Troubles} from './troubles.js';

export interface ConfigRunShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  readonly durationMs: number;
  /** This trouble alone. @default each, in drawn order, also overlapping */
  readonly trouble?: Trouble;
  /** Where settings and logs are written. */
  readonly dir: string;
}

/** An answer that no version in force allows. */
export interface LateAnswer {
  readonly id: string;
  readonly entry: string;
  readonly prefix: string;
  readonly status: number;
  /** Steady time since the run began. */
  readonly sentAt: number;
  readonly inTouch: boolean;
}

export interface ConfigReport {
  readonly seed: number;
  readonly trouble: string;
  readonly versions: number;
  readonly probes: number;
  /** Of entries in touch. */
  readonly judged: number;
  /**
   * Requests of entries in touch that were told to come back, or not answered,
   * by what they got.
   */
  readonly unserved: Readonly<Record<string, number>>;
  readonly lateInTouch: number;
  readonly lateInAll: number;
  readonly late: readonly LateAnswer[];
  /** Calls that reached the store, a second and entry. */
  readonly storeCalls: number;
  readonly faults: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

/** Bound on removed keys as deployed; longer than that on a new version. */
const REVOKE_MS = 5_000;
/** Mean pause between two changes; each run draws its own between these. */
const SHORTEST_MEAN_CHANGE_GAP_MS = 400;
const LONGEST_MEAN_CHANGE_GAP_MS = 3_000;
const MEAN_TROUBLE_GAP_MS = 2_500;
/** Entries are in touch again for a while before the next silence. */
const SHORTEST_SILENCE_GAP_MS = 4_000;
/** Mean pause between two requests to an entry, and at least so much in all. */
const PROBE_PAUSE_MS = 40;
const PROBE_PAUSE_PER_ENTRY_MS = 1.5;
const PROBE_TIMEOUT_MS = 2_500;
const ROUTE_TIMEOUT_MS = 800;
const START_LIMIT_MS = 60_000;
const POLL_MS = 100;
const OK = 200;
const NOT_FOUND = 404;
const DENIALS: ReadonlySet<number> = new Set([401, 403, NOT_FOUND]);
/** The first draws of small seeds are alike. */
const WARM_UP_DRAWS = 8;

interface Probe {
  readonly id: string;
  readonly entry: number;
  readonly prefix: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined without an answer. */
  readonly status: number | undefined;
  /** Body of an answer without success, or the error without an answer. */
  readonly message: string;
}

export async function runConfigChanges(
  shape: ConfigRunShape,
): Promise<ConfigReport> {
  const {seed, durationMs} = shape;
  const timing = timingOf(seed);
  const fleet = await startSoakFleet(shape.processes, shape.dir, timing);
  const troubles = createTroubles(fleet, seeded(seed, 1));
  const history = createRouteHistory();
  const delay = monitorEventLoopDelay();
  try {
    await allReady(fleet);
    delay.enable();
    const startedAt = performance.now();
    const callsBefore = fleet.store.calls();
    let isOver = false;
    const over = () => isOver;
    const changes = changeInSeries(fleet, history, seeded(seed, 2), over);
    const troubled = troubleInSeries(troubles, shape, seeded(seed, 3), over);
    const probes = fleet.entries.map((_, entry) =>
      probeInSeries(fleet, entry, history, seeded(seed, 10 + entry), over),
    );
    await sleep(durationMs);
    isOver = true;
    const versions = await changes;
    await troubled;
    const seen = (await Promise.all(probes)).flat();
    const calls = fleet.store.calls() - callsBefore;
    await troubles.heal();
    const late = seen
      .filter(probe => isLate(probe, history))
      .map(({id, entry, prefix, status = 0, sentAt}) => ({
        id,
        entry: fleet.entries[entry].name,
        prefix,
        status,
        sentAt: Math.round(sentAt - startedAt),
        inTouch: troubles.isInTouch(entry, sentAt),
      }));
    const judged = seen.filter(it => troubles.isInTouch(it.entry, it.sentAt));
    return {
      seed,
      trouble: shape.trouble ?? 'all',
      versions,
      probes: seen.length,
      judged: judged.length,
      unserved: countUnserved(judged),
      lateInTouch: late.filter(({inTouch}) => inTouch).length,
      lateInAll: late.length,
      late,
      storeCalls:
        Math.round((calls * 1e5) / durationMs / fleet.entries.length) / 100,
      faults: fleet.entries.flatMap(entry => entry.faults()),
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    await fleet.close();
  }
}

function countUnserved(
  probes: readonly Probe[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {status, message} of probes) {
    if (status === OK || status === NOT_FOUND) continue;
    const answer = `${status ?? 'none'} ${message}`;
    counts[answer] = (counts[answer] ?? 0) + 1;
  }
  return counts;
}

/** Some deployments do not ask for evacuations. */
function timingOf(seed: number) {
  return {
    ...TIMING,
    revokeMs: REVOKE_MS,
    configMs: CONFIG_APPLY_MS,
    evacuateMs: seed % 2 === 0 ? TIMING.evacuateMs : undefined,
  };
}

/** Whether no version allows the answer that may have been in force. */
function isLate(probe: Probe, history: RouteHistory): boolean {
  const {prefix, sentAt, endedAt, status} = probe;
  const from = sentAt - CONFIG_APPLY_MS;
  const {present, absent} = history.allowed(prefix, from, endedAt);
  if (status === OK) return !present;
  return status !== undefined && DENIALS.has(status) && !absent;
}

function seeded(seed: number, purpose: number): Random {
  const random = createSeededRandom(seed * 1_000 + purpose);
  for (let drawn = 0; drawn < WARM_UP_DRAWS; drawn++) random.next();
  return random;
}

/** A pause with this mean, sometimes far shorter. */
function drawGap(random: Random, meanMs: number): number {
  return -Math.log(1 - random.next()) * meanMs;
}

async function changeInSeries(
  fleet: SoakFleet,
  history: RouteHistory,
  random: Random,
  isOver: () => boolean,
): Promise<number> {
  const spreadMs = LONGEST_MEAN_CHANGE_GAP_MS - SHORTEST_MEAN_CHANGE_GAP_MS;
  const meanMs = SHORTEST_MEAN_CHANGE_GAP_MS + random.next() * spreadMs;
  let version = 1;
  let changes = 0;
  while (!isOver()) {
    // Versions rise in uneven steps.
    version += 1 + Math.floor(random.next() * 3);
    changes++;
    const {routes, ...rest} = configOf(version);
    const added = history.change(random).map(pathPrefix => ({
      name: pathPrefix,
      host: HOST,
      pathPrefix,
      kind: 'safe',
      timeoutMs: ROUTE_TIMEOUT_MS,
      service: 'desk',
      maxAttempts: 2,
    }));
    fleet.store.put('config', 'main', {...rest, routes: [...routes, ...added]});
    history.acknowledged(performance.now());
    await sleep(drawGap(random, meanMs));
  }
  return changes;
}

async function troubleInSeries(
  troubles: Troubles,
  {trouble}: ConfigRunShape,
  random: Random,
  isOver: () => boolean,
): Promise<void> {
  const isSilence = trouble === 'silence' || trouble === 'silence-some';
  const shortestMs = isSilence ? SHORTEST_SILENCE_GAP_MS : 0;
  while (!isOver()) {
    await sleep(shortestMs + drawGap(random, MEAN_TROUBLE_GAP_MS));
    const drawn = TROUBLES[Math.floor(random.next() * TROUBLES.length)];
    if (!isOver()) troubles.begin(trouble ?? drawn);
  }
}

async function probeInSeries(
  fleet: SoakFleet,
  entry: number,
  history: RouteHistory,
  random: Random,
  isOver: () => boolean,
): Promise<readonly Probe[]> {
  const agent = new Agent({keepAlive: true, maxSockets: 4});
  const pauseMs =
    PROBE_PAUSE_MS + PROBE_PAUSE_PER_ENTRY_MS * fleet.entries.length;
  const pending: Array<Promise<Probe>> = [];
  let sent = 0;
  while (!isOver()) {
    await sleep(random.next() * 2 * pauseMs);
    const id = `probe-${entry}-${sent++}`;
    const prefix = history.drawPrefix(random);
    const {callers} = fleet.entries[entry];
    pending.push(sendProbe(callers, agent, {id, entry, prefix}));
  }
  const probes = await Promise.all(pending);
  agent.destroy();
  return probes;
}

function sendProbe(
  address: string,
  agent: Agent,
  asked: Pick<Probe, 'id' | 'entry' | 'prefix'>,
): Promise<Probe> {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise(resolve => {
    const end = (status: number | undefined, message: string) =>
      resolve({...asked, sentAt, endedAt: performance.now(), status, message});
    const req = request({
      host,
      port,
      path: `${asked.prefix}x`,
      agent,
      timeout: PROBE_TIMEOUT_MS,
      headers: {
        Host: HOST,
        'X-Request-Id': asked.id,
        Authorization: `Token ${KEY}`,
        'X-Deadline-Ms': String(PROBE_TIMEOUT_MS),
      },
    });
    req.on('response', res => {
      let body = '';
      res.on('data', piece => {
        body += String(piece);
      });
      res.on('close', () => end(res.statusCode, body));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', err => end(undefined, err.message));
    req.end();
  });
}

async function allReady(fleet: SoakFleet): Promise<void> {
  const endsAt = performance.now() + START_LIMIT_MS;
  for (;;) {
    const ready = await Promise.all(
      fleet.entries.map(entry => entry.isReady()),
    );
    if (!ready.includes(false)) return;
    if (performance.now() > endsAt) throw new Error('entries are not ready');
    await sleep(POLL_MS);
  }
}
