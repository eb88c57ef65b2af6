/** How long the memory is kept that a group's members have reserved. */
import {describe, expect, test} from 'vitest';
import {createGroups} from '../../src/direct/groups.js';
import type {Group} from '../../src/direct/groups.js';
import type {
  DirectReplica,
  ReplicaReport,
  ReservationAnswer,
  ReservationState,
} from '../../src/direct/types.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

/** Longest time for which memory may be reserved before it is used. */
const UNUSED_MS = 9_000;
/** Longest time for which memory may stay reserved after its last use. */
const FREE_MS = 4_000;
const HOLD_MS = 3_500;
const ANSWER_MS = 2;
/** Timeout of an order that is not answered. */
const ORDER_TIMEOUT_MS = 300;

function replica(at: number): DirectReplica {
  return {
    id: `i-${at}`,
    name: `i-${at}`,
    startedAt: at,
    service: 'pool',
    address: `127.0.0.1:${at}`,
    failureDomain: 'domain-1',
    places: 8,
    leaving: false,
  };
}

const LEAD = replica(1);
const HELPERS = [replica(2), replica(3)];

/** Groups on a virtual clock, with members that grant every reservation. */
function setUp() {
  const clock: VirtualClock = createVirtualClock();
  /** Start and expiry of each reservation. */
  const held = new Map<string, {readonly since: number; lapsesAt: number}>();
  let state: ReservationState = 'unused';
  /** Members whose answers to orders are lost; they still execute the orders. */
  const unanswered = new Set<string>();
  let reports: 'whole' | 'without reservations' | 'members silent' = 'whole';
  const answer = <T>(value: T): Promise<T> =>
    new Promise(resolve => void clock.after(ANSWER_MS, () => resolve(value)));
  const answerOrder = (address: string): Promise<ReservationAnswer> =>
    unanswered.has(address)
      ? new Promise(resolve => {
          clock.after(ORDER_TIMEOUT_MS, () => resolve('unknown'));
        })
      : answer('done');
  const isHeld = (id: string) => (held.get(id)?.lapsesAt ?? 0) > clock.now();
  const report = (address: string): ReplicaReport => ({
    startedAt: Number(address.split(':')[1]),
    reservations: new Map(
      [...held.keys()].filter(isHeld).map(id => [id, state]),
    ),
  });
  const currentReport = (address: string): ReplicaReport | undefined => {
    const isMember = address !== LEAD.address;
    if (reports === 'members silent' && isMember) return undefined;
    return reports === 'without reservations'
      ? {...report(address), reservations: undefined}
      : report(address);
  };
  const groups = createGroups({
    clock,
    log: () => undefined,
    orders: {
      reserve: (address, id, _tokens, holdMs) => {
        const now = clock.now();
        const since = isHeld(id) ? (held.get(id)?.since ?? now) : now;
        held.set(id, {since, lapsesAt: now + holdMs});
        return answerOrder(address);
      },
      release: (address, id) => {
        held.delete(id);
        return answerOrder(address);
      },
    },
    readReport: address => answer(currentReport(address)),
    idPrefix: 'entry-1',
    holdMs: HOLD_MS,
    unusedMs: 2_000,
  });
  const open = async (): Promise<Group> => {
    const opening = groups.open({
      requestId: 'req-1',
      lead: LEAD,
      helpers: HELPERS,
      tokens: 1_000,
    });
    await clock.runFor(ANSWER_MS);
    return (await opening) as Group;
  };
  return {
    clock,
    open,
    heldNow: () => [...held.keys()].filter(isHeld).length,
    setState: (next: ReservationState) => {
      state = next;
    },
    loseAnswersOf: ({address}: DirectReplica) => void unanswered.add(address),
    setReports: (next: typeof reports) => {
      reports = next;
    },
  };
}

describe('memory of a group', () => {
  // The lead answers status requests, which does not show that memory is used.
  test('is released in time when a live lead never starts', async () => {
    const {clock, open, heldNow} = setUp();
    await open();
    expect(heldNow()).toBe(HELPERS.length);
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // A prefill of a million tokens takes longer than the bound on unused memory.
  test('is kept while a member reports that it is used', async () => {
    const {clock, open, heldNow, setState} = setUp();
    await open();
    setState('used');
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  // The lead has ended the request, but its connection is dead, so the entry
  // does not notice the end.
  test('is released in time when it is no longer used', async () => {
    const {clock, open, heldNow, setState} = setUp();
    await open();
    setState('used');
    await clock.runFor(UNUSED_MS);
    setState('unused');
    await clock.runFor(FREE_MS);
    expect(heldNow()).toBe(0);
  });

  // A live lead alone does not show use, since a hanging one answers as well.
  test('is released in time when no member answers', async () => {
    const {clock, open, heldNow, setReports} = setUp();
    await open();
    setReports('members silent');
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // The check for use must not wait for the member whose answers are lost.
  test('is released in time when a renewal is not answered', async () => {
    const {clock, open, heldNow, loseAnswersOf} = setUp();
    await open();
    loseAnswersOf(HELPERS[0]);
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // The memory is used. The leases of the other members must not expire while
  // the renewal at one member is repeated.
  test('is kept at the other members while one renewal is not answered', async () => {
    const {clock, open, heldNow, setState, loseAnswersOf} = setUp();
    await open();
    setState('used');
    loseAnswersOf(HELPERS[0]);
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  test('is kept while the lead is alive when replicas do not report use', async () => {
    const {clock, open, heldNow, setReports} = setUp();
    await open();
    setReports('without reservations');
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  test('is kept while events arrive', async () => {
    const {clock, open, heldNow} = setUp();
    const group = await open();
    const stop = clock.every(100, () => group.noteActivity());
    await clock.runFor(2 * UNUSED_MS);
    stop();
    expect(heldNow()).toBe(HELPERS.length);
  });
});
