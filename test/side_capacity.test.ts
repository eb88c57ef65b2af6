/** The side releases an upstream's memory and slots after any failure. */
import {Left, Right} from 'purify-ts';
import {expect, describe, test} from 'vitest';
import {OnyxError} from '../src/types/errors.js';
import type {EngineEvent} from '../src/types/upstream.js';
import {pushStream} from '../src/upstream/push_stream.js';
import {SIDE_EVENTS} from '../src/utils/events.js';
import {createSideRig} from './support/side_rig.js';

const HUNDRED_K = {promptTokens: 100_000, timeLeftMs: 600_000};

describe('a run whose owner is silent', () => {
  test('is cancelled after the hold time and its memory is freed', async () => {
    // The entry crashes without notice. Without the lease, the engine would
    // hold the memory until the run's time limit.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 4_000, timeLeftMs: 600_000});
    const channel = rig.goWithPrompt('r1.0', 600_000);
    await rig.clock.runFor(1_000);
    channel.silence();
    await rig.clock.runFor(9_000);
    expect(await rig.stateOf('r1.0')).toBe('running');
    await rig.clock.runFor(8_000);
    expect(await rig.stateOf('r1.0')).toBe('cancelled');
    expect(rig.model.counts().usedTokens).toBe(0);
    expect((await rig.status()).reservedTokens).toBe(0);
  });

  test('continues while heartbeats list it', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 1_500, timeLeftMs: 600_000});
    const silent = rig.goWithPrompt('r1.0', 600_000);
    await rig.clock.runFor(100);
    silent.silence();
    for (let i = 0; i < 40; i++) {
      await rig.clock.runFor(1_000);
      await rig.heartbeat(['r1.0']);
    }
    expect(await rig.stateOf('r1.0')).toBe('ended');
  });

  test('is not cancelled after a freeze of the side itself', async () => {
    // The side is frozen for a minute and receives nothing meanwhile. The owner
    // is healthy and keeps sending heartbeats.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 3_000, timeLeftMs: 600_000});
    await rig.offer('r2.0', {maxTokens: 3_000, timeLeftMs: 600_000});
    const channel = rig.goWithPrompt('r1.0', 600_000);
    const broken = rig.goWithPrompt('r2.0', 600_000);
    await rig.clock.runFor(1_000);
    broken.close();
    await rig.clock.runFor(1_000);
    rig.clock.advance(60_000);
    await rig.clock.runFor(1_500);
    await rig.heartbeat(['r2.0']);
    await rig.clock.runFor(8_000);
    expect(await rig.stateOf('r2.0')).toBe('running');
    expect(rig.eventsOf(SIDE_EVENTS.sideFrozen)).toHaveLength(1);
    expect(channel.isClosed()).toBe(false);
    expect(await rig.stateOf('r1.0')).toBe('running');
  });
});

describe('an engine with runs that nobody owns', () => {
  test('is freed by a new incarnation before it accepts offers', async () => {
    // The side is killed in the middle of a run, which continues at the engine.
    // The next incarnation finds the run in the list and cancels it.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 4_000, timeLeftMs: 600_000});
    rig.goWithPrompt('r1.0', 600_000);
    await rig.clock.runFor(1_000);
    await rig.kill();
    expect(rig.model.counts().usedTokens).toBeGreaterThan(0);
    const restarted = rig.restart('i2');
    await rig.clock.runFor(1);
    await restarted;
    await rig.clock.runFor(1_500);
    expect(rig.model.counts().usedTokens).toBe(0);
    const {kind} = await rig.offer('r2.0', {incarnation: 'i2'});
    expect(kind).toBe('accepted');
  });

  test('gets no offers until its list of runs was read', async () => {
    const unread = new OnyxError({code: 'timeout', step: 'run', message: ''});
    const rig = await createSideRig({
      wrapEngine: engine => ({
        ...engine,
        list: () => Promise.resolve(Left(unread)),
      }),
    });
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'engine-down'});
  });

  test('is freed by the audit', async () => {
    // The previous incarnation was frozen while it was replaced. It resumes and
    // starts one more run before it is killed.
    const rig = await createSideRig();
    const orphan = rig.engine.start(
      {
        runId: 'z1.0',
        model: 'm',
        adapter: '',
        priority: 0,
        promptTokens: 1_000,
        maxTokens: 50_000,
        memoryTokens: 51_000,
        groupSize: 1,
        holdOnly: false,
        prefixHashes: [],
      },
      (async function* () {
        yield Buffer.from('p');
      })(),
    );
    void orphan.drain().catch(() => undefined);
    await rig.clock.runFor(1_000);
    expect(rig.model.counts().usedTokens).toBe(51_000);
    await rig.clock.runFor(6_000);
    expect(rig.model.counts().usedTokens).toBe(0);
  });

  test('gets another cancel when the first one was not answered', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 4_000, timeLeftMs: 600_000});
    rig.goWithPrompt('r1.0', 600_000);
    await rig.clock.runFor(1_000);
    rig.engine.setSilent(true);
    await rig.abandon('r1.0');
    await rig.clock.runFor(4_000);
    expect((await rig.status()).reservedTokens).toBe(5_000);
    rig.engine.setSilent(false);
    await rig.clock.runFor(10_000);
    expect((await rig.status()).reservedTokens).toBe(0);
    expect(rig.model.counts().usedTokens).toBe(0);
  });

  test('is detected when it lost a run but keeps its stream open', async () => {
    // The engine keeps sending heartbeats on the stream of the lost run, so
    // only its list of runs reveals the loss.
    const beats = pushStream<EngineEvent>(push => {
      return rig.clock.every(500, () => push.event({kind: 'beat'}));
    });
    const rig = await createSideRig({
      wrapEngine: engine => ({...engine, start: () => beats}),
    });
    await rig.offer('r1.0');
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(20_000);
    expect(channel.last('failed')).toMatchObject({
      code: 'upstream-lost',
      ran: 'unknown',
    });
    expect((await rig.status()).reservedTokens).toBe(0);
  });
});

