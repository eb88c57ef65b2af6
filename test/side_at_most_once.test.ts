/**
 * A dispatch that is reported as not run never runs, and none runs twice.
 */
import {expect, describe, test} from 'vitest';
import {createSideRig} from './support/side_rig.js';

describe('a late go', () => {
  test('does not start a run once its offer has lapsed', async () => {
    // The go is delayed past the lapse. The entry may already have tried
    // another side, so the run must not start here too.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    await rig.clock.runFor(1_500);
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(channel.last('failed')).toMatchObject({
      ran: 'no',
      code: 'tombstoned',
    });
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('does not start a run after the abandon was answered', async () => {
    // The entry gets no reply to its go, abandons the dispatch on another
    // connection and is told `never-started`. Then the go arrives.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(channel.last('failed')).toMatchObject({ran: 'no'});
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('does not start a run when the abandon came before the offer', async () => {
    // The messages of one dispatch arrive reordered: abandon, offer, go. The
    // offer is a copy of one that this side never answered.
    const rig = await createSideRig();
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'tombstoned'});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('without an offer is refused, and so is an offer that follows', async () => {
    const rig = await createSideRig();
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(10);
    expect(channel.last('failed')).toMatchObject({
      ran: 'no',
      code: 'tombstoned',
    });
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'tombstoned'});
  });

  test('for another incarnation is refused', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.go('r1.0', 60_000, 'i0');
    await rig.clock.runFor(100);
    expect(channel.last('failed')).toMatchObject({code: 'incarnation'});
  });
});

describe('a duplicate message', () => {
  test('that is an offer gets the same reply and is queued once', async () => {
    const rig = await createSideRig();
    const first = await rig.offer('r1.0');
    expect(await rig.offer('r1.0')).toEqual(first);
    expect((await rig.status()).runs).toHaveLength(1);
    const refused = await rig.offer('r2.0', {timeLeftMs: 1});
    await rig.clock.runFor(100);
    expect(await rig.offer('r2.0', {timeLeftMs: 1})).toEqual(refused);
  });

  test('that is a go neither starts the run again nor reports it as not run', async () => {
    // The copy arrives on a second connection while the run executes. A reply
    // of "not run" would let the entry run the request elsewhere.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const first = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(200);
    const second = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(first.last('end')).toBeDefined();
    expect(second.received).toEqual([]);
    expect(rig.starts('r1.0')).toBe(1);
  });

  test('does not start the run again after its answer was removed', async () => {
    // Copies of offer and go arrive after the answer's retention. The tombstone
    // still records that the dispatch ran.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(70_000);
    expect((await rig.status()).runs).toEqual([]);
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'tombstoned'});
    const lateGo = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(100);
    expect(lateGo.last('failed')).toMatchObject({ran: 'yes'});
    expect(rig.starts('r1.0')).toBe(1);
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'started'});
  });
});

describe('abandon', () => {
  test('of a started run is answered as started and frees the engine', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 1_000});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(500);
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'started'});
    await rig.clock.runFor(100);
    expect(rig.model.counts().usedTokens).toBe(0);
    expect((await rig.status()).reservedTokens).toBe(0);
  });

  test('of another incarnation is answered as unknown', async () => {
    const rig = await createSideRig();
    expect(await rig.abandon('r1.0', 'entry-1', 'i0')).toEqual({
      state: 'unknown',
      incarnation: 'i1',
    });
  });

  // The caller cancels at an entry that is not the owner. The owner is told
  // why, so that it does not run the request elsewhere.
  test('on behalf of the organisation ends a run that another entry owns', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 1_000});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(500);
    expect(await rig.abandon('r1.0', 'entry-2', '', 'stranger')).toMatchObject({
      state: 'unknown',
    });
    expect(channel.last('failed')).toBeUndefined();
    expect(await rig.abandon('r1.0', 'entry-2', '', 'org-a')).toMatchObject({
      state: 'started',
    });
    await rig.clock.runFor(100);
    expect(channel.last('failed')).toMatchObject({code: 'cancelled'});
    expect(rig.model.counts().usedTokens).toBe(0);
  });

  test('by an entry that no longer owns the run does not end it', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 200});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(500);
    const takenOver = rig.attach('r1.0', 0);
    await rig.clock.runFor(100);
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'started'});
    await rig.clock.runFor(10_000);
    expect(takenOver.last('end')).toBeDefined();
  });
});

describe('started', () => {
  test('is sent before the engine receives the run', async () => {
    // The side may crash right after the engine got the first byte. Without the
    // earlier frame, the entry could conclude that the run did not execute.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    while (channel.received.length === 0) await rig.clock.step();
    expect(channel.received[0]).toEqual({kind: 'started'});
    expect(rig.starts('r1.0')).toBe(0);
  });
});

describe('a restarted side', () => {
  test('refuses offers and goes that were sent to its predecessor', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    await rig.kill();
    await rig.restart('i2');
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'incarnation'});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(channel.last('failed')).toMatchObject({code: 'incarnation'});
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('has a new incarnation when only its service was restarted', async () => {
    // The service fails in a running process and loses its tombstones. Entries
    // must not take it for the incarnation that they know.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    rig.kernel().send('runs', {kind: 'offer'} as never);
    await rig.clock.runFor(200);
    expect((await rig.status()).incarnation).toBe('i1-1');
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'incarnation'});
  });
});

describe('a side at its limits', () => {
  test('refuses offers at the tombstone limit and keeps all tombstones', async () => {
    // Without the oldest tombstone, a late copy of its offer could run.
    const rig = await createSideRig({bounds: {maxTombstones: 2}});
    await rig.abandon('r1.0');
    await rig.abandon('r2.0');
    expect(await rig.abandon('r3.0')).toMatchObject({state: 'unknown'});
    expect(await rig.offer('r4.0')).toMatchObject({reason: 'queue-full'});
    await rig.clock.runFor(121_000);
    expect(await rig.offer('r5.0')).toMatchObject({kind: 'accepted'});
  });

  test('removes the oldest answers at the byte limit', async () => {
    const rig = await createSideRig({bounds: {retentionBytes: 300}});
    for (const id of ['r1.0', 'r2.0']) {
      await rig.offer(id);
      const channel = rig.goWithPrompt(id);
      await rig.clock.runFor(2_000);
      channel.close();
    }
    await rig.clock.runFor(2_000);
    const {runs} = await rig.status();
    expect(runs.map(run => run.dispatchId)).toEqual(['r2.0']);
    const lateAttach = rig.attach('r1.0', 0);
    await rig.clock.runFor(10);
    expect(lateAttach.last('failed')).toMatchObject({ran: 'yes'});
  });
});

describe('a late copy of an offer to an earlier incarnation', () => {
  // The run started before the restart. Its refused copy must not make the side
  // report "not run": a non-repeatable request would run a second time.
  test('does not make the run count as not run', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {repeatable: false});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(100);
    expect(rig.starts('r1.0')).toBe(1);
    await rig.kill();
    await rig.restart('i2');
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'incarnation'});
    const reattached = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(100);
    expect(reattached.last('failed')).not.toMatchObject({ran: 'no'});
  });
});
