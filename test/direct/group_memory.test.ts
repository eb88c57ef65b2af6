/** Memory that a group's members set aside: for how long it is kept. */
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

/** Memory may be set aside for so long without a request that uses it. */
const UNUSED_MS = 9_000;
/** Memory may stay set aside for so long after its last use. */
const FREE_MS = 4_000;
const HOLD_MS = 3_500;
const ANSWER_MS = 2;
/** After which an order without an answer is given up. */
const SILENT_MS = 300;

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

/** Members that grant what is asked, on a clock of their own. */
function rig() {
  const clock: VirtualClock = createVirtualClock();
  /** When each reservation was set aside, and when it lapses. */
  const held = new Map<string, {readonly since: number; lapsesAt: number}>();
  let state: ReservationState = 'unused';
  /** Members whose answers to orders are lost; the orders are carried out. */
  const mute = new Set<string>();
  let reports: 'whole' | 'without reservations' | 'members silent' = 'whole';
  const answer = <T>(value: T): Promise<T> =>
    new Promise(resolve => void clock.after(ANSWER_MS, () => resolve(value)));
  const answerOrder = (address: string): Promise<ReservationAnswer> =>
    mute.has(address)
      ? new Promise(resolve => {
          clock.after(SILENT_MS, () => resolve('unknown'));
        })
      : answer('done');
  const isHeld = (id: string) => (held.get(id)?.lapsesAt ?? 0) > clock.now();
  const report = (address: string): ReplicaReport => ({
    startedAt: Number(address.split(':')[1]),
    reservations: new Map(
      [...held.keys()].filter(isHeld).map(id => [id, state]),
    ),
  });
  const reportNow = (address: string): ReplicaReport | undefined => {
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
    readReport: address => answer(reportNow(address)),
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
    use: (next: ReservationState) => {
      state = next;
    },
    loseAnswersOf: ({address}: DirectReplica) => void mute.add(address),
    tell: (next: typeof reports) => {
      reports = next;
    },
  };
}

describe('memory of a group', () => {
  // The lead answers for its state and never begins: its life is no sign of use.
  test('is released in time when the lead lives and never begins', async () => {
    const {clock, open, heldNow} = rig();
    await open();
    expect(heldNow()).toBe(HELPERS.length);
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // A prompt of a million tokens is read for longer than memory may go unused.
  test('is kept while a member says that it is used', async () => {
    const {clock, open, heldNow, use} = rig();
    await open();
    use('used');
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  // The lead has ended the request and its connection has gone silent, so the
  // entry does not hear of the end. The memory is used no more.
  test('is released in time when it is used no longer', async () => {
    const {clock, open, heldNow, use} = rig();
    await open();
    use('used');
    await clock.runFor(UNUSED_MS);
    use('unused');
    await clock.runFor(FREE_MS);
    expect(heldNow()).toBe(0);
  });

  // Members that answer nothing give no sign of use; the lead alone does not
  // count, as one that hangs answers too.
  test('is released in time when no member answers', async () => {
    const {clock, open, heldNow, tell} = rig();
    await open();
    tell('members silent');
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // One member's answers are lost: the look for use must not wait for them.
  test('is released in time when a renewal stays unanswered', async () => {
    const {clock, open, heldNow, loseAnswersOf} = rig();
    await open();
    loseAnswersOf(HELPERS[0]);
    await clock.runFor(UNUSED_MS);
    expect(heldNow()).toBe(0);
  });

  // As before, but the memory is used: what the other members hold must not
  // lapse while one of them is asked again and again.
  test('is kept at the others while one renewal stays unanswered', async () => {
    const {clock, open, heldNow, use, loseAnswersOf} = rig();
    await open();
    use('used');
    loseAnswersOf(HELPERS[0]);
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  test('is kept while the lead lives where replicas do not tell of use', async () => {
    const {clock, open, heldNow, tell} = rig();
    await open();
    tell('without reservations');
    await clock.runFor(2 * UNUSED_MS);
    expect(heldNow()).toBe(HELPERS.length);
  });

  test('is kept while events come', async () => {
    const {clock, open, heldNow} = rig();
    const group = await open();
    const stop = clock.every(100, () => group.noteActivity());
    await clock.runFor(2 * UNUSED_MS);
    stop();
    expect(heldNow()).toBe(HELPERS.length);
  });
});
