/** Judges a fleet after its quiet time: nothing is left, nothing ran twice. */
import type {RequestId} from '../src/types/ids.js';
import {finalOf} from '../standins/fleet_callers.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {Breach, JudgeNotes} from './soak_judge.js';

type Check = (
  fleet: MemoryFleet,
  notes: JudgeNotes,
) => Breach | undefined | Promise<Breach | undefined>;

export async function judgeEnd(
  fleet: MemoryFleet,
  notes: JudgeNotes,
): Promise<Breach | undefined> {
  const checks: readonly Check[] = [
    everyoneAnswered,
    truthOfRan,
    ranOnce,
    keysRanOnce,
    enginesEmpty,
    sidesEmpty,
    entriesEmpty,
    oneConfiguration,
    patchesKept,
  ];
  for (const check of checks) {
    const breach = await check(fleet, notes);
    if (breach !== undefined) return breach;
  }
  return undefined;
}

const breach = (
  invariant: string,
  message: string,
  request?: RequestId,
): Breach => ({invariant, message, request});

function everyoneAnswered(fleet: MemoryFleet): Breach | undefined {
  const one = fleet.tracked.find(each => each.finals === 0 && !each.cut);
  if (one === undefined) return undefined;
  return breach('a one final event', 'none after the quiet time', one.id);
}

/** How often each request truly began, by the upstreams' own counters. */
export function timesRun(fleet: MemoryFleet): ReadonlyMap<RequestId, number> {
  const times = new Map<RequestId, number>();
  const add = (dispatchId: string, count: number) => {
    const id = dispatchId.split('.')[0] ?? '';
    times.set(id, (times.get(id) ?? 0) + count);
  };
  for (const {model, starts} of fleet.engines) {
    const holds = new Set(
      starts.filter(({req}) => req.holdOnly).map(({req}) => req.runId),
    );
    for (const [runId, count] of Object.entries(model.counts().runsStarted)) {
      if (!holds.has(runId)) add(runId, count);
    }
  }
  for (const {core} of fleet.services) {
    for (const [runId, count] of Object.entries(core.counts().runs)) {
      add(runId, count);
    }
  }
  return times;
}

function truthOfRan(fleet: MemoryFleet): Breach | undefined {
  const times = timesRun(fleet);
  for (const one of fleet.tracked) {
    const final = finalOf(one);
    if (final?.kind !== 'failed' || final.error.ran !== 'no') continue;
    // A resume that finds nothing speaks of itself, not of the request.
    if (one.resumed) continue;
    const count = times.get(one.id) ?? 0;
    if (count === 0) continue;
    const {code, step, message} = final.error;
    const said = `told not run (${code} at ${step}: ${message})`;
    return breach('c not run', `${said}, ran ${count} times`, one.id);
  }
  return undefined;
}

function ranOnce(fleet: MemoryFleet): Breach | undefined {
  const times = timesRun(fleet);
  for (const one of fleet.tracked) {
    const count = times.get(one.id) ?? 0;
    if (one.ask.repeatable || count <= 1) continue;
    return breach('d at most once', `ran ${count} times`, one.id);
  }
  return undefined;
}

function keysRanOnce(
  fleet: MemoryFleet,
  notes: JudgeNotes,
): Breach | undefined {
  const times = timesRun(fleet);
  for (const [key, ids] of notes.keys) {
    const ran = ids.filter(id => (times.get(id) ?? 0) > 0);
    if (ran.length <= 1) continue;
    const message = `${key} ran for ${ran.join(' and ')}`;
    return breach('d key at most once', message, ran[1]);
  }
  return undefined;
}

function enginesEmpty(fleet: MemoryFleet): Breach | undefined {
  for (const {name, model} of fleet.engines) {
    const {usedTokens, waiting, running} = model.counts();
    if (usedTokens === 0 && waiting === 0 && running === 0) continue;
    const [left] = model.list().filter(run => run.state !== 'done');
    const message =
      `${name} holds ${usedTokens} tokens, ` +
      `${running} running, ${waiting} waiting, first ${left?.runId}`;
    return breach('e memory is back', message, left?.runId.split('.')[0]);
  }
  for (const {name, core} of fleet.services) {
    const {running} = core.counts();
    if (running > 0) {
      return breach('e memory is back', `${name} has ${running} running`);
    }
  }
  return undefined;
}

async function sidesEmpty(fleet: MemoryFleet): Promise<Breach | undefined> {
  for (const side of fleet.sides) {
    const asked = side.status();
    await fleet.clock.settle();
    const {reservedTokens, runs, channels} = await asked;
    const open = runs.filter(({state}) => !KEPT_STATES.has(state));
    if (reservedTokens === 0 && open.length === 0 && channels === 0) continue;
    const [first] = open;
    const message =
      `${side.name} has ${reservedTokens} tokens reserved, ` +
      `${channels} channels, runs ${JSON.stringify(open.slice(0, 3))}`;
    const request = first?.dispatchId.split('.')[0];
    return breach('e nothing is left', message, request);
  }
  return undefined;
}

/** An ended run's answer is kept for a while. */
const KEPT_STATES: ReadonlySet<string> = new Set([
  'ended',
  'failed',
  'cancelled',
]);

async function entriesEmpty(fleet: MemoryFleet): Promise<Breach | undefined> {
  for (const entry of fleet.entries) {
    const asked = entry.openRequests();
    await fleet.clock.settle();
    const count = await asked;
    if (count > 0) {
      const message = `${entry.name} has ${count} requests open`;
      return breach('e nothing is left', message);
    }
  }
  return undefined;
}

interface Head {
  readonly number: number;
}

function headNumber(fleet: MemoryFleet): number {
  return fleet.store
    .peek('config/head')
    .map(object => (JSON.parse(object.value) as Head).number)
    .orDefault(0);
}

function oneConfiguration(fleet: MemoryFleet): Breach | undefined {
  const number = headNumber(fleet);
  for (const process of [...fleet.entries, ...fleet.sides]) {
    const own = process.config()?.number ?? 0;
    if (own === number) continue;
    const message = `${process.name} has number ${own}, the store ${number}`;
    return breach('g all agree', message);
  }
  return undefined;
}

/** Accepted patches have each its own number, and none is over the head. */
function patchesKept(
  fleet: MemoryFleet,
  notes: JudgeNotes,
): Breach | undefined {
  const byNumber = new Map<number, string>();
  const head = headNumber(fleet);
  for (const [patchId, outcome] of notes.patches) {
    const number = outcome?.toMaybe().extract()?.number;
    if (number === undefined) continue;
    const other = byNumber.get(number);
    if (other !== undefined || number > head) {
      const message = `${patchId} got ${number}; ${other ?? `head ${head}`}`;
      return breach('g accepted stays', message);
    }
    byNumber.set(number, patchId);
  }
  return undefined;
}
