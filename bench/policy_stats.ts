/** Figures of one run of the policy bench, and the deployments' scores. */
import type {PolicyWeights} from '../src/types/config.js';
import {BANDS, bandOf} from './policy_mix.js';
import type {BandName} from './policy_mix.js';
import type {Outcome, RunResult} from './policy_run.js';

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface Figures {
  /** Time to first token in milliseconds, by length. */
  readonly firstTokenMs: {readonly [band in BandName]: Percentiles};
  /** 95th percentile of short prompts over the same alone on this fleet. */
  readonly shortSlowdown: number;
  /** Longest time to first token of prompts over 32,000 tokens. */
  readonly longestWaitMs: number;
  readonly betweenTokensP95Ms: number;
  readonly requests: number;
  /** Not admitted: no upstream took it, and it did not run. */
  readonly refused: number;
  readonly refusedByBand: {readonly [band in BandName]: number};
  /** Admitted, and not done within its time limit. */
  readonly late: number;
  /** Failed for another cause, such as a lost engine. */
  readonly failed: number;
  /** Prompt tokens a second of answers whole in time within the load. */
  readonly goodputTokensPerSec: number;
  /** Prompt tokens found in prefix caches, of those that were shared. */
  readonly prefixHitShare: number;
  /** Requests on the busiest engine over the mean; 1 is even. */
  readonly herding: number;
  readonly busyShare: number;
  readonly violations: number;
}

export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? NaN;
  return {count: sorted.length, p50: at(0.5), p95: at(0.95), p99: at(0.99)};
}

/** `aloneP95Ms` is the short prompts' 95th percentile without the others. */
export function figuresOf(
  result: RunResult,
  durationMs: number,
  aloneP95Ms: number,
): Figures {
  const {outcomes} = result;
  const firstTokenMs = byBand(band =>
    percentilesOf(firstTokensOf(outcomes, band)),
  );
  const refused = outcomes.filter(isRefused);
  const late = outcomes.filter(one => one.late);
  const done = outcomes.filter(one => isDone(one));
  const inTime = done.filter(
    one => one.endedAt !== undefined && one.endedAt <= durationMs,
  );
  const tokens = sum(inTime.map(one => one.arrival.promptTokens));
  const longWaits = outcomes
    .filter(one => one.arrival.promptTokens > BANDS[1].maxTokens)
    .map(one => one.firstTokenMs ?? 0);
  return {
    firstTokenMs,
    shortSlowdown: firstTokenMs.short.p95 / aloneP95Ms,
    longestWaitMs: Math.max(0, ...longWaits),
    betweenTokensP95Ms: percentilesOf(result.gapsMs).p95,
    requests: outcomes.length,
    refused: refused.length,
    refusedByBand: byBand(
      band =>
        refused.filter(one => bandOf(one.arrival.promptTokens) === band).length,
    ),
    late: late.length,
    failed: outcomes.length - done.length - refused.length - late.length,
    goodputTokensPerSec: tokens / (durationMs / 1_000),
    prefixHitShare: prefixHitShare(done),
    herding: herdingOf(outcomes),
    busyShare: result.busyShare,
    violations: result.violations.length,
  };
}

export function firstTokensOf(
  outcomes: readonly Outcome[],
  band: BandName,
): readonly number[] {
  return outcomes.flatMap(one =>
    one.firstTokenMs !== undefined && bandOf(one.arrival.promptTokens) === band
      ? [one.firstTokenMs]
      : [],
  );
}

/**
 * Lower is better: the slowdown of short prompts and the first token of the
 * longest over that of the best baseline, each by the deployment's weight.
 */
export function scoreOf(
  figures: Figures,
  weights: Pick<PolicyWeights, 'shortSlowdownWeight' | 'longFirstTokenWeight'>,
  bestBaselineLongP95Ms: number,
): number {
  const long = figures.firstTokenMs.over100k.p95 / bestBaselineLongP95Ms;
  return (
    weights.shortSlowdownWeight * figures.shortSlowdown +
    weights.longFirstTokenWeight * long
  );
}

function isRefused(one: Outcome): boolean {
  return (
    one.failed !== undefined &&
    one.firstTokenMs === undefined &&
    one.side === '' &&
    !one.late
  );
}

function isDone(one: Outcome): boolean {
  return one.failed === undefined && !one.late;
}

function prefixHitShare(done: readonly Outcome[]): number {
  const shared = done.filter(one =>
    one.arrival.prefixHashes[0]?.startsWith('p'),
  );
  const could = sum(
    shared.map(
      one =>
        one.arrival.prefixHashes.filter(hash => hash.startsWith('p')).length *
        256,
    ),
  );
  return could === 0 ? 0 : sum(shared.map(one => one.cachedTokens)) / could;
}

function herdingOf(outcomes: readonly Outcome[]): number {
  const bySide = new Map<string, number>();
  for (const {side} of outcomes) {
    if (side !== '') bySide.set(side, (bySide.get(side) ?? 0) + 1);
  }
  const counts = [...bySide.values()];
  return counts.length === 0
    ? NaN
    : Math.max(...counts) / (sum(counts) / counts.length);
}

function byBand<T>(make: (band: BandName) => T): {
  readonly [band in BandName]: T;
} {
  return {
    short: make('short'),
    medium: make('medium'),
    long: make('long'),
    over100k: make('over100k'),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((all, value) => all + value, 0);
}
