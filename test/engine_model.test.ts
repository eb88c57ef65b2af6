// The model engine on virtual time: memory, order, answers, orders and faults.
import {describe, expect, test} from 'vitest';
import {createEngineModel} from '../standins/engine_model.js';
import type {EngineModelOptions} from '../standins/engine_model.js';
import {answerText} from '../standins/engine_runs.js';
import {createMemoryEngine, hashPrompt} from '../standins/memory_engine.js';
import type {EngineEvent, EngineOrder} from '../src/types/upstream.js';
import {collect, promptOf, runReq} from './support/engine_runs.js';
import {createSeededRandom} from './support/seeded_random.js';
import {createVirtualClock} from './support/virtual_clock.js';

function setUp(options: Partial<EngineModelOptions> = {}) {
  const clock = createVirtualClock();
  const model = createEngineModel({clock, ...options});
  const client = createMemoryEngine({model, clock});
  const start = (...args: Parameters<typeof runReq>) => {
    return collect(client.start(runReq(...args), promptOf(args[0])), () =>
      clock.now(),
    );
  };
  return {clock, model, client, start};
}

async function answerTo(prompt: string, tokens: number): Promise<string> {
  const hash = await hashPrompt(promptOf(prompt));
  return answerText(hash.slice(0, 8), tokens);
}

function orderOf(parts: Partial<EngineOrder>): EngineOrder {
  return {
    orderId: 'o',
    fence: 1,
    action: 'load',
    model: 'n',
    version: '1',
    adapter: '',
    role: '',
    ...parts,
  };
}

describe('memory', () => {
  // Callers come and go at random, some cancelled while they wait, prefill or
  // decode. What a cancel or an end forgets to give back would add up, until
  // the engine takes no run any more.
  test('returns to zero after random starts and cancels', async () => {
    const {clock, model, client} = setUp({figures: {memoryTokens: 60_000}});
    const random = createSeededRandom(7);
    for (let i = 0; i < 500; i++) {
      const runId = `r${i}`;
      const holdOnly = random.next() < 0.1;
      const promptTokens = Math.ceil(random.next() * 20_000);
      const priority = Math.floor(random.next() * 3);
      const req = runReq(runId, {promptTokens, priority, holdOnly});
      collect(client.start(req, promptOf(runId)));
      const victim = `r${i - Math.floor(random.next() * 40)}`;
      if (random.next() < 0.5) void client.cancel(victim);
      await clock.runFor(random.next() * 1_500);
      const {usedTokens, cacheTokens} = model.counts();
      expect(usedTokens + cacheTokens).toBeLessThanOrEqual(60_000);
    }
    for (const run of model.list()) {
      if (run.state !== 'done') void client.cancel(run.runId);
    }
    await clock.runFor(120_000);
    expect(model.counts()).toMatchObject({usedTokens: 0, running: 0});
    expect(model.counts().waiting).toBe(0);
    expect(model.list()).toEqual([]);
    expect(clock.pending()).toBe(0);
  });

  test('a run that does not fit waits, one that never can is refused', async () => {
    const {clock, model, start} = setUp({figures: {memoryTokens: 10_000}});
    start('first', {promptTokens: 6_000});
    const second = start('second', {promptTokens: 6_000});
    const never = start('never', {promptTokens: 11_000});
    await clock.runFor(100);
    expect(never.kinds).toEqual(['failed']);
    expect(model.counts()).toMatchObject({waiting: 1, running: 1});
    await clock.runFor(5_000);
    expect(second.ended).toBe(true);
    expect(model.counts().runsStarted).toEqual({first: 1, second: 1});
  });

  test('the prefix cache speeds up a like prompt and yields to runs', async () => {
    const {clock, model, start} = setUp({figures: {memoryTokens: 20_000}});
    const prefixHashes = Array.from({length: 30}, (_, i) => `h${i}`);
    start('a', {promptTokens: 8_000, prefixHashes});
    await clock.runFor(5_000);
    expect(model.counts().cacheTokens).toBe(30 * 256);
    const again = start('b', {promptTokens: 8_000, prefixHashes});
    await clock.runFor(5_000);
    const done = again.events.at(-1);
    expect(done).toMatchObject({kind: 'done', cachedTokens: 7_680});
    start('c', {promptTokens: 19_000});
    await clock.runFor(50);
    expect(model.counts().cacheTokens).toBeLessThanOrEqual(1_000);
    const events = model.cacheEvents(0);
    const last = events.at(-1)?.seq ?? 0;
    expect(events.length).toBeLessThan(last);
  });
});

