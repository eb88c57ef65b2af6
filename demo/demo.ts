/**
 * `npm run demo`: a small fleet, a mixed batch without warning, a table by
 * prompt length. Exit code 1 when a request was lost, doubled, cut, mixed up
 * or late.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {createSeededRandom} from '../standins/seeded_random.js';
import {makeBatch, makePrompt} from './batch.js';
import type {BatchItem} from './batch.js';
import {call, complete} from './caller.js';
import type {Outcome} from './caller.js';
import {DEMO_SHAPE} from './fleet_plan.js';
import {startFleet} from './fleet_runner.js';
import type {Fleet} from './fleet_runner.js';
import {expectedAnswer} from './expected_answer.js';
import {renderTable, summarise} from './summary.js';
import type {Checked, DemoSummary} from './summary.js';

const SEED = 20_261;
/** An answer this long after its time limit counts as late. */
const LATE_SLACK_MS = 1_000;

interface Sent {
  readonly item: BatchItem;
  readonly prompt: string;
  readonly body: string;
  readonly outcome: Outcome;
}

async function send(
  fleet: Fleet,
  item: BatchItem,
  number: number,
): Promise<Sent> {
  await sleep(item.delayMs);
  const {entries, organisations} = fleet.file;
  const common = {
    entryUrl: entries[number % entries.length] as string,
    key: organisations[number % organisations.length]?.key as string,
    timeLimitMs: item.timeLimitMs,
    repeatable: item.repeatable,
    idempotencyKey: item.repeatable ? undefined : `demo-${number}`,
  };
  if (item.kind === 'call') {
    const body = JSON.stringify({permit: number});
    const outcome = await call({
      ...common,
      pool: fleet.plan.shape.servicePool,
      method: item.repeatable ? 'GET' : 'POST',
      path: `/records/${number}?delayMs=20`,
      body,
    });
    return {item, prompt: '', body, outcome};
  }
  const prompt = makePrompt(number, item.promptTokens);
  const outcome = await complete({
    ...common,
    prompt,
    maxTokens: item.maxTokens,
    stream: item.stream,
    priority: item.priority,
  });
  return {item, prompt, body: '', outcome};
}

/** Judges an outcome by what the stand-ins must have answered. */
function check(sent: Sent, number: number): Checked {
  const {item, outcome} = sent;
  const late = outcome.totalMs > item.timeLimitMs + LATE_SLACK_MS;
  const whole = outcome.status === 200 && outcome.complete;
  const right =
    whole &&
    (item.kind === 'call'
      ? outcome.text.includes(`/records/${number}`)
      : outcome.text === expectedAnswer(sent.prompt, item.maxTokens));
  return {
    row: item.row,
    ok: right && !late,
    late,
    cut: outcome.status === 200 && !outcome.complete,
    mixedUp: whole && !right,
    lost: outcome.status === 0,
    refused: outcome.status >= 400,
    refusal: outcome.errorCode,
    firstTokenMs: outcome.firstTokenMs,
    totalMs: outcome.totalMs,
  };
}

async function getJson<T>(url: string): Promise<T> {
  const res = await request(url);
  return (await res.body.json()) as T;
}

/** Starts of runs, as the stand-ins' count pages tell them. */
interface EngineCounts {
  readonly runsStarted: Readonly<Record<string, number>>;
}

interface ServiceCounts {
  readonly runs: Readonly<Record<string, number>>;
}

/** Times each request was run, over all upstreams; keys are request ids. */
async function countRuns(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
  const times = new Map<string, number>();
  // A run's id is the request's id and the attempt's number.
  const add = (runId: string, by: number) => {
    const id = runId.slice(0, runId.lastIndexOf('.'));
    times.set(id, (times.get(id) ?? 0) + by);
  };
  for (const url of fleet.plan.engineUrls) {
    const {runsStarted} = await getJson<EngineCounts>(`${url}/counts`);
    for (const [id, by] of Object.entries(runsStarted)) add(id, by);
  }
  for (const url of fleet.plan.serviceUrls) {
    const {runs} = await getJson<ServiceCounts>(`${url}/-/counts`);
    for (const [id, by] of Object.entries(runs)) add(id, by);
  }
  return times;
}

/** Requests that may not be repeated and ran more than once. */
async function countDoubled(
  fleet: Fleet,
  sent: readonly Sent[],
): Promise<number> {
  const times = await countRuns(fleet);
  return sent.filter(
    ({item, outcome}) =>
      !item.repeatable && (times.get(outcome.requestId) ?? 0) > 1,
  ).length;
}

async function runDemo(dir: string): Promise<DemoSummary> {
  const fleet = await startFleet(DEMO_SHAPE, dir);
  try {
    const batch = makeBatch(createSeededRandom(SEED));
    const sent = await Promise.all(
      batch.map((item, number) => send(fleet, item, number)),
    );
    const checked = sent.map(check);
    return summarise(checked, await countDoubled(fleet, sent));
  } finally {
    await fleet.stop();
  }
}

async function main(): Promise<number> {
  const {values} = parseArgs({
    options: {
      json: {type: 'boolean', default: false},
      keep: {type: 'boolean', default: false},
    },
  });
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-demo-'));
  const summary = await runDemo(dir);
  process.stdout.write(
    values.json
      ? `${JSON.stringify(summary, null, 2)}\n`
      : `${renderTable(summary)}\n`,
  );
  if (values.keep) process.stdout.write(`logs are in ${dir}\n`);
  else rmSync(dir, {recursive: true, force: true});
  return summary.sound ? 0 : 1;
}

process.exit(await main());
