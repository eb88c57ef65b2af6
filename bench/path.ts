/**
 * What the path of a request costs, with real processes: requests decided per
 * second and per core by an entry and a side in steady state, from the CPU
 * time that the system counts for each process; and the time to first token
 * that the path adds to a direct call to the same stand-in engine, both taken
 * in turn in the same run. `--json FILE` writes the figures.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {cpus, loadavg, tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {makePrompt} from '../demo/batch.js';
import {complete} from '../demo/caller.js';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import {startFleet} from '../demo/fleet_runner.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {createProcessClock} from '../src/utils/clock.js';
import {createHttpEngine} from '../src/upstream/http_engine.js';

const WARM_UP_MS = 5_000;
const MS_PER_SEC = 1_000;
const MICROS_PER_MS = 1_000;
const PROMPT_TOKENS = 1_000;
/** Callers that each send their next request when the last has ended. */
const CALLERS = 48;
/** Engines so fast that they are not what the rate is bound by. */
const FAST = 500;

let prompts = 0;

function ask(fleet: Fleet, maxTokens: number) {
  return complete({
    entryUrl: fleet.file.entries[0] as string,
    key: fleet.file.organisations[0]?.key as string,
    prompt: makePrompt(prompts++, PROMPT_TOKENS),
    maxTokens,
    stream: true,
    priority: 'interactive',
    timeLimitMs: 30_000,
    repeatable: true,
    idempotencyKey: undefined,
  });
}

/** CPU seconds, user and system, that a process has used. */
function cpuSeconds(pid: number, ticksPerSec: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name in parentheses may hold spaces; the fields after it are fixed.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSec;
}

async function measureRate(dir: string, measureMs: number) {
  const shape = {...DEMO_SHAPE, entries: 1, engines: 2, services: 0};
  const fleet = await startFleet({...shape, engineSpeed: FAST}, dir);
  const ticks = Number(execFileSync('getconf', ['CLK_TCK']).toString());
  const names = ['entry-1', 'side-engine-1', 'side-engine-2'];
  const cpu = () => names.map(name => cpuSeconds(fleet.pid(name), ticks));
  let served = 0;
  let refused = 0;
  let stopped = false;
  try {
    const callers = Array.from({length: CALLERS}, async () => {
      while (!stopped) {
        if ((await ask(fleet, 1)).complete) served++;
        else refused++;
      }
    });
    await sleep(WARM_UP_MS);
    const [servedBefore, refusedBefore] = [served, refused];
    const cpuBefore = cpu();
    const startedAt = performance.now();
    await sleep(measureMs);
    const seconds = (performance.now() - startedAt) / MS_PER_SEC;
    const used = cpu().map((after, i) => after - (cpuBefore[i] ?? 0));
    const count = served - servedBefore;
    stopped = true;
    await Promise.all(callers);
    const [entry = 0, side1 = 0, side2 = 0] = used;
    return {
      seconds,
      served: count,
      refused: refused - refusedBefore,
      perSecond: count / seconds,
      entry: {cpuSeconds: entry, perCoreSecond: count / entry},
      sides: {
        cpuSeconds: side1 + side2,
        perCoreSecond: count / (side1 + side2),
      },
    };
  } finally {
    await fleet.stop();
  }
}

async function* once(text: string): AsyncGenerator<Uint8Array> {
  yield Buffer.from(text);
}

/** Time to first token of a run asked of the engine itself. */
function direct(
  client: ReturnType<typeof createHttpEngine>,
  fleet: Fleet,
): Promise<number> {
  const number = prompts++;
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    let firstMs = Number.NaN;
    client
      .start(
        {
          runId: `direct-${number}`,
          model: fleet.plan.shape.model,
          adapter: '',
          priority: 1,
          promptTokens: PROMPT_TOKENS,
          maxTokens: 2,
          memoryTokens: PROMPT_TOKENS + 2,
          groupSize: 1,
          holdOnly: false,
          prefixHashes: [],
        },
        once(makePrompt(number, PROMPT_TOKENS)),
      )
      .observe(event => {
        if (event.kind !== 'tokens' || !Number.isNaN(firstMs)) return;
        firstMs = performance.now() - startedAt;
      })
      .then(() => resolve(firstMs), reject);
  });
}

function figures(histogram: Histogram) {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  return {p50Ms: at(50), p95Ms: at(95)};
}

async function measureFirstToken(dir: string, pairs: number) {
  const shape = {...DEMO_SHAPE, entries: 1, engines: 1, services: 0};
  const fleet = await startFleet({...shape, engineSpeed: 1}, dir);
  const client = createHttpEngine({
    url: fleet.plan.engineUrls[0] ?? '',
    clock: createProcessClock(),
  });
  const histograms = {direct: build(), path: build()};
  const note = (histogram: Histogram, ms: number) =>
    histogram.recordValue(Math.round(ms * MICROS_PER_MS));
  try {
    for (let i = 0; i < 20; i++) {
      await direct(client, fleet);
      await ask(fleet, 2);
    }
    for (let i = 0; i < pairs; i++) {
      // In turn, so that a slow moment of the machine meets both alike.
      note(histograms.direct, await direct(client, fleet));
      note(histograms.path, (await ask(fleet, 2)).firstTokenMs);
    }
  } finally {
    await fleet.stop();
  }
  const directly = figures(histograms.direct);
  const path = figures(histograms.path);
  return {
    pairs,
    direct: directly,
    path,
    addedP50Ms: path.p50Ms - directly.p50Ms,
    addedP95Ms: path.p95Ms - directly.p95Ms,
    ratioP50: path.p50Ms / directly.p50Ms,
    ratioP95: path.p95Ms / directly.p95Ms,
  };
}

/** Runs the bench; `args` as on the command line. */
export async function benchPath(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      json: {type: 'string'},
      seconds: {type: 'string', default: '10'},
      pairs: {type: 'string', default: '200'},
    },
  });
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-path-'));
  const machine = {cores: cpus().length, loadBefore: loadavg()};
  const measureMs = Number(values.seconds) * MS_PER_SEC;
  try {
    const firstToken = await measureFirstToken(
      join(dir, 'first-token'),
      Number(values.pairs),
    );
    const rate = await measureRate(join(dir, 'rate'), measureMs);
    const result = {machine, rate, firstToken};
    const text = JSON.stringify(result, null, 2);
    process.stdout.write(`${text}\n`);
    if (values.json !== undefined) writeFileSync(values.json, text);
  } finally {
    rmSync(dir, {recursive: true, force: true});
  }
}
