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
import type {EntryAnswer} from './types.js';

/** Between two questions; an answer a second old or less is wanted. */
const ASK_MS = 500;
/** Older evidence of another entry is no cover, though keys may count on it. */
const COVER_AGE_MS = 2_000;
/** From one question until the answer to the next, on a slow machine. */
const NEXT_ANSWER_MS = ASK_MS + 200;
/** Cover lasts so long after the last good answer. */
const COVER_MS = 1_200;
/**
 * Answers in a row that must tell of other replicas before they are read anew:
 * one may have been overtaken by a change that the own watch brings.
 */
const DIFFERENT_TIMES = 2;

/**
 * Oldest evidence of another entry that covers, where evidence older than
 * `readyMs` makes this entry unready: it ages on until the next answer. Without
 * regard to that, an entry under a short bound would be ready and unready by
 * turns while all is well.
 */
export function coverAgeMs(readyMs: number): number {
  return Math.min(COVER_AGE_MS, readyMs - NEXT_ANSWER_MS);
}

export interface CoverOptions {
  /** Oldest evidence of another entry that covers. */
  readonly maxAgeMs: number;
  readonly clock: Clock;
  ask(): Promise<EntryAnswer | undefined>;
  /** What this entry has from the store. */
  own(): {
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
  onOtherConfig(answer: EntryAnswer): void;
  onSameConfig(): void;
  onOtherReplicas(answer: EntryAnswer): void;
  /** It has heard of a return of the store from a copy that is unknown here. */
  onNewerEra(answer: EntryAnswer): void;
  /** Called at each question that left this entry without cover. */
  onUncovered(): void;
  /** Cover began or ended with this answer, or for want of one. */
  onChange(isCovered: boolean, answer: EntryAnswer | undefined): void;
}

export interface Cover {
  isCovered(): boolean;
  /** Another entry answers, whatever it knows. */
  isAnswered(): boolean;
  /**
   * Asks before the next turn. A request whose key waits for evidence would
   * otherwise be refused while another entry could vouch for it.
   */
  askNow(): void;
  stop: Cancel;
}

export function createCover(options: CoverOptions): Cover {
  const {clock} = options;
  let coveredAt = Number.NEGATIVE_INFINITY;
  let answeredAt = Number.NEGATIVE_INFINITY;
  let wasCovered = false;
  let different = 0;
  let asking = false;
  let isWanted = false;

  const isCovered = () => clock.now() - coveredAt < COVER_MS;
  const isAnswered = () => clock.now() - answeredAt < COVER_MS;

  const takeReplicas = (answer: EntryAnswer): void => {
    const isSame = answer.replicasDigest === options.own().replicasDigest;
    different = isSame ? 0 : different + 1;
    if (different < DIFFERENT_TIMES) return;
    different = 0;
    options.onOtherReplicas(answer);
  };

  const take = (answer: EntryAnswer): void => {
    const {evidenceAgeMs, askedAt} = answer;
    const {configVersion, era} = options.own();
    if (isOlderEra(era, answer.era)) options.onNewerEra(answer);
    if (evidenceAgeMs === undefined) return;
    const isSame = answer.configVersion === configVersion;
    // A newer version is the newer one however old the word is: waiting for a
    // young one, an entry that is cut off stays on the old version meanwhile.
    const isNewer = (answer.configVersion ?? -1) > (configVersion ?? -1);
    // A version is the same in every era; of the present, the word of an entry
    // that has not heard of the store's return proves nothing.
    if (isOlderEra(answer.era, era)) {
      if (isNewer) options.onOtherConfig(answer);
      return;
    }
    // Exact at any age: an entry that is cut off lives on what there is.
    if (isSame) options.onConfirmed(askedAt - evidenceAgeMs, askedAt);
    const isYoung = evidenceAgeMs <= options.maxAgeMs;
    if (!isSame && (isYoung || isNewer)) options.onOtherConfig(answer);
    if (!isSame || !isYoung) return;
    options.onSameConfig();
    coveredAt = clock.now();
    takeReplicas(answer);
  };

  const noteChange = (answer: EntryAnswer | undefined): void => {
    if (isCovered() === wasCovered) return;
    wasCovered = isCovered();
    options.onChange(wasCovered, answer);
  };

  const askOnce = async (): Promise<void> => {
    if (asking) return;
    asking = true;
    const answer = await options.ask();
    asking = false;
    if (answer !== undefined) {
      answeredAt = clock.now();
      take(answer);
    }
    noteChange(answer);
    if (!isCovered()) options.onUncovered();
    if (isWanted) askNow();
  };
  const askNow = (): void => {
    // A question that is under way may have been asked before a doubt.
    isWanted = asking;
    void askOnce();
  };

  return {
    isCovered,
    isAnswered,
    askNow,
    stop: clock.every(ASK_MS, () => void askOnce()),
  };
}
