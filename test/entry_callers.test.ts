/**
 * Tests what the `requests` service does for callers besides answering:
 * resuming, idempotency keys, cancelling, explaining decisions, and draining.
 */
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

/** A side that sends the first chunk at once and the rest after a second. */
function answerSlowly(entry: () => EntryFixture): SideScript {
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
  it('gets the rest of an unfinished answer at the same entry', async () => {
    const entry = await startEntry({sides: [answerSlowly(() => entry)]});
    entry.submit({id: 'q1'});
    await entry.clock.runFor(100);
    const resumed = entry.caller();
    resume(entry, 'q1', 'prairie-sky', 1, resumed.listener);
    await entry.clock.runFor(2_000);
    expect(resumed.text()).toBe('two three');
    expect(resumed.final()).toMatchObject({kind: 'end', count: 3});
    expect(entry.sides[0].goDispatches).toHaveLength(1);
  });

  // The caller's entry is gone, so this entry asks the sides for the run. It
  // fetches the earlier chunks only for the digest and does not send them.
  it('gets the rest at an entry that did not start the run', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    addRunToSecondSide(entry, 'q2.1');
    const caller = entry.caller();
    resume(entry, 'q2', 'prairie-sky', 2, caller.listener);
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('three');
    expect(caller.final()).toMatchObject({kind: 'end', count: 3});
    expect(entry.toMembership.map(({kind}) => kind)).toEqual(['own', 'disown']);
  });

  // Only the first attach takes the run over. If a renewed channel did so too,
  // two entries could take the run from each other forever.
  it('takes the run over once, and not again when its channel is renewed', async () => {
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
    addRunToSecondSide(entry, 'q13.1');
    const caller = entry.caller();
    resume(entry, 'q13', 'prairie-sky', 0, caller.listener);
    await entry.clock.runFor(2_000);
    expect(caller.text()).toBe('one two three');
    expect(entry.sides[1].attaches).toEqual([0, 1]);
    expect(entry.sides[1].takeOvers).toEqual([true, false]);
  });

  // Another entry took the run over for the caller. Another run here would
  // repeat the work without a caller to receive it.
  it('at another entry ends the request here without another run', async () => {
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

  // Another entry took the run over. The request ended only at this entry, so
  // the state comes from the side, and a caller that returns gets the answer.
  it('after its run was taken over gets the state and answer of that run', async () => {
    const entry = await startEntry({
      sides: [
        {offer: () => refused('full')},
        {run: (_side, run) => run.send(superseded(run.dispatchId))},
      ],
    });
    entry.submit({id: 'q30'});
    await entry.clock.runFor(1_000);
    addRunToSecondSide(entry, 'q30.2');
    const state = entry.kernel.ask<'requests', RequestState>(
      'requests',
      reply => ({kind: 'state', id: 'q30', organisation: 'prairie-sky', reply}),
    );
    await entry.clock.runFor(1_000);
    expect(await state).toMatchObject({state: 'running', dispatchId: 'q30.2'});
    const resumed = entry.caller();
    resume(entry, 'q30', 'prairie-sky', 0, resumed.listener);
    await entry.clock.runFor(1_000);
    expect(resumed.text()).toBe('one two three');
  });

  // One side lists an attempt that lapsed. If that counted as the request, the
  // caller would get `ran: no` or chunks of another run for a request that ran.
  it('gets the newest attempt that has an answer', async () => {
    const entry = await startEntry({sides: [{}, {}, {}]});
    const [lapsed, newest, older] = entry.sides;
    const slow = {minMs: 5, maxMs: 5};
    entry.network.faults.setDelay(slow, ENTRY, newest.address);
    addRunToSecondSide(entry, 'q11.2');
    const located = (state: 'failed' | 'ended', dispatchId: string) => () =>
      ({state, dispatchId, nextSeq: 0, kind: 'completion'}) as const;
    lapsed.locate = located('failed', 'q11.3');
    older.locate = located('ended', 'q11.1');
    const caller = entry.caller();
    resume(entry, 'q11', 'prairie-sky', 1, caller.listener, lapsed.address);
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('two three');
  });

  it('gets ran: unknown when the only attempt found did not run', async () => {
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

  it('gets not-found at once when no side knows the request', async () => {
    const entry = await startEntry({sides: [{}]});
    const caller = entry.caller();
    resume(entry, 'q3', 'prairie-sky', 0, caller.listener);
    await entry.clock.runFor(100);
    expect(caller.final()).toMatchObject({
      error: {code: 'not-found', ran: 'unknown'},
    });
  });

  // An organisation that guesses the request id of another one must not get
  // the answer or the state, nor learn that the request exists.
  it('gets nothing of a request of another organisation', async () => {
    const entry = await startEntry({sides: [answerSlowly(() => entry)]});
    const owner = entry.submit({id: 'q4'});
    await entry.clock.runFor(100);
    const otherCaller = entry.caller();
    resume(entry, 'q4', 'ingufu', 0, otherCaller.listener);
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
    expect(otherCaller.final()).toMatchObject({error: {code: 'not-found'}});
    expect(await state).toMatchObject({state: 'none', side: ''});
    expect(await cancelled).toBe(false);
    expect(owner.final()).toMatchObject({kind: 'end'});
  });
});

describe('a caller that repeats its idempotency key', () => {
  it('gets the earlier answer without another run', async () => {
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
    const options = {repeatable: false, idempotencyKey: 'permit-7'};
    entry.submit({id: 'q5', ...options});
    await entry.clock.runFor(100);
    const second = entry.submit({id: 'q6', ...options});
    await entry.clock.runFor(100);
    expect(second.text()).toBe('one two three');
    expect(entry.sides[0].goDispatches).toEqual(['q5.1']);
    expect(entry.places()).toBe(0);
  });

  it('gets already-claimed when the earlier request can not be found', async () => {
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
    const entry = await startEntry({sides: [answerSlowly(() => entry)]});
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
  // This entry does not own the run, so it asks the side to abandon the run on
  // behalf of the caller's organisation.
  it('has the run ended at its side', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    addRunToSecondSide(entry, 'q20.1');
    expect(await cancel(entry, 'q20', 'prairie-sky')).toBe(true);
    expect(entry.sides.map(side => side.abandons)).toEqual([[], ['q20.1']]);
    expect(entry.sides[1].abandonedFor).toEqual(['prairie-sky']);
  });

  it('can not end a run of another organisation', async () => {
    const entry = await startEntry({sides: [{}, {}]});
    addRunToSecondSide(entry, 'q21.1');
    expect(await cancel(entry, 'q21', 'other')).toBe(false);
    expect(entry.sides.flatMap(side => side.abandons)).toEqual([]);
  });
});

describe('a caller that cancels before its offer is answered', () => {
  // The side accepts the offer after the request has ended. The side must be
  // told, or it would keep the reservation until the offer lapses.
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
  // A caller can name any address. The entry must connect only to addresses in
  // the host list, or a caller could make it connect to any other host.
  it('has that side asked only when it is in the host list', async () => {
    const entry = await startEntry({sides: [{}]});
    const asked: string[] = [];
    const unlisted = entry.network.transport('10.0.0.9:22');
    await unlisted.listen('10.0.0.9:22', {
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

describe('an operator that asks for an explanation', () => {
  it('gets the routing decisions with their candidates and reason', async () => {
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
  it('waits for a resume while it is still looking for the run', async () => {
    // The caller's entry crashed, and the caller resumes here as this entry
    // drains. The run is not found yet, so no request is open here.
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

  // The process is about to stop. A new request must be refused at once, so
  // that the caller can retry elsewhere, rather than be interrupted later.
  it('completes its open requests and refuses new ones', async () => {
    const entry = await startEntry({sides: [answerSlowly(() => entry)]});
    const openCaller = entry.submit();
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
    const refusedCaller = entry.submit();
    await entry.clock.runFor(100);
    expect(refusedCaller.final()).toMatchObject({
      error: {code: 'draining', ran: 'no'},
    });
    expect(drained).toBe(false);
    await entry.clock.runFor(2_000);
    expect(openCaller.text()).toBe('one two three');
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

/** Cancels a request and resolves to whether it was found within a second. */
async function cancel(
  entry: EntryFixture,
  id: string,
  organisation: string,
): Promise<boolean | undefined> {
  let found: boolean | undefined;
  entry.kernel.send('requests', {
    kind: 'cancel',
    id,
    organisation,
    reply: result => {
      found = result;
    },
  });
  await entry.clock.runFor(1_000);
  return found;
}

/** Gives the second side a run of three chunks that another entry started. */
function addRunToSecondSide(entry: EntryFixture, dispatchId: string): void {
  const [, side] = entry.sides;
  const run = createScriptedRun(dispatchId);
  appendThreeChunks(run);
  side.runs.set(dispatchId, run);
  side.locate = (id, organisation) =>
    dispatchId.startsWith(`${id}.`) && organisation === 'prairie-sky'
      ? {state: 'running', dispatchId, nextSeq: 3, kind: 'completion'}
      : undefined;
}
