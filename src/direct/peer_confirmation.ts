/**
 * Lets a peer's answers replace this entry's own calls to the store. A peer is
 * another entry. Logs and metrics call an entry covered while such a
 * confirmation is active.
 *
 * Evidence for keys is needed about once a second, and each call to the store
 * has a cost. An entry therefore queries a peer, in a datagram, for what the
 * peer knows. While the answers show that both know the same, this entry's own
 * watches may wait long; they still return at each change.
 *
 * The evidence from such an answer is exact. The peer answered after the query
 * was sent, so the store call behind its evidence was sent no earlier than that
 * time minus the evidence's age. It counts only if both entries have the same
 * version of the configuration.
 *
 * An answer replaces own calls only if the call behind it is that of an entry
 * that may be relied on: one before this entry in an order that all share.
 * Otherwise two entries could each give up their own calls for the other's
 * word, and a change would reach neither until both words are too old. The
 * evidence counts all the same: its age grows until neither accepts it.
 *
 * Without a confirmation, watches are short again. Until a long watch that is
 * still running has returned, the collections are listed instead.
 */
import type {Cancel, Clock} from '../types/runtime.js';
import {createGuard, toProcess} from '../utils/callback_guard.js';
import type {StepOwner} from '../utils/callback_guard.js';
import type {EvidenceOrigin} from './evidence.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';
import type {PeerAnswer} from './types.js';

/**
 * Interval between queries, in milliseconds. The answers should be at most a
 * second old.
 */
const QUERY_INTERVAL_MS = 500;
/**
 * Most further queries in each interval that are sent at once after answers of
 * peers without any evidence. After a power failure many peers have just
 * started, and another one may have evidence already.
 */
const MAX_IMMEDIATE_QUERIES = 4;
/**
 * Evidence of a peer that is older than this, in milliseconds, does not replace
 * own calls, although keys may still be accepted on it.
 */
const MAX_EVIDENCE_AGE_MS = 2_000;
/**
 * Longest time from one query until the answer to the next one, on a slow
 * machine, in milliseconds.
 */
const NEXT_ANSWER_MAX_MS = QUERY_INTERVAL_MS + 200;
/**
 * How long a confirmation lasts after the last answer that renewed it, in
 * milliseconds.
 */
const CONFIRMATION_LIFETIME_MS = 1_200;
/**
 * Consecutive answers with another replica digest after which the replicas are
 * listed again. A single one may differ because of a change that this entry's
 * own watch is about to deliver.
 */
const DIFFERENT_DIGESTS_BEFORE_REREAD = 2;
/**
 * After the first of these answers the peer is queried again after this time, in
 * milliseconds, if the own replicas have not changed for `SETTLED_MS`: a watch
 * that works would have delivered the change by then.
 */
const SECOND_LOOK_MS = 150;
/** Entries know of a change at different times, within this many milliseconds. */
const SETTLED_MS = 1_000;

/**
 * Largest age of a peer's evidence that replaces own calls, in milliseconds.
 * Evidence older than `maxReadyAgeMs` makes this entry unready, and evidence
 * ages further until the next answer. Without regard to that, an entry with a
 * short limit on removed keys would switch between ready and unready while
 * nothing is wrong.
 */
export function maxPeerEvidenceAgeMs(maxReadyAgeMs: number): number {
  return Math.min(MAX_EVIDENCE_AGE_MS, maxReadyAgeMs - NEXT_ANSWER_MAX_MS);
}

