/** What a caller may ask of a request besides its answer. */
import {Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createRoundRobin} from '../src/policy/routing_policies.js';
import type {
  RequestListener,
  RequestState,
  RoutingDecision,
} from '../src/types/services.js';
import {ROUTING_EVENTS} from '../src/utils/events.js';
import {ENTRY, startEntry} from './support/entry_fixture.js';
import type {EntryFixture} from './support/entry_fixture.js';
import {
  accepted,
  createScriptedRun,
  endOf,
  failed,
  resend,
  appendThreeChunks,
  refused,
} from './support/scripted_side.js';
import type {SideScript} from './support/scripted_side.js';

/** Answers the first chunk at once, the rest after a second. */
function slowly(entry: () => EntryFixture): SideScript {
  return {
    run: (_side, run) => {
      appendThreeChunks(run);
      run.send(run.chunks[0]);
      entry().clock.after(1_000, () => {
        for (const chunk of run.chunks.slice(1)) run.send(chunk);
        run.send(endOf(run));
      });
    },
  };
}

describe('a caller that resumes', () => {
  it('gets the rest of an open answer at the same entry', async () => {
    const entry = await startEntry({sides: [slowly(() => entry)]});
    entry.submit({id: 'q1'});
    await entry.clock.runFor(100);
    const again = entry.caller();
    resume(entry, 'q1', 'prairie-sky', 1, again.listener);
    await entry.clock.runFor(2_000);
    expect(again.text()).toBe('two three');
    expect(again.final()).toMatchObject({kind: 'end', count: 3});
    expect(entry.sides[0].goDispatches).toHaveLength(1);
  });

  // Its entry is gone, with the connection. This entry knows nothing of the
  // request and finds the run by asking the sides; the chunks before those
  // wanted are fetched for the digest and not told again.
  it('gets the rest at an entry that did not start the run', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    holdRun(entry, 'q2.1');
    const caller = entry.caller();
    resume(entry, 'q2', 'prairie-sky', 2, caller.listener);
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('three');
    expect(caller.final()).toMatchObject({kind: 'end', count: 3});
    expect(entry.toMembership.map(({kind}) => kind)).toEqual(['own', 'disown']);
  });

  // The first attach takes the run from its owner; the channel then breaks.
  // The second one must not take it over again: were the caller elsewhere by
  // then, the two entries would take the run from each other for ever.
  it('takes the run over once, and not when it renews a channel', async () => {
    const entry = await startEntry({
      sides: [
        {},
        {
          attach: (side, run, fromSeq) => {
            if (side.attaches.length > 1) {
              resend(side, run, fromSeq);
              return;
            }
            run.send(run.chunks[0]);
            entry.clock.after(10, () => run.channel?.close());
          },
        },
      ],
    });
    holdRun(entry, 'q13.1');
    const caller = entry.caller();
    resume(entry, 'q13', 'prairie-sky', 0, caller.listener);
    await entry.clock.runFor(2_000);
    expect(caller.text()).toBe('one two three');
    expect(entry.sides[1].attaches).toEqual([0, 1]);
    expect(entry.sides[1].takeOvers).toEqual([true, false]);
  });

  // The caller resumed elsewhere, and that entry took the run. Running it
  // again here would do the work twice for nobody.
  it('elsewhere ends the request here without another run', async () => {
    const entry = await startEntry({
      sides: [
        {run: (_side, run) => run.send(superseded(run.dispatchId))},
        {run: (_side, run) => run.send(superseded(run.dispatchId))},
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(2_000);
    expect(caller.final()).toMatchObject({error: {code: 'upstream-lost'}});
    expect(entry.sides.flatMap(side => side.goDispatches)).toHaveLength(1);
  });

  // Another entry took the run over and it goes on there. This entry's own end
  // of the request is not the request's: the state told is the side's, and a
  // caller that comes back gets the answer.
  it('after its run was taken over is told of the run that goes on', async () => {
    const entry = await startEntry({
      sides: [
        {offer: () => refused('full')},
        {run: (_side, run) => run.send(superseded(run.dispatchId))},
      ],
    });
    entry.submit({id: 'q30'});
    await entry.clock.runFor(1_000);
    holdRun(entry, 'q30.2');
    const state = entry.kernel.ask<'requests', RequestState>(
      'requests',
      reply => ({kind: 'state', id: 'q30', organisation: 'prairie-sky', reply}),
    );
    await entry.clock.runFor(1_000);
    expect(await state).toMatchObject({state: 'running', dispatchId: 'q30.2'});
    const again = entry.caller();
    resume(entry, 'q30', 'prairie-sky', 0, again.listener);
    await entry.clock.runFor(1_000);
    expect(again.text()).toBe('one two three');
  });

  // Its first attempt lapsed on one side, its second ran on another. The trace
  // of the first must not be taken for the request: it would be told 'not run'
  // of a request that ran, or get another run's chunks.
  it('gets the newest attempt that has an answer', async () => {
    const entry = await startEntry({sides: [{}, {}, {}]});
    const [lapsed, newest, older] = entry.sides;
    const late = {minMs: 5, maxMs: 5};
    entry.network.faults.setDelay(late, ENTRY, newest.address);
    holdRun(entry, 'q11.2');
    const trace = (state: 'failed' | 'ended', dispatchId: string) => () =>
      ({state, dispatchId, nextSeq: 0, kind: 'completion'}) as const;
    lapsed.locate = trace('failed', 'q11.3');
    older.locate = trace('ended', 'q11.1');
    const caller = entry.caller();
    resume(entry, 'q11', 'prairie-sky', 1, caller.listener, lapsed.address);
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('two three');
  });

  it('is not told that nothing ran by a trace that did not', async () => {
    const entry = await startEntry({
      sides: [{attach: (_side, run) => run.send(failed(run.dispatchId, 'no'))}],
    });
    entry.sides[0].locate = () => ({
      state: 'failed',
      dispatchId: 'q12.1',
      nextSeq: 0,
      kind: 'completion',
    });
    entry.sides[0].runs.set('q12.1', createScriptedRun('q12.1'));
    const caller = entry.caller();
    resume(entry, 'q12', 'prairie-sky', 0, caller.listener);
    await entry.clock.runFor(1_000);
    expect(caller.final()).toMatchObject({error: {ran: 'unknown'}});
  });

  it('is told at once when nobody knows the request', async () => {
    const entry = await startEntry({sides: [{}]});
    const caller = entry.caller();
    resume(entry, 'q3', 'prairie-sky', 0, caller.listener);
    await entry.clock.runFor(100);
    expect(caller.final()).toMatchObject({
      error: {code: 'not-found', ran: 'unknown'},
    });
  });

  // One organisation guesses another's request id. It must learn nothing: not
  // the answer, not the state, not that there is such a request.
  it('gets nothing of another organisation', async () => {
    const entry = await startEntry({sides: [slowly(() => entry)]});
    const owner = entry.submit({id: 'q4'});
    await entry.clock.runFor(100);
    const stranger = entry.caller();
    resume(entry, 'q4', 'ingufu', 0, stranger.listener);
    const state = entry.kernel.ask('requests', reply => ({
      kind: 'state',
      id: 'q4',
      organisation: 'ingufu',
      reply,
    }));
    const cancelled = entry.kernel.ask<'requests', boolean>(
      'requests',
      reply => ({kind: 'cancel', id: 'q4', organisation: 'ingufu', reply}),
    );
    await entry.clock.runFor(2_000);
    expect(stranger.final()).toMatchObject({error: {code: 'not-found'}});
    expect(await state).toMatchObject({state: 'none', side: ''});
    expect(await cancelled).toBe(false);
    expect(owner.final()).toMatchObject({kind: 'end'});
  });
});

describe('a caller that repeats its idempotency key', () => {
  it('gets the earlier answer, and nothing runs again', async () => {
    let taken = false;
    const entry = await startEntry({
      sides: [{}],
      claim: () => {
        const outcome = taken
          ? ({kind: 'taken', requestId: 'q5'} as const)
          : ({kind: 'ours'} as const);
        taken = true;
        return Right(outcome);
      },
    });
    const permit = {repeatable: false, idempotencyKey: 'permit-7'};
    entry.submit({id: 'q5', ...permit});
    await entry.clock.runFor(100);
    const second = entry.submit({id: 'q6', ...permit});
    await entry.clock.runFor(100);
    expect(second.text()).toBe('one two three');
    expect(entry.sides[0].goDispatches).toEqual(['q5.1']);
    expect(entry.heldLimits()).toBe(0);
  });

  it('is told that it was claimed when the earlier one is lost', async () => {
    const entry = await startEntry({
      sides: [{}],
      claim: () => Right({kind: 'taken', requestId: 'q-gone'}),
    });
    const caller = entry.submit({repeatable: false, idempotencyKey: 'k'});
    await entry.clock.runFor(100);
    expect(caller.final()).toMatchObject({
      error: {code: 'already-claimed', ran: 'unknown'},
    });
    expect(entry.sides[0].offers).toEqual([]);
  });
});

describe('a caller that cancels', () => {
  it('ends the request and its run', async () => {
    const entry = await startEntry({sides: [slowly(() => entry)]});
    const caller = entry.submit({id: 'q7'});
    await entry.clock.runFor(100);
    entry.kernel.send('requests', {
      kind: 'cancel',
      id: 'q7',
      organisation: 'prairie-sky',
    });
    await entry.clock.runFor(2_000);
    expect(caller.final()).toMatchObject({
      error: {code: 'cancelled', ran: 'yes'},
    });
    expect(caller.text()).toBe('one ');
    expect(entry.sides[0].abandons).toEqual(['q7.1']);
  });
});

describe('a caller that cancels at an entry that does not own the request', () => {
  // The run goes on at a side for another entry. The caller is told that it was
  // cancelled, and the side is asked in its organisation's name, since the run
  // is not this entry's own.
  it('has the run ended at its side', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    holdRun(entry, 'q20.1');
    expect(await cancelled(entry, 'q20', 'prairie-sky')).toBe(true);
    expect(entry.sides.map(side => side.abandons)).toEqual([[], ['q20.1']]);
    expect(entry.sides[1].abandonedFor).toEqual(['prairie-sky']);
  });

  it('gets nothing done for another organisation', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    holdRun(entry, 'q21.1');
    expect(await cancelled(entry, 'q21', 'other')).toBe(false);
    expect(entry.sides.flatMap(side => side.abandons)).toEqual([]);
  });
});

