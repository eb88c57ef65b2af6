/** When another side may be tried, and what is said of whether it ran. */
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

/** Takes the go and says nothing more. */
const silentSide: SideScript = {run: () => undefined};

/** Sends one chunk, then goes down. */
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

  // The caller has 30 s, and every side refuses within milliseconds. It must
  // hear so now, with the earliest time that a side named, and not be held
  // until its deadline.
  it('refused by all end the request at once', async () => {
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

  it('refused as too late say that the deadline cannot be met', async () => {
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

  it('that can never be met name no time to come back', async () => {
    const entry = await startEntry({sides: [{offer: () => refused('full')}]});
    const caller = entry.submit();
    await entry.clock.runFor(50);
    expect(errorOf(caller)?.code).toBe('overloaded');
    expect(errorOf(caller)?.retryAfterMs).toBeUndefined();
  });

  // The first side takes the offer and its answer is lost. No go was sent, so
  // the other side may have the work; the first is told to forget the id, or
  // it would hold memory for it.
  it('without an answer are tombstoned and made elsewhere', async () => {
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
  // The go went out, then the side froze: it may have run, or may run on
  // waking. The caller is told 'unknown'; a second run could do twice what
  // must be done once.
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

  // The side's connection broke, and asked anew the side says that it never
  // started and never will. That is evidence, so another may run it.
  it('is run elsewhere on the evidence that it never started', async () => {
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

  it('fails as run when its side says that it ran', async () => {
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
  it('is run elsewhere when its side goes before the first chunk', async () => {
    const entry = await startEntry({
      sides: [{run: side => takeDown(entry, side.address)}, {}],
      requests: {routingPolicy: () => inOrder},
    });
    const caller = entry.submit();
    await entry.clock.runFor(5_000);
    expect(caller.text()).toBe('one two three');
  });

  // The caller has the first words of one run when its side dies. A second run
  // may word its answer differently: the two together are no run's answer.
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

  // The caller waits for the whole answer and has seen nothing of it when the
  // side dies after the first chunk. The chunk is given up, and the answer that
  // the caller gets is the second run's alone.
  it('is run again after a chunk that no caller was shown', async () => {
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

  // The caller asked for the whole answer, then came a second time for a
  // stream of it: that one has the chunk, so the run may not be replaced.
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

  // Every run fails on every side. Without a budget each request would be run
  // three times, and the extra load would take down what is left.
  it('is retried within a budget over all requests', async () => {
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
  // The side goes on beating but never answers. The caller hears at its
  // deadline, not later, and the run is cancelled so that its memory is freed.
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

  it('stop an offer that is accepted after the deadline', async () => {
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
  it('of each dispatch is told to the membership and taken back', async () => {
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

/** Candidates as the membership shows them. */
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
