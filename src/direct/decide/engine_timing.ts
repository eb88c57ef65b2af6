/**
 * Times of a model engine, computed from its published figures: the prefill of a
 * prompt, whole or in equal parts, and one pass over all decoding requests.
 */
import type {EngineFigures} from '../types.js';

const MILLION = 1_000_000;

/** Time to prefill one of `parts` equal parts of a prompt, in milliseconds. */
export function prefillMs(
  figures: EngineFigures,
  promptTokens: number,
  parts: number,
): number {
  const millionPairs = promptTokens ** 2 / 2 / MILLION;
  const wholePromptMs =
    promptTokens / figures.readTokensPerMs +
    millionPairs * figures.pairsMsPerMillion;
  return wholePromptMs / parts;
}

/**
 * Time of one pass without prefill, in milliseconds. `writers` is the number of
 * decoding requests, and `contextTokens` the sum of their contexts.
 */
export function passMs(
  figures: EngineFigures,
  writers: number,
  contextTokens: number,
): number {
  const contextMs = (contextTokens / 1_000) * figures.contextMsPerThousand;
  const stepMs = figures.stepMs + figures.stepMsPerWriter * writers + contextMs;
  return figures.stepsPerPass * stepMs;
}