describe('a caller that leaves before its offer is answered', () => {
  // The side takes the offer after the request is over. Nobody will send its
  // go; the side is told, or it would hold the place until the offer lapses.
  it('leaves no reservation and no run behind', async () => {
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
    const caller = entry.submit({id: 'q8'});
    await entry.clock.runFor(100);
    entry.kernel.send('requests', {
      kind: 'cancel',
      id: 'q8',
      organisation: 'prairie-sky',
    });
    await entry.clock.runFor(1_000);
    expect(caller.final()).toMatchObject({error: {ran: 'no'}});
    expect(entry.sides[0].abandons).toEqual(['q8.1']);
    expect(entry.sides[0].goDispatches).toEqual([]);
  });
});

describe('a caller that names a side', () => {
  // The hint is the caller's word. An address that the host list does not show
  // is not one of ours; connecting to it would let a caller aim this process.
  it('has it asked only when it is one of ours', async () => {
    const entry = await startEntry({sides: [{}]});
    const asked: string[] = [];
    const stranger = entry.network.transport('10.0.0.9:22');
    await stranger.listen('10.0.0.9:22', {
      locate: async req => {
        asked.push(req.requestId);
        throw new Error('not ours');
      },
    });
    const caller = entry.caller();
    resume(entry, 'q9', 'prairie-sky', 0, caller.listener, '10.0.0.9:22');
    await entry.clock.runFor(2_000);
    expect(asked).toEqual([]);
    expect(caller.final()).toMatchObject({error: {code: 'not-found'}});
  });
});

