/**
 * Assumed figures of a model engine. The users' notes on step time and memory
 * are incomplete, so the numbers here are guesses of a plausible size, kept in
 * one place until the maintainers confirm them. The product reads none of
 * them: it learns rates from what it sees.
 *
 * Step time model, in milliseconds:
 *
 *     step = slowFactor × (baseStepMs
 *            + perDecodeMs × decoding runs
 *            + sum over prefill chunks of
 *              tokens × (1 + context / contextDoublingTokens)
 *              / (prefillTokensPerSec × groupSize) × 1000)
 *
 * where `context` is the number of prompt tokens before the middle of the
 * chunk. Each decoding run yields one token a step; the step that ends a
 * prefill yields that run's first token.
 */

/** All of an engine's figures; each can be set by itself. */
export interface EngineFigures {
  /** Time of a step that does nothing else. @default 20 */
  readonly baseStepMs: number;
  /** Added per decoding run. @default 0.25 */
  readonly perDecodeMs: number;
  /** Prompt tokens prefilled in one step by one engine. @default 2048 */
  readonly chunkTokens: number;
  /** Prefill rate at the start of a prompt. @default 16000 */
  readonly prefillTokensPerSec: number;
  /** Context at which a prompt token costs twice as much. @default 500000 */
  readonly contextDoublingTokens: number;
  /**
   * Memory for runs and prefix cache, in tokens; a prompt of a million tokens
   * needs more than twice as much. @default 420000
   */
  readonly memoryTokens: number;
  /** Runs with memory at once, holds not counted. @default 256 */
  readonly maxRunning: number;
  /** Most of the memory that the prefix cache may use. @default 120000 */
  readonly cacheTokens: number;
  /** Prompt tokens that one prefix hash stands for. @default 256 */
  readonly blockTokens: number;
  /** How long the answer of a finished run can be resumed. @default 60000 */
  readonly keepFinishedMs: number;
  /** Age of the figures in a load report. @default 500 */
  readonly reportLagMs: number;
  /** Delay of a cache event. @default 800 */
  readonly cacheEventDelayMs: number;
  /** Each so-manieth cache event is lost; 0 for none. @default 20 */
  readonly cacheEventLossEvery: number;
  /** Time to load a model when no weight store is given. @default 4000 */
  readonly loadMs: number;
  /** Time to load an adapter. @default 300 */
  readonly adapterLoadMs: number;
}

export const ENGINE_FIGURES: EngineFigures = {
  baseStepMs: 20,
  perDecodeMs: 0.25,
  chunkTokens: 2048,
  prefillTokensPerSec: 16_000,
  contextDoublingTokens: 500_000,
  memoryTokens: 420_000,
  maxRunning: 256,
  cacheTokens: 120_000,
  blockTokens: 256,
  keepFinishedMs: 60_000,
  reportLagMs: 500,
  cacheEventDelayMs: 800,
  cacheEventLossEvery: 20,
  loadMs: 4_000,
  adapterLoadMs: 300,
};

/** Time to prefill `tokens` after `context` tokens, in milliseconds. */
export function prefillMs(
  figures: EngineFigures,
  tokens: number,
  context: number,
  groupSize: number,
): number {
  const middle = context + tokens / 2;
  const weight = 1 + middle / figures.contextDoublingTokens;
  const rate = figures.prefillTokensPerSec * groupSize;
  return ((tokens * weight) / rate) * 1000;
}