describe('a time limit', () => {
  test('ends a run at once and frees the engine', async () => {
    const rig = await createSideRig({priors: {stepMs: 1}});
    await rig.offer('r1.0', {maxTokens: 1_000, timeLeftMs: 2_000});
    const channel = rig.goWithPrompt('r1.0', 2_000);
    await rig.clock.runFor(2_010);
    expect(channel.last('failed')).toMatchObject({
      code: 'deadline-exceeded',
      ran: 'yes',
    });
    expect(rig.model.counts().usedTokens).toBe(0);
  });

  test('ends a run in the queue as not run', async () => {
    const rig = await createSideRig({
      bounds: {maxRunning: 1},
      priors: {stepMs: 1},
    });
    await rig.offer('r1.0', {maxTokens: 1_000});
    rig.goWithPrompt('r1.0');
    await rig.clock.runFor(10);
    await rig.offer('r2.0', {timeLeftMs: 3_000});
    const channel = rig.goWithPrompt('r2.0', 3_000);
    await rig.clock.runFor(3_010);
    expect(channel.last('failed')).toMatchObject({
      code: 'deadline-exceeded',
      ran: 'no',
    });
    expect(rig.starts('r2.0')).toBe(0);
  });
});

describe('an offer', () => {
  test('is refused with a reason and a retry delay', async () => {
    const rig = await createSideRig({bounds: {maxQueued: 2, maxRunning: 1}});
    const offer = (id: string, over: Parameters<typeof rig.offer>[1]) =>
      rig.offer(id, over);
    expect(await offer('a.0', {model: 'other'})).toMatchObject({
      reason: 'no-model',
    });
    expect(await offer('b.0', {promptTokens: 500_000})).toMatchObject({
      reason: 'full',
      retryAfterMs: 0,
    });
    expect(await offer('c.0', {...HUNDRED_K, timeLeftMs: 1_000})).toMatchObject(
      {reason: 'too-late', retryAfterMs: 0},
    );
    await rig.offer('d.0', HUNDRED_K);
    rig.goWithPrompt('d.0', 600_000);
    await rig.clock.runFor(10);
    const late = await offer('e.0', {priority: 9, timeLeftMs: 3_000});
    expect(late).toMatchObject({reason: 'too-late'});
    expect(late.kind === 'refused' && late.retryAfterMs).toBeGreaterThan(1_000);
    await rig.offer('f.0');
    await rig.offer('g.0');
    const full = await offer('h.0', {});
    expect(full).toMatchObject({reason: 'queue-full'});
    expect(full.kind === 'refused' && full.retryAfterMs).toBeGreaterThan(1_000);
    expect(rig.metrics.total('onyxloft_side_refusals_total')).toBe(5);
  });

  test('is refused while the engine sends no report', async () => {
    const rig = await createSideRig();
    rig.model.die();
    await rig.clock.runFor(7_000);
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'engine-down'});
    rig.model.restart();
    await rig.clock.runFor(2_000);
    expect(await rig.offer('r2.0')).toMatchObject({kind: 'accepted'});
  });
});