describe('order of prefills', () => {
  test('a more urgent prompt overtakes a long one between steps', async () => {
    const {clock, start} = setUp();
    const long = start('long', {promptTokens: 200_000, priority: 5});
    await clock.runFor(1_000);
    const short = start('short', {promptTokens: 1_000, priority: 0});
    await clock.runFor(60_000);
    // One long step may be under way, then its own.
    expect(short.firstTokenAt).toBeLessThan(1_000 + 2 * 200);
    expect(long.firstTokenAt).toBeGreaterThan(12_000);
  });

  test('a raised priority counts from the next step', async () => {
    const {clock, client, start} = setUp();
    const one = start('one', {promptTokens: 50_000});
    const two = start('two', {promptTokens: 50_000});
    await clock.runFor(500);
    void client.setPriority('two', 0);
    await clock.runFor(60_000);
    expect(two.firstTokenAt).toBeLessThan(one.firstTokenAt);
  });

  test('a group of three prefills close to three times as fast', async () => {
    const {clock, start} = setUp({figures: {baseStepMs: 0}});
    const memoryTokens = 400_000;
    const req = {promptTokens: 1_000_000, memoryTokens, groupSize: 3};
    const group = start('group', req);
    await clock.runFor(200_000);
    expect(group.firstTokenAt).toBeGreaterThan(125_000 / 3.1);
    expect(group.firstTokenAt).toBeLessThan(125_000 / 2.9);
  });
});

describe('answers', () => {
  // A connection breaks in mid-answer, the caller takes the run up from the
  // next token on a new one. The two parts must be one whole answer, made by
  // one run: a second run would cost twice and might do its effect twice.
  test('a resumed run gives the same text and runs once', async () => {
    const {clock, model, client, start} = setUp();
    const before = start('r', {maxTokens: 100});
    await clock.runFor(1_000);
    client.cut();
    await clock.runFor(100);
    expect(before.err).toMatchObject({code: 'upstream-lost'});
    const after = collect(client.resume('r', before.tokens));
    await clock.runFor(10_000);
    expect(before.text + after.text).toBe(await answerTo('r', 100));
    expect(after.events.at(-1)).toMatchObject({kind: 'done', tokens: 100});
    const repeat = start('r', {maxTokens: 100});
    await clock.runFor(1_000);
    expect(repeat.text).toBe(before.text + after.text);
    expect(model.counts().runsStarted).toEqual({r: 1});
    await clock.runFor(60_000);
    const late = collect(client.resume('r', 0));
    await clock.runFor(100);
    expect(late.err).toMatchObject({code: 'not-found'});
  });

  // The middle of the network forgets the connection: no bytes, no error. The
  // client must not wait for ever, and a new connection must do.
  test('a silenced stream fails in time and is resumed', async () => {
    const {clock, client, start} = setUp();
    const before = start('r', {promptTokens: 100_000});
    await clock.runFor(1_000);
    client.silenceOpen();
    await clock.runFor(2_100);
    expect(before.err).toMatchObject({code: 'timeout', step: 'run'});
    const after = collect(client.resume('r', before.tokens));
    await clock.runFor(20_000);
    expect(before.text + after.text).toBe(await answerTo('r', 20));
  });

  test('a prompt that breaks off is not run and can be sent anew', async () => {
    const {clock, model, client, start} = setUp();
    async function* broken(): AsyncIterable<Uint8Array> {
      yield Buffer.from('half');
      throw new Error('caller left');
    }
    const half = collect(client.start(runReq('r'), broken()));
    await clock.runFor(100);
    expect(half.kinds).toEqual(['failed']);
    expect(model.counts().runsStarted).toEqual({});
    const whole = start('r');
    await clock.runFor(5_000);
    expect(whole.text).toBe(await answerTo('r', 20));
  });
});