export interface PeerConfirmationOptions extends StepOwner {
  /**
   * Largest age of a peer's evidence that replaces own calls, in milliseconds.
   */
  readonly maxAgeMs: number;
  readonly clock: Clock;
  /**
   * Whether own calls may be replaced by those of this entry.
   * @default those of any entry
   */
  mayRelyOn?(entry: string): boolean;
  queryPeer(): Promise<PeerAnswer | undefined>;
  /**
   * Time of the last change of the own replicas, on this process's clock.
   * @default just now
   */
  replicasChangedAt?(): number;
  /** What this entry knows from the store. */
  ownKnowledge(): {
    readonly era: StoreEra;
    readonly configVersion: number | undefined;
    readonly replicasDigest: string;
    /** Undefined where evacuations are not followed or not known yet. */
    readonly evacuationsDigest?: string;
  };
  /**
   * The peer was queried at `askedAt`, and its evidence is a call to the store
   * that was sent no earlier than `asOf`.
   */
  onConfirmed(asOf: number, askedAt: number, origin: EvidenceOrigin): void;
  /**
   * The peer has a different configuration: a newer one, or any other on recent
   * evidence.
   */
  onDifferentConfig(answer: PeerAnswer): void;
  onSameConfig(): void;
  /**
   * The peer has evidence of any age for what it knows, and knows of all
   * restores of the store that this entry has seen. @default ignored
   */
  onKnowledge?(answer: PeerAnswer): void;
  onDifferentReplicas(answer: PeerAnswer): void;
  /** The peer knows other evacuations. @default ignored */
  onDifferentEvacuations?(answer: PeerAnswer): void;
  /** The peer knows of a restore of the store that this entry has not seen. */
  onNewerEra(answer: PeerAnswer): void;
  /** Called after each query that leaves this entry without a confirmation. */
  onUnconfirmed(): void;
  /** A confirmation began or ended, with this answer or without an answer. */
  onChange(isActive: boolean, answer: PeerAnswer | undefined): void;
}

export interface PeerConfirmation {
  /** Whether a peer confirmed recently that both know the same. */
  isActive(): boolean;
  /**
   * Whether a peer confirmed recently that both know the same evacuations, on
   * recent evidence.
   */
  isActiveForEvacuations(): boolean;
  /** Whether a peer answers queries, whatever it knows. */
  isPeerAnswering(): boolean;
  /**
   * Sends a query before the next interval. Otherwise a request that waits for
   * its key to be confirmed would be refused although a peer could confirm it.
   */
  queryNow(): void;
  stop: Cancel;
}