describe('a group', () => {
  const member = (lead: boolean, holdTokens: number) => ({
    ...HUNDRED_K,
    promptTokens: 700_000,
    group: {lead, size: 2, holdTokens},
  });

  test('holds memory at a member until it is abandoned', async () => {
    const rig = await createSideRig();
    await rig.offer('g1.0', member(false, 300_000));
    const second = await rig.offer('g2.0', member(false, 300_000));
    expect(second).toMatchObject({reason: 'full'});
    const channel = rig.go('g1.0', 600_000);
    await rig.clock.runFor(1_000);
    expect(channel.last('started')).toBeDefined();
    expect(rig.model.counts().usedTokens).toBe(300_000);
    await rig.abandon('g1.0');
    await rig.clock.runFor(100);
    expect(rig.model.counts().usedTokens).toBe(0);
    expect((await rig.status()).reservedTokens).toBe(0);
  });

  test('releases the memory when no go arrives', async () => {
    const rig = await createSideRig();
    await rig.offer('g1.0', member(false, 300_000));
    expect((await rig.status()).reservedTokens).toBe(300_000);
    await rig.clock.runFor(1_100);
    expect((await rig.status()).reservedTokens).toBe(0);
  });

  test('runs the prompt at its lead', async () => {
    const rig = await createSideRig();
    await rig.offer('g1.0', member(true, 360_000));
    const channel = rig.goWithPrompt('g1.0', 600_000);
    await rig.clock.runFor(120_000);
    expect(channel.last('end')).toBeDefined();
    expect((await rig.status()).reservedTokens).toBe(0);
  });
});

describe('drain', () => {
  test('refuses offers, finishes accepted runs, then replies', async () => {
    // An offer was accepted just before the drain, and its go is in transit.
    // The accepted run must not be lost.
    const rig = await createSideRig();
    await rig.offer('r1.0', {maxTokens: 100});
    let drained = false;
    void rig.drain().then(() => (drained = true));
    await rig.clock.settle();
    expect(await rig.offer('r2.0')).toMatchObject({reason: 'leaving'});
    const channel = rig.goWithPrompt('r1.0');
    await rig.clock.runFor(1_500);
    expect(drained).toBe(false);
    expect((await rig.heartbeat(['r1.0'])).leaving).toBe(true);
    await rig.clock.runFor(2_000);
    expect(channel.last('end')).toBeDefined();
    expect(drained).toBe(false);
    channel.close();
    await rig.clock.runFor(10);
    expect(drained).toBe(true);
  });
});

describe('orders', () => {
  const load = (orderId: string, fence: number) => ({
    orderId,
    fence,
    action: 'load' as const,
    model: 'm2',
    version: '1',
    adapter: '',
    role: 'mixed' as const,
  });

  test('of an older placer are not forwarded to an engine that ignores fences', async () => {
    // A placer was paused past its lease and resumes. The new placer's number
    // came with a heartbeat; the engine would accept orders of both.
    const rig = await createSideRig({model: {honoursFence: false}});
    await rig.heartbeat([], 7);
    const old = await rig.order(load('o1', 6));
    expect(old).toMatchObject({state: 'refused', reason: 'stale-fence'});
    const first = await rig.order(load('o2', 7));
    expect(first).toMatchObject({state: 'started', fence: 7});
    expect(await rig.order(load('o2', 7))).toEqual(first);
    await rig.clock.runFor(6_000);
    const {models} = await rig.heartbeat([]);
    expect(models.filter(state => state.model === 'm2')).toHaveLength(1);
  });

  test('that waited are checked again with the highest number seen', async () => {
    const rig = await createSideRig();
    const first = rig.handlers().order?.(load('o1', 7));
    const second = rig.handlers().order?.({...load('o2', 7), model: 'm3'});
    await rig.heartbeat([], 8);
    await rig.clock.runFor(10);
    expect(await first).toMatchObject({state: 'started'});
    expect(await second).toMatchObject({reason: 'stale-fence', fence: 8});
  });

  test('are accepted only after the lease was read since the start', async () => {
    let up = false;
    const down = new OnyxError({
      code: 'store-unavailable',
      step: 'store',
      message: 'out',
    });
    const rig = await createSideRig({
      readFence: () => Promise.resolve(up ? Right(9) : Left(down)),
    });
    expect(await rig.order(load('o1', 8))).toMatchObject({
      reason: 'fence-unknown',
    });
    up = true;
    await rig.clock.runFor(2_100);
    expect(await rig.order(load('o1', 8))).toMatchObject({
      reason: 'stale-fence',
      fence: 9,
    });
  });

  test('do not unload a model with runs on it', async () => {
    const rig = await createSideRig();
    await rig.offer('r1.0');
    const order = {...load('o1', 1), model: 'm', action: 'unload' as const};
    expect(await rig.order(order)).toMatchObject({
      state: 'refused',
      reason: 'in-use',
    });
  });
});
