/**
 * Faults of whole parts of a fleet, under load, on the virtual clock with the
 * real services: how soon each entry sees the loss and the return, and whether
 * any request or any memory was lost. Tests assert on the same figures that
 * the bench prints.
 */
import {finalOf} from '../standins/fleet_callers.js';
import type {Ask, Tracked} from '../standins/fleet_callers.js';
import type {FleetEntry} from '../standins/fleet_entry.js';
import type {FleetSide} from '../standins/fleet_upstreams.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {NodeId} from '../src/types/ids.js';

export const DOMAINS = ['hall-north', 'hall-south', 'hall-east'] as const;
const ENTRIES = 3;
const ENGINES = 9;
const SERVICES = 3;
const STEP_MS = 50;
const ASK_EVERY_MS = 100;
const SETTLE_MS = 60_000;

const SHORT: Ask = {
  kind: 'completion',
  organisation: 'prairie-sky',
  promptTokens: 1_000,
  maxTokens: 20,
  timeLimitMs: 30_000,
  repeatable: true,
  priority: 1,
};
const CALL: Ask = {...SHORT, kind: 'call', promptTokens: 0, maxTokens: 0};

/** What became of the requests and of the memory. */
export interface Outcome {
  readonly asked: number;
  readonly whole: number;
  /** Ended in a timely failure. */
  readonly failed: number;
  /** Their entry crashed, and their connection with it. */
  readonly cut: number;
  /** No final event, or more than one, or another's answer. */
  readonly lost: number;
  /** Tokens that engines still hold when all has ended. */
  readonly heldTokens: number;
  readonly violations: readonly string[];
}

export interface Trial {
  readonly fleet: MemoryFleet;
  /** Entries to which the platform's balancer sends nothing. */
  readonly unbalanced: Set<NodeId>;
  /** Runs with load until `done` holds; the time it took, or -1. */
  until(done: () => boolean, limitMs: number): Promise<number>;
  run(ms: number, each?: () => void): Promise<void>;
  /** Ends the load, waits for what is open and counts. */
  finish(): Promise<Outcome>;
}

/** A fleet under a steady load of completions and calls. */
export async function startTrial(seed: number): Promise<Trial> {
  const fleet = createMemoryFleet({
    seed,
    entries: ENTRIES,
    engines: ENGINES,
    services: SERVICES,
    failureDomains: DOMAINS,
  });
  await fleet.start();
  const unbalanced = new Set<NodeId>();
  let asked = 0;

  const ask = (): void => {
    const alive = fleet.entries.flatMap((entry, at) =>
      isServing(entry) && !unbalanced.has(entry.name) ? [at] : [],
    );
    const at = alive[asked % Math.max(1, alive.length)];
    asked += 1;
    if (at === undefined) return;
    fleet.submit(at, asked % 5 === 0 ? CALL : SHORT);
  };

  const step = async (isLoaded: boolean): Promise<void> => {
    const isDue = fleet.clock.now() % ASK_EVERY_MS < STEP_MS;
    if (isLoaded && isDue) ask();
    await fleet.clock.runFor(STEP_MS);
  };

  const run: Trial['run'] = async (ms, each = () => undefined) => {
    for (let ran = 0; ran < ms; ran += STEP_MS) {
      await step(true);
      each();
    }
  };

  const until: Trial['until'] = async (done, limitMs) => {
    for (let ran = 0; ran < limitMs; ran += STEP_MS) {
      if (done()) return ran;
      await step(true);
    }
    return done() ? limitMs : -1;
  };

  const finish = async (): Promise<Outcome> => {
    await fleet.clock.runFor(SETTLE_MS);
    const outcome = count(fleet);
    fleet.stop();
    return outcome;
  };

  return {fleet, unbalanced, until, run, finish};
}

/** As `/readyz` would tell the balancer. */
function isServing(entry: FleetEntry): boolean {
  return entry.isAlive() && (entry.config()?.number ?? 0) > 0;
}

function isLost(one: Tracked): boolean {
  if (one.cut) return one.finals > 1;
  if (one.finals !== 1) return true;
  return finalOf(one)?.kind === 'end' && one.text !== one.expected;
}