describe('an operator that asks why', () => {
  it('gets the decisions with candidates, figures and reason', async () => {
    const entry = await startEntry({
      sides: [{offer: () => refused('full', 100)}, {}],
      requests: {routingPolicy: () => createRoundRobin()},
    });
    entry.submit({id: 'q10'});
    await entry.clock.runFor(100);
    const decisions = await entry.kernel.ask<
      'requests',
      readonly RoutingDecision[]
    >('requests', reply => ({kind: 'explain', id: 'q10', reply}));
    expect(decisions.map(({attempt, chosen}) => [attempt, chosen])).toEqual([
      [1, 's1'],
      [2, 's2'],
    ]);
    expect(decisions[1].candidates).toHaveLength(2);
    expect(decisions[1].reason).toBe('next in turn');
    expect(entry.eventsOf(ROUTING_EVENTS.decided)).toHaveLength(2);
  });
});

describe('an entry that drains', () => {
  it('waits for a resume whose run it still looks for', async () => {
    // The caller's own entry died; it asks here for its answer just as this
    // entry drains. The run is not found yet, so no request is open here.
    const entry = await startEntry({sides: [{}]});
    const caller = entry.caller();
    resume(entry, 'q11', 'prairie-sky', 0, caller.listener, 's1');
    let drained = false;
    entry.kernel.send('requests', {
      kind: 'drain',
      reply: () => {
        drained = caller.final() !== undefined;
        expect(drained).toBe(true);
      },
    });
    await entry.clock.runFor(5_000);
    expect(drained).toBe(true);
  });

  // The process is to stop. Requests in progress must end whole, and a new one
  // must be told to go elsewhere rather than be cut later.
  it('ends its open requests and takes no new ones', async () => {
    const entry = await startEntry({sides: [slowly(() => entry)]});
    const open = entry.submit();
    await entry.clock.runFor(100);
    let drained = false;
    void entry.kernel
      .ask<'requests', void>('requests', reply => ({
        kind: 'drain',
        reply: () => reply(undefined),
      }))
      .then(() => {
        drained = true;
      });
    const late = entry.submit();
    await entry.clock.runFor(100);
    expect(late.final()).toMatchObject({error: {code: 'draining', ran: 'no'}});
    expect(drained).toBe(false);
    await entry.clock.runFor(2_000);
    expect(open.text()).toBe('one two three');
    expect(drained).toBe(true);
  });
});

