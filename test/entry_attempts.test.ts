/**
 * When another side may be tried, and what is reported of whether a request
 * ran.
 */
import {describe, expect, it} from 'vitest';
import type {RoutingPolicy} from '../src/policy/routing.js';
import type {Caller, EntryFixture} from './support/entry_fixture.js';
import {startEntry} from './support/entry_fixture.js';
import {
  accepted,
  chunkOf,
  endOf,
  failed,
  refused,
} from './support/scripted_side.js';
import type {SideScript} from './support/scripted_side.js';

/** Accepts the go and sends nothing. */
const silentSide: SideScript = {run: () => undefined};

/** Sends one chunk, then becomes unreachable. */
function sideFailingAfterOneChunk(entry: () => EntryFixture): SideScript {
  return {
    run: (side, run) => {
      run.send(chunkOf(run, 0, 'uno '));
      entry().clock.after(10, () => takeDown(entry(), side.address));
    },
  };
}

function goDispatchesOf(entry: EntryFixture): string[] {
  return entry.sides.flatMap(side => side.goDispatches);
}

function errorOf(caller: Caller) {
  const final = caller.final();
  return final?.kind === 'failed' ? final.error : undefined;
}

describe('offers', () => {
  it('go to the next candidate when one refuses', async () => {
    const entry = await startEntry({
      sides: [{offer: () => refused('full', 500)}, {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit();
    await entry.clock.runFor(100);
    expect(caller.text()).toBe('one two three');
    expect(entry.sides.map(side => side.offers.length)).toEqual([1, 1]);
  });

  it('go to the new incarnation that a refusal names', async () => {
    const entry = await startEntry({sides: [{}]});
    entry.sides[0].incarnation = 'inc-new';
    const caller = entry.submit();
    await entry.clock.runFor(100);
    expect(caller.final()).toMatchObject({kind: 'end'});
  });

  // Every side refuses at once. The caller must get the earliest retry time
  // named by a side now, not wait for its deadline of 30 s.
  it('end the request at once when all sides refuse', async () => {
    const entry = await startEntry({
      sides: [
        {offer: () => refused('full', 4_000)},
        {offer: () => refused('queue-full', 2_500)},
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(50);
    expect(errorOf(caller)).toMatchObject({
      code: 'overloaded',
      ran: 'no',
      retryAfterMs: 2_500,
    });
    expect(entry.heldLimits()).toBe(0);
  });

  it('report an unreachable deadline when refused as too late', async () => {
    const entry = await startEntry({
      sides: [{offer: () => refused('too-late', 9_000)}],
    });
    const caller = entry.submit();
    await entry.clock.runFor(50);
    expect(errorOf(caller)).toMatchObject({
      code: 'deadline-unreachable',
      ran: 'no',
      retryAfterMs: 9_000,
    });
  });

  it('name no retry time when the refusal is permanent', async () => {
    const entry = await startEntry({sides: [{offer: () => refused('full')}]});
    const caller = entry.submit();
    await entry.clock.runFor(50);
    expect(errorOf(caller)?.code).toBe('overloaded');
    expect(errorOf(caller)?.retryAfterMs).toBeUndefined();
  });

  // The first side accepts but its answer is lost. No go was sent, so another
  // side may run it; the first must release the reservation.
  it('are tombstoned and made elsewhere when no answer comes', async () => {
    const entry = await startEntry({
      sides: [{offer: () => new Promise(() => undefined)}, {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit({repeatable: false});
    await entry.clock.runFor(2_000);
    expect(caller.final()).toMatchObject({kind: 'end'});
    expect(entry.sides[0].abandons).toHaveLength(1);
    expect(entry.sides[0].goDispatches).toEqual([]);
  });
});

describe('a request that may not be repeated', () => {
  // The side freezes after the go, so the request may have run or may run
  // later. The caller gets `unknown`; a second run could repeat its work.
  it('is not run elsewhere when its side falls silent', async () => {
    const entry = await startEntry({sides: [silentSide, {}]});
    const caller = entry.submit({repeatable: false});
    await entry.clock.runFor(50);
    entry.freezeSide(
      entry.sides.findIndex(({goDispatches: gos}) => gos.length > 0),
    );
    await entry.clock.runFor(29_000);
    expect(errorOf(caller)).toMatchObject({
      code: 'upstream-lost',
      ran: 'unknown',
    });
    expect(goDispatchesOf(entry)).toHaveLength(1);
    expect(entry.violations).toEqual([]);
  });

  // The connection breaks and the side then answers that the run never started
  // and never will, so another side may run it.
  it('is run elsewhere when its side proves that it never started', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => run.channel?.close(),
          attach: (_side, run) => run.channel?.close(),
          abandon: () => 'never-started',
        },
        {},
      ],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit({repeatable: false});
    await entry.clock.runFor(5_000);
    expect(caller.final()).toMatchObject({kind: 'end'});
    expect(goDispatchesOf(entry)).toHaveLength(2);
    expect(entry.violations).toEqual([]);
  });

  it('fails as run when its side reports that it ran', async () => {
    const entry = await startEntry({
      sides: [
        {run: (_side, run) => run.send(failed(run.dispatchId, 'yes'))},
        {},
      ],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit({repeatable: false});
    await entry.clock.runFor(1_000);
    expect(errorOf(caller)).toMatchObject({ran: 'yes'});
    expect(goDispatchesOf(entry)).toHaveLength(1);
  });
});

describe('a request that may be repeated', () => {
  it('is run elsewhere when its side fails before the first chunk', async () => {
    const entry = await startEntry({
      sides: [{run: side => takeDown(entry, side.address)}, {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit();
    await entry.clock.runFor(5_000);
    expect(caller.text()).toBe('one two three');
  });

  // The caller has the first chunk when the side fails. A second run may word
  // its answer differently, so the two must not be joined.
  it('is not run again once the caller has a chunk', async () => {
    const entry = await startEntry({
      sides: [sideFailingAfterOneChunk(() => entry), {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit();
    await entry.clock.runFor(20_000);
    expect(caller.text()).toBe('uno ');
    expect(errorOf(caller)).toMatchObject({code: 'upstream-lost', ran: 'yes'});
    expect(goDispatchesOf(entry)).toHaveLength(1);
  });

  // The caller waits for the complete answer when the side fails after a chunk.
  // The chunk is discarded, and only the second run's answer is sent.
  it('is run again after a chunk that no caller has seen', async () => {
    const entry = await startEntry({
      sides: [sideFailingAfterOneChunk(() => entry), {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit({streamed: false});
    await entry.clock.runFor(20_000);
    expect(caller.text()).toBe('one two three');
    expect(caller.final()).toMatchObject({kind: 'end', count: 3, tokens: 3});
    expect(goDispatchesOf(entry)).toHaveLength(2);
    expect(entry.violations).toEqual([]);
  });

  // A second connection of the same caller streams the answer and has its first
  // chunk, so the run must not be replaced.
  it('is not run again once a second connection has a chunk', async () => {
    const entry = await startEntry({
      sides: [sideFailingAfterOneChunk(() => entry), {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit({id: 'q-shown', streamed: false});
    const second = entry.caller();
    entry.clock.after(5, () =>
      entry.kernel.send('requests', {
        kind: 'resume',
        id: 'q-shown',
        organisation: 'prairie-sky',
        fromSeq: 0,
        sideHint: '',
        listener: second.listener,
      }),
    );
    await entry.clock.runFor(20_000);
    expect(second.text()).toBe('uno ');
    expect(errorOf(caller)).toMatchObject({code: 'upstream-lost', ran: 'yes'});
    expect(goDispatchesOf(entry)).toHaveLength(1);
  });

  // Guards against the code of a refusal, which says that nothing ran, for a
  // request that may have run.
  it.each([
    ['too-late', 0, 1_000],
    ['full', 2_500, 2_500],
  ] as const)(
    'fails as its lost run when another side refuses it as %s',
    async (reason, namedMs, retryAfterMs) => {
      const entry = await startEntry({
        sides: [
          {run: side => takeDown(entry, side.address)},
          {offer: () => refused(reason, namedMs)},
        ],
        requests: {routingPolicy: () => inOrder},
      });
      const caller = entry.submit();
      await entry.clock.runFor(20_000);
      expect(entry.sides[1].offers).toHaveLength(1);
      expect(errorOf(caller)).toMatchObject({
        code: 'upstream-lost',
        ran: 'unknown',
        retryAfterMs,
      });
    },
  );

  // Guards against a failure of the run for a request that did not run.
  it('fails as refused when its first run never started', async () => {
    const entry = await startEntry({
      sides: [
        {run: (_side, run) => run.send(failed(run.dispatchId, 'no'))},
        {offer: () => refused('full', 2_500)},
      ],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit();
    await entry.clock.runFor(20_000);
    expect(errorOf(caller)).toMatchObject({
      code: 'overloaded',
      ran: 'no',
      retryAfterMs: 2_500,
    });
  });

  // Every run fails on every side. Without a budget each request would run
  // three times, and the extra load would overload the remaining sides.
  it('is retried within a budget for all requests', async () => {
    const broken: SideScript = {
      run: (_side, run) => run.send(failed(run.dispatchId, 'yes')),
    };
    const entry = await startEntry({sides: [broken, broken, broken]});
    for (let count = 0; count < 100; count++) entry.submit();
    await entry.clock.runFor(10_000);
    const retries = goDispatchesOf(entry).length - 100;
    expect(retries).toBeGreaterThan(0);
    expect(retries).toBeLessThanOrEqual(10 + 0.2 * 100);
    expect(entry.heldLimits()).toBe(0);
  });
});

describe('time limits', () => {
  // The side sends heartbeats but never answers. The caller must be told at its
  // deadline, and the run cancelled to release its memory.
  it('end a request at its deadline and cancel its run', async () => {
    const entry = await startEntry({sides: [silentSide]});
    const deadlineAt = entry.clock.now() + 5_000;
    const caller = entry.submit({deadlineAt});
    await entry.clock.runFor(10_000);
    expect(errorOf(caller)?.code).toBe('deadline-exceeded');
    expect(caller.endedAt()).toBe(deadlineAt);
    expect(entry.sides[0].cancels).toHaveLength(1);
    expect(entry.sides[0].abandons).toHaveLength(1);
    expect(entry.heldLimits()).toBe(0);
  });

  it('withdraw an offer that is accepted after the deadline', async () => {
    const entry = await startEntry({
      sides: [
        {
          offer: () =>
            new Promise(resolve =>
              entry.clock.after(300, () => resolve(accepted(entry.sides[0]))),
            ),
        },
      ],
    });
    const caller = entry.submit({deadlineAt: entry.clock.now() + 200});
    await entry.clock.runFor(2_000);
    expect(errorOf(caller)).toMatchObject({
      code: 'deadline-exceeded',
      ran: 'no',
    });
    expect(goDispatchesOf(entry)).toEqual([]);
    expect(entry.sides[0].abandons.length).toBeGreaterThan(0);
  });
});

describe('ownership', () => {
  it('of each dispatch is reported to the membership and withdrawn', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => {
            run.chunks.push(chunkOf(run, 0, 'one'));
            run.send(run.chunks[0]);
            run.send(endOf(run));
          },
        },
      ],
    });
    entry.submit();
    await entry.clock.runFor(100);
    const kinds = entry.toMembership.map(message => message.kind);
    expect(kinds).toEqual(['own', 'disown']);
  });
});

/** Keeps the candidates in the order in which the membership lists them. */
const inOrder: RoutingPolicy = input =>
  input.targets.map(target => ({
    target,
    predictedFirstTokenMs: 0,
    cachedTokens: 0,
    reason: 'in order',
  }));

function takeDown(entry: EntryFixture, address: string): void {
  entry.network.faults.down(address);
}