function count(fleet: MemoryFleet): Outcome {
  const kinds = fleet.tracked.map(one => finalOf(one)?.kind);
  return {
    asked: fleet.tracked.length,
    whole: kinds.filter(kind => kind === 'end').length,
    failed: kinds.filter(kind => kind === 'failed').length,
    cut: fleet.tracked.filter(one => one.cut && one.finals === 0).length,
    lost: fleet.tracked.filter(isLost).length,
    heldTokens: fleet.engines
      .map(engine => engine.model.counts().usedTokens)
      .reduce((sum, tokens) => sum + tokens, 0),
    violations: fleet.violations,
  };
}

/** States of these sides in an entry's view. */
export function statesAt(
  entry: FleetEntry,
  sides: readonly FleetSide[],
): readonly string[] {
  const replicas = entry.view()?.replicas ?? [];
  return sides.map(
    side =>
      replicas.find(replica => replica.address === side.address)?.state ??
      'gone',
  );
}

/** Every living entry, of those given, has these sides live, or none so. */
export function allSee(
  entries: readonly FleetEntry[],
  sides: readonly FleetSide[],
  isLive: boolean,
): boolean {
  return entries
    .filter(entry => entry.isAlive())
    .every(entry =>
      statesAt(entry, sides).every(state => (state === 'live') === isLive),
    );
}

export function inDomain<T extends {readonly failureDomain: string}>(
  processes: readonly T[],
  domain: string,
): readonly T[] {
  return processes.filter(each => each.failureDomain === domain);
}

/** Placements at these sides after `since`, the last one's lateness. */
export function lastPlacedMs(
  fleet: MemoryFleet,
  sides: readonly FleetSide[],
  since: number,
): number {
  const addresses = new Set(sides.map(side => side.address));
  const late = fleet.tracked
    .flatMap(one => one.placements)
    .filter(({at, side}) => at > since && addresses.has(side))
    .map(({at}) => at - since);
  return Math.max(0, ...late);
}

/** Takes a whole failure domain away, upstreams as well. */
export function loseDomain(fleet: MemoryFleet, domain: string): void {
  for (const engine of inDomain(fleet.engines, domain)) engine.kill();
  for (const process of inDomain([...fleet.sides, ...fleet.entries], domain)) {
    process.crash();
  }
}

export async function returnDomain(
  fleet: MemoryFleet,
  domain: string,
): Promise<void> {
  for (const engine of inDomain(fleet.engines, domain)) engine.revive();
  const gone = inDomain([...fleet.sides, ...fleet.entries], domain);
  await Promise.all(gone.map(process => process.start()));
}

/** Cuts, or heals, all connections between two groups of failure domains. */
export function setRegionCut(
  fleet: MemoryFleet,
  domain: string,
  isCut: boolean,
): void {
  const all = [...fleet.sides, ...fleet.entries];
  const {cut, heal} = fleet.network.faults;
  for (const here of inDomain(all, domain)) {
    for (const there of all) {
      if (there.failureDomain === domain) continue;
      if (isCut) cut(here.address, there.address);
      else heal(here.address, there.address);
    }
  }
}

/** Drains a host, takes it away and puts another at its address. */
export async function replaceHost(
  trial: Trial,
  process: FleetEntry | FleetSide,
  generation: number,
): Promise<void> {
  const {fleet} = trial;
  fleet.hostList.leave(hostName(process, generation - 1));
  let drained = false;
  trial.unbalanced.add(process.name);
  void process.drain().then(() => {
    drained = true;
  });
  await trial.until(() => drained, 60_000);
  const engine = fleet.engines.find(each => each.name === process.name);
  process.crash();
  engine?.kill();
  fleet.hostList.remove(hostName(process, generation - 1));
  await trial.run(2_000);
  engine?.revive();
  putHost(fleet, process, generation);
  // A service's start may wait for a timer, so time runs meanwhile.
  let started = false;
  void process.start().then(() => {
    started = true;
  });
  await trial.until(() => started, 10_000);
  trial.unbalanced.delete(process.name);
}

function hostName(process: FleetEntry | FleetSide, generation: number) {
  return generation === 0 ? process.host : `${process.host}-${generation}`;
}

function putHost(
  fleet: MemoryFleet,
  process: FleetEntry | FleetSide,
  generation: number,
): void {
  const {address, failureDomain} = process;
  const pool = 'pool' in process ? process.pool : 'entry';
  const host = hostName(process, generation);
  fleet.hostList.put({host, address, failureDomain, pool, state: 'live'});
}
