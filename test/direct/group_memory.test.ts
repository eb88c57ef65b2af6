/** Memory that a group's members set aside: for how long it is kept. */
import {describe, expect, test} from 'vitest';
import {createGroups} from '../../src/direct/groups.js';
import type {Group} from '../../src/direct/groups.js';
import type {
  DirectReplica,
  ReplicaReport,
  ReservationState,
} from '../../src/direct/types.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

/** Memory may be set aside for so long without a request that uses it. */
const UNUSED_MS = 9_000;
const HOLD_MS = 3_500;
const ANSWER_MS = 2;

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
  let answers = true;
  const answer = <T>(value: T): Promise<T> =>
    new Promise(resolve => void clock.after(ANSWER_MS, () => resolve(value)));
  const isHeld = (id: string) => (held.get(id)?.lapsesAt ?? 0) > clock.now();
  const report = (address: string): ReplicaReport => ({
    startedAt: Number(address.split(':')[1]),
    reservations: new Map(
      [...held.keys()].filter(isHeld).map(id => [id, state]),
    ),
  });
  const groups = createGroups({
    clock,
    log: () => undefined,
    orders: {
      reserve: (_address, id, _tokens, holdMs) => {
        const now = clock.now();
        const since = isHeld(id) ? (held.get(id)?.since ?? now) : now;
        held.set(id, {since, lapsesAt: now + holdMs});
        return answer('done');
      },
      release: (_address, id) => {
        held.delete(id);
        return answer('done');
      },
    },
    readReport: address => answer(answers ? report(address) : undefined),
    idPrefix: 'entry-1',
    holdMs: HOLD_MS,
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
    fallSilent: () => {
      answers = false;
    },
  };
}

describe('memory of a group', () => {
  // The caller of a long prompt gets no event for ten seconds and leaves. The
  // lead had taken the request and never began it, while it answered each
  // question for its state at once. The entry took that for a sign that the
  // request goes on, and renewed the members' memory for as long as it waited.
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
});