describe('orders', () => {
  test('an old fencing number is refused by engines that honour it', async () => {
    for (const honoursFence of [true, false]) {
      const {clock, client, model} = setUp({honoursFence});
      const newer = client.order(orderOf({orderId: 'a', fence: 5}));
      const older = client.order(
        orderOf({orderId: 'b', fence: 4, action: 'unload', model: 'm'}),
      );
      await clock.runFor(10_000);
      expect((await newer).isRight()).toBe(true);
      const code = (await older).extract()?.code ?? 'done';
      expect(code).toBe(honoursFence ? 'stale' : 'done');
      const served = model.report().models.map(state => state.model);
      expect(served).toEqual(honoursFence ? ['m', 'n'] : ['n']);
    }
  });
});

describe('faults', () => {
  test('a dead engine drops all and comes back empty', async () => {
    const {clock, model, client, start} = setUp();
    const run = start('r', {maxTokens: 500});
    await clock.runFor(1_000);
    model.die();
    await clock.runFor(100);
    expect(run.err).toMatchObject({code: 'upstream-lost', ran: 'unknown'});
    const refused = start('q');
    await clock.runFor(100);
    expect(refused.err).toMatchObject({code: 'peer-unreachable', ran: 'no'});
    model.restart();
    const list = client.list();
    await clock.runFor(100);
    expect((await list).extract()).toEqual([]);
    expect(model.counts()).toMatchObject({usedTokens: 0, runsStarted: {r: 1}});
  });

  test('a frozen engine answers nothing and goes on after it', async () => {
    const {clock, model, client, start} = setUp();
    const run = start('r');
    await clock.runFor(50);
    model.freeze(true);
    const cancel = client.cancel('other');
    await clock.runFor(3_000);
    expect(run.err).toMatchObject({code: 'timeout'});
    expect((await cancel).isLeft()).toBe(true);
    model.freeze(false);
    const after = collect(client.resume('r', 0));
    await clock.runFor(5_000);
    expect(after.text).toBe(await answerTo('r', 20));
  });

  // A whole prompt lies in the frozen engine's socket when the client gives
  // up. On waking the engine reads it and runs it, with nobody listening: a
  // client that took the silence for "not run" would have it run twice.
  test('a start given up during a freeze runs on waking', async () => {
    const {clock, model, start} = setUp();
    model.freeze(true);
    const run = start('r');
    await clock.runFor(2_000);
    expect(run.err).toMatchObject({code: 'timeout', ran: 'unknown'});
    model.freeze(false);
    await clock.runFor(2_000);
    expect(model.counts().runsStarted).toEqual({r: 1});
  });

  test('the load report lags and an idle engine sets no timer', async () => {
    const {clock, model, start} = setUp({figures: {reportLagMs: 2_000}});
    start('r', {promptTokens: 4_000, maxTokens: 2_000});
    await clock.runFor(1_900);
    expect(model.report().usedTokens).toBe(0);
    await clock.runFor(500);
    expect(model.report()).toMatchObject({usedTokens: 6_000, ageMs: 2_000});
    await clock.runFor(60_000);
    expect(model.report().usedTokens).toBe(0);
    expect(clock.pending()).toBe(0);
  });
});

test('a run tells its prefill, each token by index, and its end', async () => {
  const {clock, start} = setUp();
  const run = start('r', {promptTokens: 3_000, maxTokens: 3});
  await clock.runFor(2_000);
  const shown = run.events.map((event: EngineEvent) => {
    if (event.kind !== 'tokens') return event;
    return {...event, data: Buffer.from(event.data).toString()};
  });
  expect(shown).toMatchInlineSnapshot(`
    [
      {
        "doneTokens": 2048,
        "kind": "prefill",
      },
      {
        "doneTokens": 3000,
        "kind": "prefill",
      },
      {
        "count": 1,
        "data": "41ccf652:0 ",
        "index": 0,
        "kind": "tokens",
      },
      {
        "count": 1,
        "data": "41ccf652:1 ",
        "index": 1,
        "kind": "tokens",
      },
      {
        "count": 1,
        "data": "41ccf652:2 ",
        "index": 2,
        "kind": "tokens",
      },
      {
        "cachedTokens": 0,
        "finishReason": "length",
        "kind": "done",
        "tokens": 3,
      },
    ]
  `);
});
