/**
 * The demo's unannounced batch: prompts from a thousand tokens to over one
 * engine's memory, and calls of which some may not be repeated. Seeded.
 */
import type {Random} from '../src/types/runtime.js';

/** Bytes of text that stand for one token in the stand-ins. */
const BYTES_PER_TOKEN = 4;

export interface BatchItem {
  readonly kind: 'completion' | 'call';
  /** Row of the result table. */
  readonly row: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly priority: string;
  readonly timeLimitMs: number;
  readonly repeatable: boolean;
  /** Start after the batch's start. */
  readonly delayMs: number;
}

interface Share {
  readonly row: string;
  readonly count: number;
  readonly least: number;
  readonly most: number;
  readonly priority: string;
  readonly timeLimitMs: number;
}

const SHARES: readonly Share[] = [
  share('short', 40, 1_000, 8_000, 'alert', 20_000),
  share('medium', 10, 10_000, 32_000, 'interactive', 30_000),
  share('long', 4, 50_000, 120_000, 'batch', 60_000),
  share('archive', 1, 200_000, 300_000, 'batch', 90_000),
  share('group', 1, 700_000, 1_000_000, 'batch', 120_000),
];
const CALLS = 16;
const SPREAD_MS = 1_500;

function share(
  row: string,
  count: number,
  least: number,
  most: number,
  priority: string,
  timeLimitMs: number,
): Share {
  return {row, count, least, most, priority, timeLimitMs};
}

/** The whole batch in order of its start times. */
export function makeBatch(random: Random): readonly BatchItem[] {
  const completions = SHARES.flatMap(one =>
    Array.from({length: one.count}, () => completionItem(one, random)),
  );
  const calls = Array.from({length: CALLS}, (_, index) =>
    callItem(index, random),
  );
  return [...completions, ...calls].sort((a, b) => a.delayMs - b.delayMs);
}

function completionItem(one: Share, random: Random): BatchItem {
  const tokens = one.least + random.next() * (one.most - one.least);
  return {
    kind: 'completion',
    row: one.row,
    promptTokens: Math.floor(tokens),
    maxTokens: 16 + Math.floor(random.next() * 48),
    stream: random.next() < 0.7,
    priority: one.priority,
    timeLimitMs: one.timeLimitMs,
    repeatable: random.next() < 0.8,
    delayMs: random.next() * SPREAD_MS,
  };
}

function callItem(index: number, random: Random): BatchItem {
  return {
    kind: 'call',
    row: 'call',
    promptTokens: 0,
    maxTokens: 0,
    stream: false,
    priority: 'alert',
    timeLimitMs: 10_000,
    repeatable: index % 2 === 0,
    delayMs: random.next() * SPREAD_MS,
  };
}

/** A prompt of about so many tokens, unlike any other by its number. */
export function makePrompt(number: number, tokens: number): string {
  const head = `request ${number} station log. `;
  const line = `reading ${number}: wind 3 m/s, frost risk low, hail none. `;
  const bytes = tokens * BYTES_PER_TOKEN;
  const repeated = line.repeat(Math.ceil(bytes / line.length));
  return (head + repeated).slice(0, bytes);
}
