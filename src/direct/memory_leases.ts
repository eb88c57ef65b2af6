/**
 * Leases on memory that replicas set aside. Each has an id that is never used
 * again; a replica ends it by itself unless it is renewed in time.
 *
 * An order without an answer may be carried out seconds later. A reservation
 * that comes true after its release would hold memory that nobody uses, so
 * whatever was left unanswered is released again until no order can still come.
 */
import type {Clock} from '../types/runtime.js';
import type {ReservationAnswer, Reservations} from './types.js';

/** An unanswered order is carried out within this time, or never. */
const LATE_ORDER_MS = 13_000;
/** Between releases while an order may still come. */
const SWEEP_MS = 1_500;
/** Between tries of an order that got no answer. */
const AGAIN_MS = 150;
/** Tries of a first reservation before it is given up. */
const RESERVE_TRIES = 2;

/** One replica's memory, asked for or held. */
export interface MemoryLease {
  readonly address: string;
  readonly id: string;
  /** Asks for the memory, once more when no answer comes. */
  reserve(): Promise<ReservationAnswer>;
  /**
   * Repeated until it is answered, or the lease is released; one that is under
   * way is not begun again. Resolves with whether the memory is still held.
   */
  renew(): Promise<boolean>;
  /** Sent until nothing can be left; right also more than once. */
  release(): void;
}

export interface MemoryLeasesOptions {
  readonly clock: Clock;
  readonly orders: Reservations;
  /** Prefix of the ids, unique to this process. */
  readonly idPrefix: string;
  /** Time of one lease, in milliseconds. */
  readonly holdMs: number;
}

export interface MemoryLeases {
  /** Nothing is asked for before `reserve`. */
  create(address: string, tokens: number): MemoryLease;
  /** Leases that are held, or may be. */
  count(): number;
}

export function createMemoryLeases(options: MemoryLeasesOptions): MemoryLeases {
  const {clock, orders, holdMs} = options;
  const open = new Set<string>();
  let created = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  const create = (address: string, tokens: number): MemoryLease => {
    const id = `${options.idPrefix}-${++created}`;
    let unansweredAt = Number.NEGATIVE_INFINITY;
    let released = false;
    let renewing: Promise<boolean> | undefined;
    open.add(id);

    const order = async () => {
      const answer = await orders.reserve(address, id, tokens, holdMs);
      if (answer === 'unknown') unansweredAt = clock.now();
      return answer;
    };
    const reserve = async (): Promise<ReservationAnswer> => {
      for (let tries = 1; ; tries++) {
        const answer = await order();
        if (answer !== 'unknown' || tries >= RESERVE_TRIES) return answer;
      }
    };
    const askUntilAnswered = async (): Promise<boolean> => {
      while (!released) {
        const answer = await order();
        // The renewal may have overtaken the release.
        if (released) void sweep();
        if (answer !== 'unknown') return answer === 'done';
        await pause(AGAIN_MS);
      }
      return false;
    };
    const renew = (): Promise<boolean> => {
      renewing ??= askUntilAnswered().finally(() => {
        renewing = undefined;
      });
      return renewing;
    };
    const sweep = async (): Promise<void> => {
      const endsAt = clock.now() + LATE_ORDER_MS;
      while (clock.now() < endsAt) {
        const answer = await orders.release(address, id);
        const mayCome = clock.now() - unansweredAt < LATE_ORDER_MS;
        if (answer !== 'unknown' && !mayCome) break;
        await pause(answer === 'unknown' ? AGAIN_MS : SWEEP_MS);
      }
      open.delete(id);
    };
    const release = (): void => {
      if (released) return;
      released = true;
      void sweep();
    };
    return {address, id, reserve, renew, release};
  };

  return {create, count: () => open.size};
}
