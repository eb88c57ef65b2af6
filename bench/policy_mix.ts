/**
 * Arrivals for the policy bench: prompts of a thousand to a million tokens,
 * some of them in bursts that nobody announced, some with a prefix that others
 * share. The same seed gives the same arrivals, whatever policy serves them.
 */
import type {Random} from '../src/types/runtime.js';
import {createSeededRandom} from '../standins/seeded_random.js';

/** Length classes of the report, by most tokens; the last holds the rest. */
export const BANDS = [
  {name: 'short', maxTokens: 8_000},
  {name: 'medium', maxTokens: 32_000},
  {name: 'long', maxTokens: 100_000},
  {name: 'over100k', maxTokens: 1_000_000},
] as const;

export type BandName = (typeof BANDS)[number]['name'];

const SHORTEST_TOKENS = 1_000;
/** One in fifty prompts is over 100,000 tokens. */
const OVER_100K_SHARE = 0.02;
/** Share of requests that come in bursts. */
const BURST_SHARE = 0.3;
const BURST_LEAST = 10;
const BURST_MOST = 40;
const BURST_MS = 500;
/** Share of requests whose leading blocks another request has too. */
const SHARED_SHARE = 0.4;
const PREFIXES = 24;
const BLOCK_TOKENS = 256;
const MAX_BLOCKS = 64;
const ANSWER_LEAST = 8;
const ANSWER_MOST = 64;

/** One deployment, as its users describe it. */
export interface Deployment {
  readonly name: string;
  readonly replicas: number;
  readonly failureDomains: readonly string[];
  /** Folder of its example declarations. */
  readonly folder: string;
  /** Shares of short, medium and long prompts; the rest is over 100k. */
  readonly shares: readonly [number, number, number];
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'Prairie Sky',
    replicas: 16,
    failureDomains: ['hall-north', 'hall-south', 'hall-east'],
    folder: 'prairie-sky',
    shares: [0.74, 0.14, 0.1],
  },
  {
    name: 'Ingufu Hamwe',
    replicas: 21,
    failureDomains: ['kg-a', 'kg-b', 'kg-c'],
    folder: 'ingufu-hamwe',
    shares: [0.55, 0.25, 0.18],
  },
];

export interface Arrival {
  readonly id: string;
  /** Milliseconds from the start of the load. */
  readonly at: number;
  readonly organisation: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
}

export interface LoadOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly requestsPerSec: number;
  readonly durationMs: number;
  readonly organisations: number;
}

export function bandOf(promptTokens: number): BandName {
  const band = BANDS.find(one => promptTokens <= one.maxTokens);
  return band?.name ?? 'over100k';
}

/** In order of time. */
export function makeArrivals(options: LoadOptions): readonly Arrival[] {
  const random = createSeededRandom(options.seed);
  const times = [
    ...steadyTimes(options, random),
    ...burstTimes(options, random),
  ];
  times.sort((a, b) => a.at - b.at);
  return times.map((time, index) => ({
    id: `q${index}`,
    ...time,
    ...drawRequest(options.deployment, random, index),
  }));
}

interface ArrivalTime {
  readonly at: number;
  readonly organisation: number;
}

function steadyTimes(options: LoadOptions, random: Random): ArrivalTime[] {
  const perMs = (options.requestsPerSec * (1 - BURST_SHARE)) / 1_000;
  return poisson(options.durationMs, perMs, random).map(at => ({
    at,
    organisation: pick(options.organisations, random),
  }));
}

/** A burst is one organisation's batch. */
function burstTimes(options: LoadOptions, random: Random): ArrivalTime[] {
  const mean = (BURST_LEAST + BURST_MOST) / 2;
  const perMs = (options.requestsPerSec * BURST_SHARE) / mean / 1_000;
  return poisson(options.durationMs, perMs, random).flatMap(start => {
    const organisation = pick(options.organisations, random);
    const size = BURST_LEAST + pick(BURST_MOST - BURST_LEAST + 1, random);
    return Array.from({length: size}, () => ({
      at: start + random.next() * BURST_MS,
      organisation,
    }));
  });
}

function poisson(untilMs: number, perMs: number, random: Random): number[] {
  const times: number[] = [];
  for (let at = 0; ;) {
    at -= Math.log(1 - random.next()) / perMs;
    if (at >= untilMs) return times;
    times.push(at);
  }
}

function drawRequest(deployment: Deployment, random: Random, index: number) {
  const promptTokens = drawTokens(deployment, random);
  const maxTokens = logUniform(ANSWER_LEAST, ANSWER_MOST, random);
  const shared = random.next() < SHARED_SHARE;
  // The square makes some prefixes far more popular than others.
  const prefix = Math.floor(random.next() ** 2 * PREFIXES);
  const blocks = Math.min(MAX_BLOCKS, Math.floor(promptTokens / BLOCK_TOKENS));
  const sharedBlocks = shared ? Math.min(blocks, 4 + (prefix % 8) * 4) : 0;
  const prefixHashes = Array.from({length: blocks}, (_, block) =>
    block < sharedBlocks ? `p${prefix}.${block}` : `u${index}.${block}`,
  );
  return {promptTokens, maxTokens, prefixHashes};
}

function drawTokens(deployment: Deployment, random: Random): number {
  let left = random.next();
  if (left < OVER_100K_SHARE) return logUniform(100_001, 1_000_000, random);
  left -= OVER_100K_SHARE;
  const [short, medium] = deployment.shares;
  if (left < short) return logUniform(SHORTEST_TOKENS, 8_000, random);
  if (left < short + medium) return logUniform(8_001, 32_000, random);
  return logUniform(32_001, 100_000, random);
}

function logUniform(least: number, most: number, random: Random): number {
  return Math.floor(least * (most / least) ** random.next());
}

function pick(count: number, random: Random): number {
  return Math.floor(random.next() * count);
}
