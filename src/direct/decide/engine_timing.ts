/**
 * How long a model engine takes, from its published figures: reading a prompt,
 * alone or in even parts, and one pass over all that write.
 */
import type {EngineFigures} from '../types.js';

const MILLION = 1_000_000;

/** Time to read one of `parts` even parts of a prompt, in milliseconds. */
export function prefillMs(
  figures: EngineFigures,
  promptTokens: number,
  parts: number,
): number {
  const pairs = promptTokens ** 2 / 2 / MILLION;
  const whole =
    promptTokens / figures.readTokensPerMs + pairs * figures.pairsMsPerMillion;
  return whole / parts;
}

/**
 * Time of one pass in which so many requests write, over contexts of so many
 * tokens together, and nothing is read.
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
