/**
 * Prompts larger than one engine's memory: several engines are reserved, or
 * none.
 */
import {describe, expect, it} from 'vitest';
import {startEntry} from './support/entry_fixture.js';
import type {EntryFixture} from './support/entry_fixture.js';
import {
  accepted,
  sendThreeChunks,
  failed,
  refused,
} from './support/scripted_side.js';
import type {SideScript} from './support/scripted_side.js';

const LONG_PROMPT = {
  promptTokens: 1_000_000,
  maxTokens: 1_000,
  deadlineAt: 600_000,
};

/**
 * Leads answer; members report that they hold their memory and send heartbeats.
 */
const groupSideScript = (entry: () => EntryFixture): SideScript => ({
  run: (side, run) => {
    const offer = offerOf(entry(), run.dispatchId);
    if (offer?.group?.lead === true) {
      entry().clock.after(2_000, () => sendThreeChunks(side, run));
    } else {
      run.send({kind: 'started'});
    }
  },
});

function offerOf(entry: EntryFixture, dispatchId: string) {
  return entry.sides
    .flatMap(side => side.offers)
    .find(offer => offer.dispatchId === dispatchId);
}

/** Dispatches that no side was told to abandon. */
function heldDispatches(entry: EntryFixture): readonly string[] {
  return entry.sides.flatMap(side =>
    side.offers
      .map(offer => offer.dispatchId)
      .filter(id => !side.abandons.includes(id)),
  );
}

describe('a prompt larger than one engine’s memory', () => {
  it('runs on the fewest engines and releases the members at its end', async () => {
    const script = groupSideScript(() => entry);
    const entry = await startEntry({sides: [script, script, script, script]});
    const caller = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(5_000);
    expect(caller.text()).toBe('one two three');
    const offers = entry.sides.flatMap(side => side.offers);
    expect(offers.map(({group}) => group?.size)).toEqual([3, 3, 3]);
    const held = offers.reduce(
      (sum, {group}) => sum + (group?.holdTokens ?? 0),
      0,
    );
    expect(held).toBeGreaterThanOrEqual(1_001_000);
    const lead = offers.find(({group}) => group?.lead)?.dispatchId;
    expect(heldDispatches(entry)).toEqual([lead]);
  });

  // While one engine has no room, memory held on the others is unused. It must
  // be released before the next attempt.
  it('releases its reservations while one engine refuses', async () => {
    let room = false;
    const entry = await startEntry({
      sides: [
        groupSideScript(() => entry),
        groupSideScript(() => entry),
        {
          ...groupSideScript(() => entry),
          offer: () => (room ? accepted(entry.sides[2]) : refused('full', 100)),
        },
      ],
    });
    const caller = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(3_000);
    const [first] = entry.sides;
    expect(first.offers.length).toBeGreaterThan(2);
    expect(first.offers.length - first.abandons.length).toBeLessThanOrEqual(1);
    expect(entry.sides.flatMap(side => side.goDispatches)).toEqual([]);
    room = true;
    await entry.clock.runFor(10_000);
    expect(caller.text()).toBe('one two three');
  });

  // Two groups that rank the same three engines in opposite orders could
  // deadlock. Both reserve by address, so the second waits without holding any.
  it('reserves in a fixed order, so that two groups both complete', async () => {
    const taken = new Set<string>();
    const reservedAt: string[] = [];
    const sideWithRoomForOne = (at: number): SideScript => ({
      offer: () => {
        const side = entry.sides[at];
        if (taken.has(side.address)) return refused('full', 100);
        taken.add(side.address);
        reservedAt.push(side.address);
        return accepted(side);
      },
      abandon: () => {
        taken.delete(entry.sides[at].address);
        return 'started';
      },
      run: (side, run) => {
        if (offerOf(entry, run.dispatchId)?.group?.lead !== true) {
          run.send({kind: 'started'});
          return;
        }
        entry.clock.after(2_000, () => {
          taken.delete(side.address);
          sendThreeChunks(side, run);
        });
      },
    });
    const entry = await startEntry({
      sides: [
        sideWithRoomForOne(0),
        sideWithRoomForOne(1),
        sideWithRoomForOne(2),
      ],
    });
    const first = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(1);
    const reversed = entry.sides.map((side, at) =>
      side.replica({freeTokens: 300_000 + at}),
    );
    entry.setMembership(reversed);
    const second = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(60_000);
    expect(first.text()).toBe('one two three');
    expect(second.text()).toBe('one two three');
    expect(reservedAt).toEqual(['s1', 's2', 's3', 's1', 's2', 's3']);
  });

  // A member is lost while the lead runs. The lead cannot finish without its
  // memory, so the run is cancelled on all and reserved anew.
  it('is cancelled on all engines and run again when a member is lost', async () => {
    const script = groupSideScript(() => entry);
    const entry = await startEntry({sides: [script, script, script, script]});
    const caller = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(500);
    const member = entry.sides.find(
      side =>
        side.goDispatches.length > 0 && side.offers[0].group?.lead === false,
    );
    const before = heldDispatches(entry);
    entry.network.faults.down(member?.address ?? '');
    entry.setMembership(
      entry.sides.filter(side => side !== member).map(side => side.replica()),
    );
    await entry.clock.runFor(10_000);
    expect(caller.text()).toBe('one two three');
    const still = heldDispatches(entry).filter(id => before.includes(id));
    expect(still).toEqual([member?.offers[0].dispatchId]);
  });

  // The caller cancels at another entry, and a member reports it here first.
  // Treated as a lost member, the group would be run again.
  it('is not run again when the caller cancelled it at another entry', async () => {
    const script = groupSideScript(() => entry);
    const entry = await startEntry({sides: [script, script, script]});
    const caller = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(500);
    const member = entry.sides
      .flatMap(({runs}) => [...runs.values()])
      .find(run => offerOf(entry, run.dispatchId)?.group?.lead !== true);
    if (member === undefined) throw new Error('no member was started');
    member.send(failed(member.dispatchId, 'yes', 'cancelled'));
    await entry.clock.runFor(5_000);
    expect(caller.final()).toMatchObject({error: {code: 'cancelled'}});
    expect(entry.sides.flatMap(side => side.goDispatches)).toHaveLength(3);
  });

  it('fails at once when all engines together lack the memory', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    const caller = entry.submit(LONG_PROMPT);
    await entry.clock.runFor(50);
    expect(caller.final()).toMatchObject({
      error: {code: 'too-large', ran: 'no'},
    });
  });
});
