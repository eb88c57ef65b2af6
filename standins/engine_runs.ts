/** Runs of the stand-in engine: their record, their order, their answer. */
import type {EngineEvent, EngineRunReq} from '../src/types/upstream.js';

export type RunPhase =
  'upload' | 'waiting' | 'prefill' | 'decode' | 'hold' | 'done' | 'failed';

export type RunListener = (event: EngineEvent) => void;

/** A run's state, owned and changed by the scheduler alone. */
export interface EngineRun {
  readonly req: EngineRunReq;
  /** Order of arrival. */
  readonly arrival: number;
  readonly answerTokens: number;
  readonly listeners: Set<RunListener>;
  phase: RunPhase;
  priority: number;
  /** First eight hex digits of the prompt's digest. */
  promptHash: string;
  prefilledTokens: number;
  cachedTokens: number;
  tokens: number;
  /** Last event of an ended run. */
  lastEvent: EngineEvent | undefined;
}

const TOKENS_PER_REPLAY = 256;

/**
 * Text of one token of an answer: a function of the prompt and the index
 * alone, so that a test can tell whose answer it holds.
 */
export function tokenText(promptHash: string, index: number): string {
  return `${promptHash}:${index} `;
}

/** The whole answer to a prompt, as a test expects it. */
export function answerText(promptHash: string, tokens: number): string {
  let text = '';
  for (let i = 0; i < tokens; i++) text += tokenText(promptHash, i);
  return text;
}

/** Tells a run's event to all who listen. */
export function tell(run: EngineRun, event: EngineEvent): void {
  for (const listener of run.listeners) listener(event);
}

/** Tells the token that the run has just made. */
export function tellToken(run: EngineRun): void {
  if (run.listeners.size === 0) return;
  const index = run.tokens - 1;
  const data = Buffer.from(tokenText(run.promptHash, index), 'latin1');
  tell(run, {kind: 'tokens', index, count: 1, data});
}

/** Tells one listener all that a run has made from token `fromIndex` on. */
export function replay(
  run: EngineRun,
  fromIndex: number,
  listener: RunListener,
): void {
  if (run.phase === 'prefill' || run.phase === 'hold') {
    listener({kind: 'prefill', doneTokens: run.prefilledTokens});
  }
  for (let from = fromIndex; from < run.tokens; from += TOKENS_PER_REPLAY) {
    const to = Math.min(run.tokens, from + TOKENS_PER_REPLAY);
    let text = '';
    for (let i = from; i < to; i++) text += tokenText(run.promptHash, i);
    const data = Buffer.from(text, 'latin1');
    listener({kind: 'tokens', index: from, count: to - from, data});
  }
  if (run.lastEvent !== undefined) listener(run.lastEvent);
}

/** Whether `a` goes before `b`: more urgent first, then first come. */
export function goesBefore(a: EngineRun, b: EngineRun): boolean {
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrival < b.arrival;
}

/** Puts a run at its place in an ordered list. */
export function insertInOrder(runs: EngineRun[], run: EngineRun): void {
  let at = runs.length;
  while (at > 0 && goesBefore(run, runs[at - 1])) at -= 1;
  runs.splice(at, 0, run);
}

/** Takes a run out of a list, if it is there. */
export function removeRun(runs: EngineRun[], run: EngineRun): void {
  const at = runs.indexOf(run);
  if (at >= 0) runs.splice(at, 1);
}
