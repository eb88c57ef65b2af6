/**
 * Tracks whether this entry's own calls reach the store, and when one last
 * confirmed what is known.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {CollectionFollower} from './collection_follower.js';
import {faultFields} from './followed/collection.js';
import type {StoreFault} from './followed/collection.js';

/** A confirmation is overdue after the wait of its watch times this factor. */
const OVERDUE_FACTOR = 1.3;

/**
 * From this time of an answer on, in milliseconds, calls beside the watch renew
 * the confirmation.
 */
const SLOW_ANSWER_MS = 400;
/**
 * A call that is sent when the newest confirmation is this many waits old, less
 * the time of an answer, renews it as early as with a quick store.
 */
const RENEWAL_FACTOR = OVERDUE_FACTOR + 1;

export interface ConfirmationTimer {
  /** An own call that was sent at `sentAt` confirmed the collection. */
  markConfirmed(sentAt: number): void;
  /** Whether an own call should have confirmed the collection by now. */
  isOverdue(): boolean;
  /** Makes the call that is due by now to confirm the collection in time. */
  renew(follower: RenewedFollower): void;
}

export type RenewedFollower = Pick<
  CollectionFollower,
  'relistNow' | 'confirmBeside' | 'slowestAnswerMs'
>;

/**
 * Tracks when an own call last confirmed a collection. `waitMs` is how long its
 * watch waits.
 */
export function createConfirmationTimer(
  clock: Clock,
  waitMs: number,
): ConfirmationTimer {
  let confirmedAt = clock.now();
  let newestSentAt = clock.now();
  const isOverdue = () => clock.now() - confirmedAt > waitMs * OVERDUE_FACTOR;
  return {
    markConfirmed: sentAt => {
      confirmedAt = clock.now();
      newestSentAt = Math.max(newestSentAt, sentAt);
    },
    isOverdue,
    renew: ({relistNow, confirmBeside, slowestAnswerMs}) => {
      const answerMs = slowestAnswerMs();
      if (answerMs < SLOW_ANSWER_MS) {
        if (isOverdue()) relistNow();
        return;
      }
      const ageThenMs = clock.now() - newestSentAt + answerMs;
      if (ageThenMs > waitMs * RENEWAL_FACTOR) confirmBeside();
    },
  };
}

export interface StoreConnection {
  isLost(): boolean;
  callFailed(fault: StoreFault): void;
  callSucceeded(): void;
}

/** Logs one line when the store is lost and one when it is back. */
export function createStoreConnection(clock: Clock, log: Log): StoreConnection {
  let lostAt: number | undefined;
  return {
    isLost: () => lostAt !== undefined,
    callFailed: fault => {
      if (lostAt !== undefined) return;
      lostAt = clock.now();
      log(DIRECT_EVENTS.storeLost, faultFields(fault));
    },
    callSucceeded: () => {
      if (lostAt === undefined) return;
      const awayMs = Math.round(clock.now() - lostAt);
      lostAt = undefined;
      log(DIRECT_EVENTS.storeBack, {awayMs});
    },
  };
}
