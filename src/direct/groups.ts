/**
 * Memory that the members of a group set aside for one prompt. Each member
 * grants a lease under an id that is never used again. The entry renews the
 * leases while the request runs and releases them when it ends; if the entry
 * dies, they lapse by themselves.
 *
 * An order without an answer may be carried out seconds later. A reservation
 * that comes true after its release would hold memory that nobody uses, so
 * whatever was left unanswered is released again until no order can still come.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {EngineCandidate} from './choose_engines.js';
import type {GroupMember, Reservations} from './types.js';

/** An unanswered order is carried out within this time, or never. */
const LATE_ORDER_MS = 13_000;
/** Between releases while an order may still come. */
const SWEEP_MS = 1_500;
/** Between tries of an order that got no answer. */
const AGAIN_MS = 150;
/** Tries of a reservation before the group is given up. */
const RESERVE_TRIES = 2;
/** A lease is renewed after this share of its time. */
const RENEW_SHARE = 0.45;

/** A group whose members all hold their part. */
export interface Group {
  readonly members: readonly GroupMember[];
  /** Releases all members. */
  close(): void;
}

export interface GroupsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: Reservations;
  /** Prefix of the reservations' ids, unique to this process. */
  readonly idPrefix: string;
  /** Time of one lease, in milliseconds. */
  readonly holdMs: number;
}

export interface Groups {
  /** All members or none; a refusal names the replica that refused. */
  open(
    requestId: string,
    helpers: readonly EngineCandidate[],
    tokens: number,
  ): Promise<Group | {readonly refusedBy: string}>;
  /** Reservations that are held, or may be. */
  held(): number;
}

interface Lease {
  readonly address: string;
  readonly id: string;
  readonly tokens: number;
  /** When an order of this lease was last left unanswered. */
  unansweredAt: number;
  closed: boolean;
}

export function createGroups(options: GroupsOptions): Groups {
  const {clock, log, orders, holdMs} = options;
  const leases = new Set<Lease>();
  let count = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));

  const reserve = async (lease: Lease) => {
    const {address, id, tokens} = lease;
    const answer = await orders.reserve(address, id, tokens, holdMs);
    if (answer === 'unknown') lease.unansweredAt = clock.now();
    return answer;
  };

  const firstReserve = async (lease: Lease) => {
    for (let tries = 1; ; tries++) {
      const answer = await reserve(lease);
      if (answer !== 'unknown' || tries >= RESERVE_TRIES) return answer;
    }
  };

  const keepRenewed = async (lease: Lease): Promise<void> => {
    let waitMs = holdMs * RENEW_SHARE;
    for (;;) {
      await pause(waitMs);
      if (lease.closed) return;
      const answer = await reserve(lease);
      if (answer === 'refused') return;
      waitMs = answer === 'done' ? holdMs * RENEW_SHARE : AGAIN_MS;
    }
  };

  const release = async (lease: Lease): Promise<void> => {
    lease.closed = true;
    const endsAt = clock.now() + LATE_ORDER_MS;
    while (clock.now() < endsAt) {
      const answer = await orders.release(lease.address, lease.id);
      const mayCome = clock.now() - lease.unansweredAt < LATE_ORDER_MS;
      if (answer !== 'unknown' && !mayCome) break;
      await pause(answer === 'unknown' ? AGAIN_MS : SWEEP_MS);
    }
    leases.delete(lease);
  };

  const leaseOf = ({replica}: EngineCandidate, tokens: number): Lease => ({
    address: replica.address,
    id: `${options.idPrefix}-${++count}`,
    tokens,
    unansweredAt: Number.NEGATIVE_INFINITY,
    closed: false,
  });

  return {
    open: async (requestId, helpers, tokens) => {
      const asked = helpers.map(helper => leaseOf(helper, tokens));
      for (const lease of asked) leases.add(lease);
      const answers = await Promise.all(asked.map(firstReserve));
      const at = answers.findIndex(answer => answer !== 'done');
      if (at >= 0) {
        const refusedBy = asked[at].address;
        const answer = answers[at];
        log(DIRECT_EVENTS.groupRefused, {requestId, refusedBy, answer});
        for (const lease of asked) void release(lease);
        return {refusedBy};
      }
      for (const lease of asked) void keepRenewed(lease);
      return {
        members: asked.map(({address, id}) => ({address, reservation: id})),
        close: () => asked.forEach(lease => void release(lease)),
      };
    },
    held: () => leases.size,
  };
}
