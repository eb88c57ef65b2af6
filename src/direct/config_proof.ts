/**
 * Whether an answer of the store proves that the configuration in force here is
 * the newest, and so that no key has been taken away.
 *
 * A store that comes back from an older copy has lost what operators wrote
 * since, and they write it again a little later. Until then its answers prove
 * nothing: taken as proof, they would let a key be used for as long as the
 * operators take, though the configuration that took it away was acknowledged.
 *
 * An entry that starts cannot know whether the store came back just now, so it
 * first gives another entry the time to tell of a newer configuration. Where
 * nobody has recorded the store's era as settled, it gives operators theirs.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';

/**
 * Operators have written again by then what was lost. Keys may be used for
 * longer than that on evidence from before the store went away, so that a
 * return by itself refuses nobody.
 */
export const WRITTEN_AGAIN_MS = 2_000;

/** Another entry's word is there by then, also where the first that is asked is not. */
export const FIRST_WORD_MS = 600;
/** A newer configuration that another entry tells of has been fetched by then. */
const FETCHED_MS = 2_000;

export interface ConfigProof {
  /** The store has come back from an older copy. */
  restored(): void;
  /** It has listed this version, or none. */
  listed(version: number | undefined): void;
  /** Another entry knows this version, which is newer than the one here. */
  heard(version: number): void;
  /** It told that this version was written since. */
  written(version: number): void;
  /** Whether its answers prove that `version` is the newest. */
  holds(version: number | undefined): boolean;
}

/**
 * `tellsEra`: the store tells its era, and so may come back from a copy.
 * `isSettled`: its era is recorded as settled.
 */
export function createConfigProof(
  clock: Clock,
  log: Log,
  tellsEra: () => boolean,
  isSettled: () => boolean = () => true,
): ConfigProof {
  const startedAt = clock.now();
  let restoredAt = Number.NEGATIVE_INFINITY;
  let isWritten = false;
  let heard = {version: Number.NEGATIVE_INFINITY, at: clock.now()};
  let shown: number | undefined;
  let isKept = false;

  const noteKept = (kept: boolean, version: number | undefined): void => {
    if (kept === isKept) return;
    isKept = kept;
    const {knowledgeKept, knowledgeSettled} = DIRECT_EVENTS;
    const line = kept ? knowledgeKept : knowledgeSettled;
    log(line, {version, storeVersion: shown});
  };

  const mayHaveMissedReturn = (): boolean => {
    if (!tellsEra()) return false;
    const sinceStartMs = clock.now() - startedAt;
    const doubtMs = isSettled() ? FIRST_WORD_MS : WRITTEN_AGAIN_MS;
    return sinceStartMs < doubtMs;
  };

  return {
    restored: () => {
      restoredAt = clock.now();
      isWritten = false;
    },
    listed: version => {
      shown = version;
    },
    heard: version => {
      if (version > heard.version) heard = {version, at: clock.now()};
    },
    written: version => {
      shown = version;
      isWritten = true;
    },
    holds: version => {
      const isOlder =
        shown !== undefined && version !== undefined && shown < version;
      noteKept(isOlder, version);
      const isFetching =
        version !== undefined &&
        version < heard.version &&
        clock.now() - heard.at < FETCHED_MS;
      const mayBeLost =
        mayHaveMissedReturn() || clock.now() - restoredAt < WRITTEN_AGAIN_MS;
      return !isOlder && !isFetching && (isWritten || !mayBeLost);
    },
  };
}
