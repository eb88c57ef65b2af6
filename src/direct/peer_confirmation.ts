/**
 * Another entry's word in place of own calls to the store.
 *
 * Evidence for keys is wanted about once a second, and each call to the store
 * is paid for. So an entry asks another one, in a datagram, what it knows. While
 * the answers say that both know the same, the own watches wait long; they still
 * bring each change at once.
 *
 * The word is exact. An answer was made after its question was sent, so the
 * store's answer behind it was asked for no earlier than that time less the
 * evidence's age. It counts only for the same version of the configuration.
 * Where two entries lean on each other, the age grows with each answer until
 * neither is covered. Without cover, watches are short again, and until the
 * long one has returned the collections are read anew instead.
 */
import type {Cancel, Clock} from '../types/runtime.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';
import type {PeerAnswer} from './types.js';

/** Between two questions; an answer a second old or less is wanted. */
const QUERY_INTERVAL_MS = 500;
/** Older evidence of another entry is no cover, though keys may count on it. */
const MAX_EVIDENCE_AGE_MS = 2_000;
/** From one question until the answer to the next, on a slow machine. */
const NEXT_ANSWER_MAX_MS = QUERY_INTERVAL_MS + 200;
/** Cover lasts so long after the last good answer. */
const CONFIRMATION_LIFETIME_MS = 1_200;
/**
 * Answers in a row that must tell of other replicas before they are read anew:
 * one may have been overtaken by a change that the own watch brings.
 */
const DIFFERENT_DIGESTS_BEFORE_REREAD = 2;

/**
 * Oldest evidence of another entry that covers, where evidence older than
 * `readyMs` makes this entry unready: it ages on until the next answer. Without
 * regard to that, an entry under a short bound would be ready and unready by
 * turns while all is well.
 */
export function maxPeerEvidenceAgeMs(readyMs: number): number {
  return Math.min(MAX_EVIDENCE_AGE_MS, readyMs - NEXT_ANSWER_MAX_MS);
}

export interface PeerConfirmationOptions {
  /** Oldest evidence of another entry that covers. */
  readonly maxAgeMs: number;
  readonly clock: Clock;
  queryPeer(): Promise<PeerAnswer | undefined>;
  /** What this entry has from the store. */
  ownKnowledge(): {
    readonly era: StoreEra;
    readonly configVersion: number | undefined;
    readonly replicasDigest: string;
  };
  /**
   * The other entry was asked at `askedAt`, and the store answered it a call
   * that was sent no earlier than `asOf`.
   */
  onConfirmed(asOf: number, askedAt: number): void;
  /** The other entry has another configuration, on young evidence. */
  onDifferentConfig(answer: PeerAnswer): void;
  onSameConfig(): void;
  onDifferentReplicas(answer: PeerAnswer): void;
  /** It has heard of a return of the store from a copy that is unknown here. */
  onNewerEra(answer: PeerAnswer): void;
  /** Called at each question that left this entry without cover. */
  onUnconfirmed(): void;
  /** Cover began or ended with this answer, or for want of one. */
  onChange(isActive: boolean, answer: PeerAnswer | undefined): void;
}

export interface PeerConfirmation {
  isActive(): boolean;
  /** Another entry answers, whatever it knows. */
  isPeerAnswering(): boolean;
  /**
   * Asks before the next turn. A request whose key waits for evidence would
   * otherwise be refused while another entry could vouch for it.
   */
  queryNow(): void;
  stop: Cancel;
}

export function createPeerConfirmation(
  options: PeerConfirmationOptions,
): PeerConfirmation {
  const {clock} = options;
  let lastConfirmedAt = Number.NEGATIVE_INFINITY;
  let lastAnswerAt = Number.NEGATIVE_INFINITY;
  let wasActive = false;
  let differentDigests = 0;
  let isQuerying = false;
  let isQueryPending = false;

  const isActive = () =>
    clock.now() - lastConfirmedAt < CONFIRMATION_LIFETIME_MS;
  const isPeerAnswering = () =>
    clock.now() - lastAnswerAt < CONFIRMATION_LIFETIME_MS;

  const compareReplicas = (answer: PeerAnswer): void => {
    const isSame =
      answer.replicasDigest === options.ownKnowledge().replicasDigest;
    differentDigests = isSame ? 0 : differentDigests + 1;
    if (differentDigests < DIFFERENT_DIGESTS_BEFORE_REREAD) return;
    differentDigests = 0;
    options.onDifferentReplicas(answer);
  };

  const handleAnswer = (answer: PeerAnswer): void => {
    const {evidenceAgeMs, askedAt} = answer;
    const {configVersion, era} = options.ownKnowledge();
    if (isOlderEra(era, answer.era)) options.onNewerEra(answer);
    if (evidenceAgeMs === undefined) return;
    const isSame = answer.configVersion === configVersion;
    // A newer version is the newer one however old the word is: waiting for a
    // young one, an entry that is cut off stays on the old version meanwhile.
    const isNewer = (answer.configVersion ?? -1) > (configVersion ?? -1);
    // A version is the same in every era; of the present, the word of an entry
    // that has not heard of the store's return proves nothing.
    if (isOlderEra(answer.era, era)) {
      if (isNewer) options.onDifferentConfig(answer);
      return;
    }
    // Exact at any age: an entry that is cut off lives on what there is.
    if (isSame) options.onConfirmed(askedAt - evidenceAgeMs, askedAt);
    const isRecent = evidenceAgeMs <= options.maxAgeMs;
    if (!isSame && (isRecent || isNewer)) options.onDifferentConfig(answer);
    if (!isSame || !isRecent) return;
    options.onSameConfig();
    lastConfirmedAt = clock.now();
    compareReplicas(answer);
  };

  const reportChange = (answer: PeerAnswer | undefined): void => {
    if (isActive() === wasActive) return;
    wasActive = isActive();
    options.onChange(wasActive, answer);
  };

  const query = async (): Promise<void> => {
    if (isQuerying) return;
    isQuerying = true;
    const answer = await options.queryPeer();
    isQuerying = false;
    if (answer !== undefined) {
      lastAnswerAt = clock.now();
      handleAnswer(answer);
    }
    reportChange(answer);
    if (!isActive()) options.onUnconfirmed();
    if (isQueryPending) queryNow();
  };
  const queryNow = (): void => {
    // A question that is under way may have been asked before a doubt.
    isQueryPending = isQuerying;
    void query();
  };

  return {
    isActive,
    isPeerAnswering,
    queryNow,
    stop: clock.every(QUERY_INTERVAL_MS, () => void query()),
  };
}
