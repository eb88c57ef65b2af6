/** How long the memory is kept that a group's members have reserved. */
import {describe, expect, test} from 'vitest';
import {createGroups} from '../../src/direct/groups.js';
import type {Group} from '../../src/direct/groups.js';
import type {GroupLoss} from '../../src/direct/decide/judge_memory.js';
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
/** Timeout of an order or a status request that is not answered. */
const ORDER_TIMEOUT_MS = 300;
/** Longer than the time between two renewals. */
const PHASES_MS = 1_800;
const PHASE_STEP_MS = 60;
/** Several renewals. */
const SETTLED_MS = 5_000;
/** Silences of replicas that are paused and then go on, the longest that is borne. */
const SILENCES_MS = [1_200, 1_500, 2_000, 2_500];

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
  /** Time until which an address does nothing. */
  const silentUntil = new Map<string, number>();
  const restarted = new Set<string>();
  const losses: GroupLoss[] = [];
  const answer = <T>(value: T): Promise<T> =>
    new Promise(resolve => void clock.after(ANSWER_MS, () => resolve(value)));
  /**
   * Executes a call now, or when the address goes on; undefined when that is
   * after the caller's timeout.
   */
  const callAt = <T>(address: string, execute: () => T) =>
    new Promise<T | undefined>(resolve => {
      const waitMs = (silentUntil.get(address) ?? 0) - clock.now();
      if (waitMs <= 0) return resolve(execute());
      clock.after(ORDER_TIMEOUT_MS, () => resolve(undefined));
      if (Number.isFinite(waitMs)) {
        clock.after(waitMs, () => resolve(execute()));
      }
    });
  const answerOrder = (address: string): Promise<ReservationAnswer> =>
    unanswered.has(address)
      ? new Promise(resolve => {
          clock.after(ORDER_TIMEOUT_MS, () => resolve('unknown'));
        })
      : answer('done');
  const isHeld = (id: string) => (held.get(id)?.lapsesAt ?? 0) > clock.now();
  const report = (address: string): ReplicaReport => ({
    startedAt: Number(address.split(':')[1]) + (restarted.has(address) ? 1 : 0),
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
      reserve: async (address, id, _tokens, holdMs) => {
        const executed = await callAt(address, () => {
          const now = clock.now();
          const since = isHeld(id) ? (held.get(id)?.since ?? now) : now;
          held.set(id, {since, lapsesAt: now + holdMs});
          return answerOrder(address);
        });
        return executed ?? 'unknown';
      },
      release: async (address, id) => {
        const executed = await callAt(address, () => {
          held.delete(id);
          return answerOrder(address);
        });
        return executed ?? 'unknown';
      },
    },
    readReport: async address =>
      (await callAt(address, () => answer(currentReport(address)))) ??
      undefined,
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
    const group = (await opening) as Group;
    group.watchLoss(loss => losses.push(loss));
    return group;
  };
  return {
    clock,
    open,
    losses,
    heldNow: () => [...held.keys()].filter(isHeld).length,
    /** Reservations that are the ones first made, without a gap since. */
    keptSince: (at: number) =>
      [...held].filter(([id, {since}]) => isHeld(id) && since <= at).length,
    silence: ({address}: DirectReplica, ms: number) =>
      void silentUntil.set(address, clock.now() + ms),
    restart: ({address}: DirectReplica) => void restarted.add(address),
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

/** Every moment between two renewals, as the time since the group was opened. */
const PHASES = Array.from(
  {length: PHASES_MS / PHASE_STEP_MS},
  (_, at) => SETTLED_MS + at * PHASE_STEP_MS,
);

describe.each(SILENCES_MS)('memory of a group, with a silence of %i ms', ms => {
  // A paused lead answers no status request and has still got the run.
  test('is kept when the lead falls silent and goes on', async () => {
    for (const phase of PHASES) {
      const {clock, open, keptSince, losses, setState, silence} = setUp();
      await open();
      setState('used');
      await clock.runFor(phase);
      silence(LEAD, ms);
      await clock.runFor(SETTLED_MS);
      expect([phase, keptSince(ANSWER_MS), losses]).toEqual([phase, 2, []]);
    }
  });

  // Its events stop with the status answers, and they go on.
  test('is kept when a lead that sends events falls silent and goes on', async () => {
    for (const phase of PHASES) {
      const {clock, open, keptSince, losses, setState, silence} = setUp();
      const group = await open();
      setState('used');
      const silentFrom = clock.now() + phase;
      clock.every(50, () => {
        const sinceMs = clock.now() - silentFrom;
        if (sinceMs < 0 || sinceMs > ms) group.noteActivity();
      });
      await clock.runFor(phase);
      silence(LEAD, ms);
      await clock.runFor(SETTLED_MS);
      expect([phase, keptSince(ANSWER_MS), losses]).toEqual([phase, 2, []]);
    }
  });

  // The request waits at the paused lead, so its parts begin only afterwards.
  test('is kept when the lead is silent before it starts the request', async () => {
    const {clock, open, keptSince, losses, setState, silence} = setUp();
    silence(LEAD, ms);
    await open();
    await clock.runFor(ms + 100);
    setState('used');
    await clock.runFor(SETTLED_MS);
    expect([keptSince(ANSWER_MS), losses]).toEqual([2, []]);
  });

  // Silent members do not say that their memory is unused.
  test('is kept when the members fall silent and go on', async () => {
    for (const phase of PHASES) {
      const {clock, open, keptSince, losses, setState, silence} = setUp();
      await open();
      setState('used');
      await clock.runFor(phase);
      for (const helper of HELPERS) silence(helper, ms);
      await clock.runFor(SETTLED_MS);
      expect([phase, keptSince(ANSWER_MS), losses]).toEqual([phase, 2, []]);
    }
  });

  // A whole failure domain may be paused.
  test('is kept when the lead and the members fall silent and go on', async () => {
    for (const phase of PHASES) {
      const {clock, open, keptSince, losses, setState, silence} = setUp();
      await open();
      setState('used');
      await clock.runFor(phase);
      for (const member of [LEAD, ...HELPERS]) silence(member, ms);
      await clock.runFor(SETTLED_MS);
      expect([phase, keptSince(ANSWER_MS), losses]).toEqual([phase, 2, []]);
    }
  });
});

describe('memory of a group whose lead is gone', () => {
  test('is free in time after its last answer', async () => {
    for (const phase of PHASES) {
      const {clock, open, heldNow, losses, setState, silence} = setUp();
      await open();
      setState('used');
      await clock.runFor(phase);
      silence(LEAD, Infinity);
      await clock.runFor(HOLD_MS + ANSWER_MS);
      expect([phase, heldNow(), losses]).toEqual([
        phase,
        0,
        ['the lead is silent'],
      ]);
    }
  });

  // The members' reservations must not be renewed for a later start.
  test('is free at the next check when the lead has restarted', async () => {
    const {clock, open, heldNow, losses, setState, restart} = setUp();
    await open();
    setState('used');
    await clock.runFor(SETTLED_MS);
    restart(LEAD);
    await clock.runFor(HOLD_MS / 2);
    expect([heldNow(), losses]).toEqual([0, ['the lead has restarted']]);
  });

  // The request has ended, but nothing reaches the entry from the members.
  test('is free in time after its last use when no member answers', async () => {
    for (const phase of PHASES) {
      const {clock, open, heldNow, setState, setReports} = setUp();
      await open();
      setState('used');
      await clock.runFor(phase);
      setReports('members silent');
      await clock.runFor(FREE_MS);
      expect([phase, heldNow()]).toEqual([phase, 0]);
    }
  });
});
