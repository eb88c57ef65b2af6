/**
 * How long the system takes to recover from each kind of fault, with real
 * processes and the settings' own timing: from the fault until a request is
 * first served again by others, and until all of the capacity is back.
 * `--json FILE` writes the figures, `--rounds N` repeats each fault.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {cpus, loadavg, tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {makePrompt} from '../demo/batch.js';
import {call, complete} from '../demo/caller.js';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import {startFleet} from '../demo/fleet_runner.js';
import type {Fleet} from '../demo/fleet_runner.js';

const BOUND_MS = 60_000;
const PROBE_EVERY_MS = 50;
const TIME_LIMIT_MS = 20_000;
/** Requests under way at the fault; each takes about two seconds. */
const LOAD = 12;
const LOAD_TOKENS = 600;
const LOAD_LEAD_MS = 600;
/** What ended is started again only after a while, as a platform does. */
const DOWN_MS = 4_000;

interface Fault {
  readonly kind: string;
  /** What `served` and `back` mean for this fault, if not the usual. */
  readonly note?: string;
  start(fleet: Fleet): Promise<void>;
  /** Ends the fault; the capacity comes back by itself after that. */
  mend(fleet: Fleet): Promise<void>;
  /** Whether all capacity is back. */
  isBack(fleet: Fleet): Promise<boolean>;
}

interface Recovery {
  readonly kind: string;
  readonly round: number;
  /** From the fault to the end of the first request served after it. */
  readonly servedMs: number;
  /** From the end of the fault until all capacity serves again. */
  readonly backMs: number;
  /** Probes that failed until then. */
  readonly failedProbes: number;
  /** From the fault until each request that was under way has its end. */
  readonly loadEndedMs: number;
  /** Of the requests under way, those that ended whole and those that did not. */
  readonly loadWhole: number;
  readonly loadFailed: number;
}

let probes = 0;

function ask(fleet: Fleet, entry: number, maxTokens = 4) {
  return complete({
    entryUrl: fleet.file.entries[entry] as string,
    key: fleet.file.organisations[0]?.key as string,
    prompt: makePrompt(probes++, 200),
    maxTokens,
    stream: true,
    priority: 'interactive',
    timeLimitMs: TIME_LIMIT_MS,
    repeatable: true,
    idempotencyKey: undefined,
  });
}

async function completes(fleet: Fleet, entry: number): Promise<boolean> {
  return (await ask(fleet, entry)).complete;
}

async function claims(fleet: Fleet): Promise<boolean> {
  const outcome = await call({
    entryUrl: fleet.file.entries[1] as string,
    key: fleet.file.organisations[0]?.key as string,
    pool: fleet.plan.shape.servicePool,
    method: 'POST',
    path: '/permits',
    body: '{}',
    timeLimitMs: TIME_LIMIT_MS,
    repeatable: false,
    idempotencyKey: `recovery-${probes++}`,
  });
  return outcome.status === 200;
}

async function runsBegun(fleet: Fleet, engine: number): Promise<number> {
  const res = await request(`${fleet.plan.engineUrls[engine]}/counts`);
  const {runsStarted} = (await res.body.json()) as {runsStarted: object};
  return Object.keys(runsStarted).length;
}

/** Whether the engine gets work again, with some requests at once. */
async function engineGetsWork(fleet: Fleet, engine: number): Promise<boolean> {
  const before = await runsBegun(fleet, engine);
  await Promise.all(Array.from({length: 8}, (_, i) => ask(fleet, i % 2)));
  return (await runsBegun(fleet, engine)) > before;
}

const kill = (fleet: Fleet, name: string, signal: NodeJS.Signals) =>
  Promise.resolve(void process.kill(fleet.pid(name), signal));

const setHost = async (fleet: Fleet, state: 'live' | 'leaving') => {
  const host = fleet.plan.hosts.find(one => one.host === 'host-side-engine-1');
  await request(`${fleet.plan.hostListUrl}/v1/hosts/host-side-engine-1`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({...host, state}),
  });
};

const firstEngine = (fleet: Fleet) => engineGetsWork(fleet, 0);

