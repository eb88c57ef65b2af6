/** "Not run" truly did not run, and no dispatch runs twice at a side. */
import {expect, describe, test} from 'vitest';
import {createSideRig} from './support/side_rig.js';

describe('a go that comes late', () => {
  test('does not run once its offer has lapsed', async () => {
    // The entry's go is held up past the lapse; the entry has long been told
    // by the lapse that it may try elsewhere. When the go comes it must not
    // run here too.
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

  test('does not run after the abandon was answered', async () => {
    // The entry sends its go and hears nothing, abandons on another connection
    // and is told "never started". Then the go arrives.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(channel.last('failed')).toMatchObject({ran: 'no'});
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('does not run when its abandon came before its offer', async () => {
    // All messages of one dispatch are reordered: abandon, offer, go. The
    // offer is a copy of one that this side never answered.
    const rig = await createSideRig();
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'never-started'});
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'tombstoned'});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(5_000);
    expect(rig.starts('r1.0')).toBe(0);
  });

  test('without any offer is refused, and its offer after it', async () => {
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

describe('a message that comes twice', () => {
  test('as an offer gets the same answer and one place', async () => {
    const rig = await createSideRig();
    const first = await rig.offer('r1.0');
    expect(await rig.offer('r1.0')).toEqual(first);
    expect((await rig.status()).runs).toHaveLength(1);
    const refused = await rig.offer('r2.0', {timeLeftMs: 1});
    await rig.clock.runFor(100);
    expect(await rig.offer('r2.0', {timeLeftMs: 1})).toEqual(refused);
  });

  test('as a go does not start the run again nor claim it did not run', async () => {
    // A copy of the go comes on a second connection while the first runs. To
    // answer it "not run" would let the entry run the request elsewhere.
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

  test('does not run again after the answer is forgotten', async () => {
    // Offer and go are copied and delayed by more than the time for which the
    // answer is kept; the id is still remembered as one that ran.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(70_000);
    expect((await rig.status()).runs).toEqual([]);
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'tombstoned'});
    const late = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(100);
    expect(late.last('failed')).toMatchObject({ran: 'yes'});
    expect(rig.starts('r1.0')).toBe(1);
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'started'});
  });
});

describe('abandon', () => {
  test('of a started run says so and frees the engine', async () => {
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

  // The caller asks another entry than the owner for the end. The run ends, and
  // the owner's channel is told why, so that it does not run it elsewhere.
  test('in the name of its organisation ends a run that another entry owns', async () => {
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

  test('by an entry that lost the run to another ends nothing', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 200});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(500);
    const taken = rig.attach('r1.0', 0);
    await rig.clock.runFor(100);
    expect(await rig.abandon('r1.0')).toMatchObject({state: 'started'});
    await rig.clock.runFor(10_000);
    expect(taken.last('end')).toBeDefined();
  });
});

describe('started', () => {
  test('is told before the engine hears of the run', async () => {
    // The engine gets the first byte and the side dies. If the entry had not
    // been told before, "not run" could be concluded from the silence.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    while (channel.received.length === 0) await rig.clock.step();
    expect(channel.received[0]).toEqual({kind: 'started'});
    expect(rig.starts('r1.0')).toBe(0);
  });
});

describe('a side that was started again', () => {
  test('takes no offer or go made to the one before', async () => {
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

  test('by its kernel is another incarnation too', async () => {
    // The service fails inside a living process and has forgotten its
    // tombstones: to entries it must not look like the one they know.
    const rig = await createSideRig();
    await rig.offer('r1.0');
    rig.kernel().send('runs', {kind: 'offer'} as never);
    await rig.clock.runFor(200);
    expect((await rig.status()).incarnation).toBe('i1-1');
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'incarnation'});
  });
});

describe('what is remembered', () => {
  test('is bounded by taking no offers, not by forgetting an id', async () => {
    // To forget the oldest id at the bound would let its late copy run.
    const rig = await createSideRig({bounds: {maxTombstones: 2}});
    await rig.abandon('r1.0');
    await rig.abandon('r2.0');
    expect(await rig.abandon('r3.0')).toMatchObject({state: 'unknown'});
    expect(await rig.offer('r4.0')).toMatchObject({reason: 'queue-full'});
    await rig.clock.runFor(121_000);
    expect(await rig.offer('r5.0')).toMatchObject({kind: 'accepted'});
  });

  test('of answers is bounded by bytes, the oldest first', async () => {
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
    const late = rig.attach('r1.0', 0);
    await rig.clock.runFor(10);
    expect(late.last('failed')).toMatchObject({ran: 'yes'});
  });
});

describe('a copy of an offer to an earlier incarnation', () => {
  // The run started before its side was restarted. Then a late copy of its
  // offer comes and is refused, and the entry comes back for its run. It must
  // not hear "not run": what may not be repeated would run a second time.
  test('says nothing of the run that started there', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {repeatable: false});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(100);
    expect(rig.starts('r1.0')).toBe(1);
    await rig.kill();
    await rig.restart('i2');
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'incarnation'});
    const back = rig.attach('r1.0', 0, 'entry-1');
    await rig.clock.runFor(100);
    expect(back.last('failed')).not.toMatchObject({ran: 'no'});
  });
});
