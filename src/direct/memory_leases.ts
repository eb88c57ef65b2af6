/**
 * Leases on memory that replicas reserve. Each lease has an id that is never
 * reused, and it expires at the replica unless it is renewed in time.
 *
 * An order that was not answered may still be executed seconds later. A
 * reservation executed after its release would hold memory that nobody uses. So
 * after an unanswered order, the release is repeated until no earlier order can
 * be executed any more.
 */
import type {Clock} from '../types/runtime.js';
import {createGuard, toProcess} from '../utils/callback_guard.js';
import type {StepOwner} from '../utils/callback_guard.js';
import type {ReservationAnswer, Reservations} from './types.js';

/** Longest time until an unanswered order is executed; after it, it never is. */
const MAX_ORDER_DELAY_MS = 13_000;
/** Interval of repeated releases while an earlier order may still be executed. */
const RELEASE_INTERVAL_MS = 1_500;
/** Delay before an unanswered order is sent again. */
const RETRY_DELAY_MS = 150;
/** Attempts of a first reservation; beyond it the reservation fails. */
const RESERVE_ATTEMPTS = 2;

/** A lease on one replica's memory, requested or held. */
export interface MemoryLease {
  /** IP:PORT of the replica. */
  readonly address: string;
  readonly id: string;
  /**
   * Requests the memory, and repeats the request if no answer comes and
   * `mayRepeat` returns true.
   */
  reserve(mayRepeat?: () => boolean): Promise<ReservationAnswer>;
  /**
   * Renews the lease; repeated until it is answered or the lease is released.
   * A call during a renewal joins it. Resolves with whether the memory is still
   * held.
   */
  renew(): Promise<boolean>;
  /**
   * Releases the memory; repeated until no reservation can remain. Later calls
   * have no effect.
   */
  release(): void;
}

export interface MemoryLeasesOptions extends StepOwner {
  readonly clock: Clock;
  readonly orders: Reservations;
  /** Prefix of the ids, unique to this process. */
  readonly idPrefix: string;
  /** Duration of one lease, in milliseconds. */
  readonly holdMs: number;
}

export interface MemoryLeases {
  /** Creates a lease; the memory is requested only by `reserve`. */
  create(address: string, tokens: number): MemoryLease;
  /** Leases that are held or may still be held. */
  count(): number;
}

function isAnswered(answer: ReservationAnswer): boolean {
  return answer === 'done' || answer === 'refused';
}

export function createMemoryLeases(options: MemoryLeasesOptions): MemoryLeases {
  const {clock, orders, holdMs, onError = toProcess} = options;
  const openIds = new Set<string>();
  let created = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  const create = (address: string, tokens: number): MemoryLease => {
    const id = `${options.idPrefix}-${++created}`;
    let unansweredAt = Number.NEGATIVE_INFINITY;
    /** Whether the replica may have received an order of this lease. */
    let mayBeKnown = false;
    let isReleased = false;
    let renewing: Promise<boolean> | undefined;
    openIds.add(id);

    const sendReserve = async () => {
      const answer = await orders.reserve(address, id, tokens, holdMs);
      if (answer === 'unknown') unansweredAt = clock.now();
      mayBeKnown ||= answer !== 'unreachable';
      return answer;
    };
    const reserve = async (
      mayRepeat = () => true,
    ): Promise<ReservationAnswer> => {
      for (let attempt = 1; ; attempt++) {
        const answer = await sendReserve();
        const isLast = attempt >= RESERVE_ATTEMPTS;
        if (answer !== 'unknown' || isLast || !mayRepeat()) return answer;
      }
    };
    const renewUntilAnswered = async (): Promise<boolean> => {
      while (!isReleased) {
        const answer = await sendReserve();
        // The replica may have executed this renewal after the release.
        if (isReleased) startRelease();
        if (isAnswered(answer)) return answer === 'done';
        await pause(RETRY_DELAY_MS);
      }
      return false;
    };
    const renew = (): Promise<boolean> => {
      renewing ??= renewUntilAnswered().finally(() => {
        renewing = undefined;
      });
      return renewing;
    };
    const releaseUntilSure = async (): Promise<void> => {
      const endsAt = clock.now() + MAX_ORDER_DELAY_MS;
      while (mayBeKnown && clock.now() < endsAt) {
        const answer = await orders.release(address, id);
        const isReservePending =
          clock.now() - unansweredAt < MAX_ORDER_DELAY_MS;
        if (isAnswered(answer) && !isReservePending) break;
        await pause(isAnswered(answer) ? RELEASE_INTERVAL_MS : RETRY_DELAY_MS);
      }
    };
    // After an error, the memory expires at the replica.
    const startRelease = createGuard(onError)('release of memory', () =>
      releaseUntilSure().finally(() => openIds.delete(id)),
    );
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      startRelease();
    };
    return {address, id, reserve, renew, release};
  };

  return {create, count: () => openIds.size};
}
