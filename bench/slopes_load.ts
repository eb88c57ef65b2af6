/** Steady load on a real fleet, and patches of its configuration. */
import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {complete} from '../demo/caller.js';
import type {Outcome} from '../demo/caller.js';
import type {Fleet} from '../demo/fleet_runner.js';

const BYTES_PER_TOKEN = 4;
const TIME_LIMIT_MS = 300_000;

export interface Load {
  readonly perSec: number;
  readonly seconds: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** May run once only, under an idempotency key. */
  readonly once?: boolean;
}

let asked = 0;

/** Prompts differ from their first block on, so that none is cached. */
function promptOf(tokens: number): string {
  const head = `prompt ${++asked} `;
  return head + 'snow and frost. '.repeat((tokens * BYTES_PER_TOKEN) / 16);
}

/** Sends one completion; entries and organisations in turn. */
export function askOne(
  fleet: Fleet,
  load: Omit<Load, 'perSec' | 'seconds'>,
): Promise<Outcome> {
  const {entries, organisations} = fleet.file;
  const prompt = promptOf(load.promptTokens);
  return complete({
    entryUrl: entries[asked % entries.length] as string,
    key: organisations[asked % organisations.length]?.key ?? '',
    prompt,
    maxTokens: load.maxTokens,
    stream: true,
    priority: 'interactive',
    timeLimitMs: TIME_LIMIT_MS,
    repeatable: load.once !== true,
    idempotencyKey:
      load.once === true ? randomBytes(12).toString('hex') : undefined,
  });
}

/** Evenly spaced arrivals; resolves when all have their answers. */
export async function steadyLoad(
  fleet: Fleet,
  load: Load,
): Promise<readonly Outcome[]> {
  const startedAt = performance.now();
  const answers: Array<Promise<Outcome>> = [];
  for (let i = 0; i < load.perSec * load.seconds; i++) {
    const dueMs = startedAt + (i / load.perSec) * 1000 - performance.now();
    if (dueMs > 0) await sleep(dueMs);
    answers.push(askOne(fleet, load));
  }
  return Promise.all(answers);
}

/** Share of whole answers. */
export function completed(outcomes: readonly Outcome[]): number {
  return outcomes.filter(one => one.complete).length / outcomes.length;
}

export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, at)] ?? Number.NaN;
}

/** Applies a merge patch at the fleet's first entry; gives the new number. */
export async function patchConfig(
  fleet: Fleet,
  base: number,
  patch: object,
): Promise<number> {
  const {url, token} = fleet.file.operator;
  const res = await request(`${url}/operator/v1/config/patches`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${token}`,
    },
    body: JSON.stringify({
      patchId: randomBytes(8).toString('hex'),
      base,
      form: 'merge-patch',
      patch: JSON.stringify(patch),
      dryRun: false,
      operator: 'bench',
    }),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`patch: ${text}`);
  return (JSON.parse(text) as {number: number}).number;
}
