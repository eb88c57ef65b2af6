/**
 * Decides whether an answer of the store proves that the configuration in force
 * here is the newest one, so that no key has been removed since.
 *
 * A store that was restored from an older copy has lost recent writes, and
 * operators repeat them shortly afterwards. Until then its answers prove
 * nothing: otherwise a key whose removal was acknowledged would be accepted
 * again until the removal is repeated.
 *
 * An entry that starts cannot know whether the store was restored a moment ago.
 * It first waits for a peer (another entry) to report a newer configuration.
 * Where no record says that the store's era is settled, it waits for as long as
 * operators need.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';

/**
 * Time in milliseconds within which operators repeat the writes that a restore
 * lost. It is shorter than the limit for which keys are accepted on evidence
 * from before the outage, so that a restore alone causes no refusals.
 */
export const REWRITE_GRACE_MS = 2_000;

/**
 * Time in milliseconds within which a peer has answered, even if the first one
 * queried does not.
 */
export const FIRST_PEER_ANSWER_MS = 600;
/**
 * Time in milliseconds within which a newer configuration that a peer reported
 * has been fetched.
 */
const CONFIG_FETCH_GRACE_MS = 2_000;

export interface ConfigProof {
  /** The store was restored from an older copy. */
  storeRestored(): void;
  /** The store listed this version, or no configuration. */
  versionListed(version: number | undefined): void;
  /** A peer knows this version, which is newer than the one in force here. */
  peerHasVersion(version: number): void;
  /** A watch reported that this version has been written. */
  versionWritten(version: number): void;
  /**
   * Whether the answer to a call that was sent at `sentAt`, on this process's
   * clock, proves that `version` is the newest one. @default sent just now
   */
  provesNewest(version: number | undefined, sentAt?: number): boolean;
}

/**
 * `firstEraAt` returns when the store first reported its era, on this process's
 * clock; a store that reports one may be restored from a copy. `isSettled` returns
 * whether that era is recorded as settled.
 */
export function createConfigProof(
  clock: Clock,
  log: Log,
  firstEraAt: () => number | undefined,
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

  const mayHaveMissedRestore = (sentAt: number): boolean => {
    const eraAt = firstEraAt();
    if (eraAt === undefined) return false;
    // The store may have been restored while it could not be reached.
    return isSettled()
      ? sentAt - startedAt < FIRST_PEER_ANSWER_MS
      : sentAt - eraAt < REWRITE_GRACE_MS;
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
    provesNewest: (version, sentAt = clock.now()) => {
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
        mayHaveMissedRestore(sentAt) || sentAt - restoredAt < REWRITE_GRACE_MS;
      return !isOlder && !isFetching && (isRewritten || !mayBeLost);
    },
  };
}
