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
export const REWRITE_GRACE_MS = 2_000;

/** Another entry's word is there by then, also where the first that is asked is not. */
export const FIRST_PEER_ANSWER_MS = 600;
/** A newer configuration that another entry tells of has been fetched by then. */
const CONFIG_FETCH_GRACE_MS = 2_000;

export interface ConfigProof {
  /** The store has come back from an older copy. */
  storeRestored(): void;
  /** It has listed this version, or none. */
  versionListed(version: number | undefined): void;
  /** Another entry knows this version, which is newer than the one here. */
  peerHasVersion(version: number): void;
  /** It told that this version was written since. */
  versionWritten(version: number): void;
  /** Whether its answers prove that `version` is the newest. */
  provesNewest(version: number | undefined): boolean;
}

/**
 * `tellsEra`: the store tells its era, and so may come back from a copy.
 * `isSettled`: its era is recorded as settled.
 */
export function createConfigProof(
  clock: Clock,
  log: Log,
  hasEra: () => boolean,
  isSettled: () => boolean = () => true,
): ConfigProof {
  const startedAt = clock.now();
  let restoredAt = Number.NEGATIVE_INFINITY;
  let isRewritten = false;
  let peerVersion = {version: Number.NEGATIVE_INFINITY, at: clock.now()};
  let storeVersion: number | undefined;
  let wasKept = false;

  const logKept = (isKept: boolean, version: number | undefined): void => {
    if (isKept === wasKept) return;
    wasKept = isKept;
    const {knowledgeKept, knowledgeSettled} = DIRECT_EVENTS;
    const event = isKept ? knowledgeKept : knowledgeSettled;
    log(event, {version, storeVersion});
  };

  const mayHaveMissedRestore = (): boolean => {
    if (!hasEra()) return false;
    const sinceStartMs = clock.now() - startedAt;
    const graceMs = isSettled() ? FIRST_PEER_ANSWER_MS : REWRITE_GRACE_MS;
    return sinceStartMs < graceMs;
  };

  return {
    storeRestored: () => {
      restoredAt = clock.now();
      isRewritten = false;
    },
    versionListed: version => {
      storeVersion = version;
    },
    peerHasVersion: version => {
      if (version > peerVersion.version)
        peerVersion = {version, at: clock.now()};
    },
    versionWritten: version => {
      storeVersion = version;
      isRewritten = true;
    },
    provesNewest: version => {
      const isOlder =
        storeVersion !== undefined &&
        version !== undefined &&
        storeVersion < version;
      logKept(isOlder, version);
      const isFetching =
        version !== undefined &&
        version < peerVersion.version &&
        clock.now() - peerVersion.at < CONFIG_FETCH_GRACE_MS;
      const mayBeLost =
        mayHaveMissedRestore() || clock.now() - restoredAt < REWRITE_GRACE_MS;
      return !isOlder && !isFetching && (isRewritten || !mayBeLost);
    },
  };
}
