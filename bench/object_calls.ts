/**
 * Calls to the object API by purpose, counted in runs of the real services on
 * the virtual clock: at rest, under requests that claim a key, with a patch,
 * and in the first second after an outage. Prints JSON.
 */
import type {StorePurpose} from '../src/types/platform.js';
import type {Ask} from '../standins/fleet_callers.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';

const DOMAINS = ['hall-north', 'hall-south', 'hall-east'];
const CLAIMS_PER_SEC = 10;

/** How long each part of a run lasts, in milliseconds. */
export interface CountTimes {
  readonly warmUpMs: number;
  readonly restMs: number;
  readonly loadMs: number;
  readonly outageMs: number;
  readonly afterMs: number;
}

const LONG_TIMES: CountTimes = {
  warmUpMs: 70_000,
  restMs: 120_000,
  loadMs: 20_000,
  outageMs: 120_000,
  afterMs: 60_000,
};

const CLAIMED: Ask = {
  kind: 'call',
  organisation: 'prairie-sky',
  promptTokens: 0,
  maxTokens: 0,
  timeLimitMs: 30_000,
  repeatable: false,
  priority: 1,
};

interface Calls {
  readonly reads: number;
  readonly writes: number;
}

type ByPurpose = {readonly [purpose in StorePurpose]?: Calls};

function isWrite(kind: string): boolean {
  return kind === 'create' || kind === 'update' || kind === 'remove';
}

function countOf(fleet: MemoryFleet): ByPurpose {
  const sums: {[purpose: string]: Calls} = {};
  for (const {purpose, kind, calls} of fleet.store.counts()) {
    const before = sums[purpose] ?? {reads: 0, writes: 0};
    sums[purpose] = isWrite(kind)
      ? {...before, writes: before.writes + calls}
      : {...before, reads: before.reads + calls};
  }
  return sums;
}

/** Calls a second by purpose between two counts. */
function perSec(before: ByPurpose, after: ByPurpose, ms: number): ByPurpose {
  const rate = (now = 0, then = 0) =>
    Math.round(((now - then) * 1e5) / ms) / 100;
  return Object.fromEntries(
    Object.entries(after).map(([purpose, calls]) => {
      const old = before[purpose as StorePurpose];
      return [
        purpose,
        {
          reads: rate(calls.reads, old?.reads),
          writes: rate(calls.writes, old?.writes),
        },
      ];
    }),
  );
}

function total(counts: ByPurpose): number {
  return Object.values(counts)
    .map(({reads, writes}) => reads + writes)
    .reduce((sum, calls) => sum + calls, 0);
}

/** One size of fleet. */
export async function countCalls(
  entries: number,
  engines: number,
  times: CountTimes = LONG_TIMES,
) {
  const fleet = createMemoryFleet({
    seed: entries,
    entries,
    engines,
    services: 3,
    failureDomains: DOMAINS,
    keepEvents: 1_000,
  });
  await fleet.start();
  const started = countOf(fleet);
  await fleet.clock.runFor(times.warmUpMs);
  const rest = countOf(fleet);
  await fleet.clock.runFor(times.restMs);
  const rested = countOf(fleet);
  for (let at = 0; at < (times.loadMs / 1_000) * CLAIMS_PER_SEC; at++) {
    fleet.submit(at % entries, {...CLAIMED, idempotencyKey: `key-${at}`});
    await fleet.clock.runFor(1_000 / CLAIMS_PER_SEC);
  }
  const loaded = countOf(fleet);
  fleet.store.setFaults({outage: true});
  await fleet.clock.runFor(times.outageMs);
  const out = countOf(fleet);
  fleet.store.setFaults({outage: false});
  const after: number[] = [];
  let last = total(out);
  for (let ms = 0; ms < times.afterMs; ms += 1_000) {
    await fleet.clock.runFor(1_000);
    const now = total(countOf(fleet));
    after.push(now - last);
    last = now;
  }
  fleet.stop();
  return {
    entries,
    engines,
    callsToStart: total(started),
    atRestPerSec: perSec(rest, rested, times.restMs),
    withClaimsPerSec: perSec(rested, loaded, times.loadMs),
    claimsPerSec: CLAIMS_PER_SEC,
    duringOutagePerSec: perSec(loaded, out, times.outageMs),
    firstSecondAfterOutage: after[0],
    mostInASecondAfterOutage: Math.max(...after),
  };
}

/** `args`: pairs of entries and engines. */
export async function benchObjectCalls(args: readonly string[]): Promise<void> {
  const sizes = args.length === 0 ? [3, 16, 40, 64] : args.map(Number);
  for (let at = 0; at + 1 < sizes.length; at += 2) {
    const [entries = 0, engines = 0] = sizes.slice(at, at + 2);
    console.log(
      JSON.stringify(await countCalls(entries, engines), undefined, 1),
    );
  }
}