const FAULTS: readonly Fault[] = [
  {
    kind: 'side killed',
    start: fleet => kill(fleet, 'side-engine-1', 'SIGKILL'),
    mend: fleet => fleet.restart('side-engine-1'),
    isBack: firstEngine,
  },
  {
    kind: 'engine killed',
    start: fleet => kill(fleet, 'engine-1', 'SIGKILL'),
    mend: fleet => fleet.restart('engine-1'),
    isBack: firstEngine,
  },
  {
    kind: 'entry killed',
    note: 'served: at the other entry',
    start: fleet => kill(fleet, 'entry-1', 'SIGKILL'),
    mend: fleet => fleet.restart('entry-1'),
    isBack: fleet => completes(fleet, 0),
  },
  {
    kind: 'side frozen',
    start: fleet => kill(fleet, 'side-engine-1', 'SIGSTOP'),
    mend: fleet => kill(fleet, 'side-engine-1', 'SIGCONT'),
    isBack: firstEngine,
  },
  {
    kind: 'silent connection',
    note: 'entry to side; ends by itself',
    start: fleet => fleet.fault('relay-side-engine-1', {silence: true}),
    mend: () => Promise.resolve(),
    isBack: firstEngine,
  },
  {
    kind: 'store out',
    note: 'served: repeatable work; back: calls with a key',
    start: fleet => fleet.fault('object-api', {outage: true}),
    mend: fleet => fleet.fault('object-api', {outage: false}),
    isBack: claims,
  },
  {
    kind: 'host leaving',
    start: fleet => setHost(fleet, 'leaving'),
    mend: fleet => setHost(fleet, 'live'),
    isBack: firstEngine,
  },
];

async function timeUntil(
  check: () => Promise<boolean>,
): Promise<{readonly ms: number; readonly failed: number}> {
  const startedAt = performance.now();
  for (let failed = 0; ; failed++) {
    if (await check()) return {ms: performance.now() - startedAt, failed};
    if (performance.now() - startedAt > BOUND_MS) {
      return {ms: Number.NaN, failed};
    }
    await sleep(PROBE_EVERY_MS);
  }
}

/** Requests in progress, so that the fault hits some in mid-answer. */
async function backgroundLoad(fleet: Fleet, entry: number) {
  const all = Promise.all(
    Array.from({length: LOAD}, () => ask(fleet, entry, LOAD_TOKENS)),
  ).then(outcomes => ({outcomes, endedAt: performance.now()}));
  await sleep(LOAD_LEAD_MS);
  return {all};
}

async function measure(
  fleet: Fleet,
  fault: Fault,
  round: number,
): Promise<Recovery> {
  const load = await backgroundLoad(fleet, 1);
  const faultAt = performance.now();
  await fault.start(fleet);
  // Several at once, so that some are routed to what is at fault.
  const served = await timeUntil(async () => {
    const all = await Promise.all(
      Array.from({length: 6}, () => completes(fleet, 1)),
    );
    return all.every(Boolean);
  });
  const {outcomes, endedAt} = await load.all;
  const loadEndedMs = Math.round(endedAt - faultAt);
  const loadWhole = outcomes.filter(({complete}) => complete).length;
  await sleep(DOWN_MS);
  await fault.mend(fleet);
  const back = await timeUntil(() => fault.isBack(fleet));
  await sleep(2_000);
  return {
    kind: fault.kind,
    round,
    servedMs: Math.round(served.ms),
    backMs: Math.round(back.ms),
    failedProbes: served.failed,
    loadEndedMs,
    loadWhole,
    loadFailed: outcomes.length - loadWhole,
  };
}

/** Runs the bench; `args` as on the command line. */
export async function benchRecovery(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      json: {type: 'string'},
      rounds: {type: 'string', default: '3'},
    },
  });
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-recovery-'));
  const machine = {cores: cpus().length, loadBefore: loadavg()};
  const shape = {...DEMO_SHAPE, engines: 3, services: 1, relays: true};
  const fleet = await startFleet(shape, dir);
  const results: Recovery[] = [];
  try {
    for (let round = 1; round <= Number(values.rounds); round++) {
      for (const fault of FAULTS) {
        const result = await measure(fleet, fault, round);
        results.push(result);
        process.stdout.write(`${JSON.stringify(result)}\n`);
      }
    }
  } finally {
    await fleet.stop();
    rmSync(dir, {recursive: true, force: true});
  }
  const notes = Object.fromEntries(
    FAULTS.filter(({note}) => note !== undefined).map(({kind, note}) => [
      kind,
      note,
    ]),
  );
  if (values.json !== undefined) {
    writeFileSync(
      values.json,
      JSON.stringify({machine, results, notes}, null, 2),
    );
  }
}