export function createPeerConfirmation(
  options: PeerConfirmationOptions,
): PeerConfirmation {
  const {clock} = options;
  const guard = createGuard(options.onError ?? toProcess);
  let lastConfirmedAt = Number.NEGATIVE_INFINITY;
  let lastSameEvacuationsAt = Number.NEGATIVE_INFINITY;
  let lastAnswerAt = Number.NEGATIVE_INFINITY;
  let wasActive = false;
  let differentDigests = 0;
  let isQuerying = false;
  let isQueryPending = false;
  let immediateQueries = 0;
  let cancelSecondLook: Cancel = () => undefined;

  const isActive = () =>
    clock.now() - lastConfirmedAt < CONFIRMATION_LIFETIME_MS;
  const isActiveForEvacuations = () =>
    clock.now() - lastSameEvacuationsAt < CONFIRMATION_LIFETIME_MS;
  const isPeerAnswering = () =>
    clock.now() - lastAnswerAt < CONFIRMATION_LIFETIME_MS;

  const mayReplaceCalls = (answer: PeerAnswer): boolean =>
    options.mayRelyOn?.(originOf(answer).source) ?? true;

  const areReplicasSettled = (): boolean => {
    const changedAt = options.replicasChangedAt?.() ?? clock.now();
    return clock.now() - changedAt > SETTLED_MS;
  };
  const compareReplicas = (answer: PeerAnswer): void => {
    const isSame =
      answer.replicasDigest === options.ownKnowledge().replicasDigest;
    differentDigests = isSame ? 0 : differentDigests + 1;
    if (differentDigests === 1 && areReplicasSettled()) {
      cancelSecondLook();
      cancelSecondLook = clock.after(SECOND_LOOK_MS, queryNow);
    }
    if (differentDigests < DIFFERENT_DIGESTS_BEFORE_REREAD) return;
    differentDigests = 0;
    options.onDifferentReplicas(answer);
  };

  /** The age of the evidence is that of all of a peer's knowledge. */
  const compareEvacuations = (answer: PeerAnswer): void => {
    const {evacuationsDigest, evidenceAgeMs = Infinity} = answer;
    if (evacuationsDigest === undefined) return;
    const own = options.ownKnowledge();
    if (evacuationsDigest !== own.evacuationsDigest) {
      options.onDifferentEvacuations?.(answer);
      return;
    }
    const isRecent = evidenceAgeMs <= options.maxAgeMs;
    const isCurrent = isRecent && !isOlderEra(answer.era, own.era);
    if (isCurrent && mayReplaceCalls(answer)) {
      lastSameEvacuationsAt = clock.now();
    }
  };

  const handleAnswer = (answer: PeerAnswer): void => {
    const {evidenceAgeMs, askedAt} = answer;
    const {configVersion, era} = options.ownKnowledge();
    if (isOlderEra(era, answer.era)) options.onNewerEra(answer);
    compareEvacuations(answer);
    if (evidenceAgeMs === undefined) return;
    const isSame = answer.configVersion === configVersion;
    // A newer version is taken on evidence of any age. If recent evidence were
    // required, a disconnected entry would stay on the old version.
    const isNewer = (answer.configVersion ?? -1) > (configVersion ?? -1);
    // A version of the configuration is the same in every era. For anything
    // current, an entry that has not seen the store's restore proves nothing.
    if (isOlderEra(answer.era, era)) {
      if (isNewer) options.onDifferentConfig(answer);
      return;
    }
    options.onKnowledge?.(answer);
    // The evidence is exact at any age, and a disconnected entry may have
    // nothing better.
    if (isSame) {
      const asOf = askedAt - evidenceAgeMs;
      options.onConfirmed(asOf, askedAt, originOf(answer));
    }
    const isRecent = evidenceAgeMs <= options.maxAgeMs;
    if (!isSame && (isRecent || isNewer)) options.onDifferentConfig(answer);
    if (!isSame || !isRecent) return;
    options.onSameConfig();
    if (mayReplaceCalls(answer)) lastConfirmedAt = clock.now();
    compareReplicas(answer);
  };

  const reportChange = (answer: PeerAnswer | undefined): void => {
    if (isActive() === wasActive) return;
    wasActive = isActive();
    options.onChange(wasActive, answer);
  };

  const queryOnce = async (): Promise<void> => {
    if (isQuerying) return;
    isQuerying = true;
    let answer: PeerAnswer | undefined;
    try {
      answer = await options.queryPeer();
    } finally {
      isQuerying = false;
    }
    if (answer !== undefined) {
      lastAnswerAt = clock.now();
      handleAnswer(answer);
    }
    reportChange(answer);
    if (!isActive()) options.onUnconfirmed();
    if (isQueryPending) return queryNow();
    const isWithoutEvidence =
      answer !== undefined && answer.evidenceAgeMs === undefined;
    if (!isWithoutEvidence || immediateQueries >= MAX_IMMEDIATE_QUERIES) return;
    immediateQueries++;
    query();
  };
  const query = guard('query of a peer', queryOnce);
  const queryNow = (): void => {
    // The running query may have been sent before a suspension, so its answer
    // may not count. Another one follows it.
    isQueryPending = isQuerying;
    query();
  };

  const stopQueries = clock.every(QUERY_INTERVAL_MS, () => {
    immediateQueries = 0;
    query();
  });
  return {
    isActive,
    isActiveForEvacuations,
    isPeerAnswering,
    queryNow,
    stop: () => {
      stopQueries();
      cancelSecondLook();
    },
  };
}

function originOf({node, evidenceSource}: PeerAnswer): EvidenceOrigin {
  return {peer: node, source: evidenceSource ?? node};
}