function superseded(dispatchId: string) {
  return failed(dispatchId, 'unknown', 'superseded');
}

function resume(
  entry: EntryFixture,
  id: string,
  organisation: string,
  fromSeq: number,
  listener: RequestListener,
  sideHint = '',
): void {
  entry.kernel.send('requests', {
    kind: 'resume',
    id,
    organisation,
    fromSeq,
    sideHint,
    listener,
  });
}

/** The second side holds a run of three chunks that another entry started. */
async function cancelled(
  entry: EntryFixture,
  id: string,
  organisation: string,
): Promise<boolean | undefined> {
  let found: boolean | undefined;
  entry.kernel.send('requests', {
    kind: 'cancel',
    id,
    organisation,
    reply: told => {
      found = told;
    },
  });
  await entry.clock.runFor(1_000);
  return found;
}

function holdRun(entry: EntryFixture, dispatchId: string): void {
  const [, side] = entry.sides;
  const run = createScriptedRun(dispatchId);
  appendThreeChunks(run);
  side.runs.set(dispatchId, run);
  side.locate = (id, organisation) =>
    dispatchId.startsWith(`${id}.`) && organisation === 'prairie-sky'
      ? {state: 'running', dispatchId, nextSeq: 3, kind: 'completion'}
      : undefined;
}
