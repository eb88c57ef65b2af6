/** Figures of a run of silent replicas that are reported and not judged. */
import {FIRST_EVENT_AIM_MS, PAUSE_AIM_MS} from './silence_judge.js';
import type {Ended, RequestFacts} from './silence_judge.js';

/** Shares of streams that got an event. */
interface Lateness {
  readonly streams: number;
  /** Their first event came later than the objective. */
  readonly lateFirst: number;
  /** Two events were further apart than the objective. */
  readonly longPause: number;
}

export interface StreamFigures {
  /** Streams in whose time a sound replica of their service was silent. */
  readonly besideSilence: Lateness;
  readonly withoutSilence: Lateness;
  /** Of streams that reached a replica; refusals by replicas count too. */
  readonly attemptsPerStream: number;
  readonly mostAttempts: number;
}

/** Long streams are left out: they have other objectives. */
export function summarise(
  streams: readonly Ended[],
  factsOf: (one: Ended) => Pick<RequestFacts, 'silentMs' | 'attempts'>,
): StreamFigures {
  const short = streams.filter(({kind}) => kind !== 'long');
  const isBeside = (one: Ended) => factsOf(one).silentMs > 0;
  const attempts = streams
    .map(one => factsOf(one).attempts)
    .filter(it => it > 0);
  return {
    besideSilence: latenessOf(short.filter(isBeside)),
    withoutSilence: latenessOf(short.filter(one => !isBeside(one))),
    attemptsPerStream: round(
      attempts.reduce((sum, count) => sum + count, 0) /
        Math.max(1, attempts.length),
    ),
    mostAttempts: Math.max(0, ...attempts),
  };
}

function latenessOf(streams: readonly Ended[]): Lateness {
  const begun = streams.filter(it => it.firstEventAt !== undefined);
  const shareOf = (isSo: (one: Ended) => boolean) =>
    round(begun.filter(isSo).length / Math.max(1, begun.length));
  return {
    streams: begun.length,
    lateFirst: shareOf(
      ({firstEventAt = 0, sentAt}) =>
        firstEventAt - sentAt > FIRST_EVENT_AIM_MS,
    ),
    longPause: shareOf(({longestPauseMs}) => longestPauseMs > PAUSE_AIM_MS),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

export function countBy<T>(
  all: readonly T[],
  keyOf: (item: T) => string,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const item of all) counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1;
  return counts;
}
