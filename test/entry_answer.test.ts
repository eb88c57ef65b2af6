/**
 * Complete answers: order, count and digest are verified between side and
 * caller.
 */
import {describe, expect, it} from 'vitest';
import {REQUEST_EVENTS} from '../src/utils/events.js';
import {ENTRY, startEntry} from './support/entry_fixture.js';
import {
  sendThreeChunks,
  chunkOf,
  endOf,
  appendThreeChunks,
} from './support/scripted_side.js';

describe('a request on one side', () => {
  it('is offered, run and answered completely', async () => {
    const entry = await startEntry({sides: [{}]});
    const caller = entry.submit();
    await entry.clock.runFor(100);
    expect(caller.events.map(event => event.kind)).toEqual([
      'placed',
      'chunk',
      'chunk',
      'chunk',
      'end',
    ]);
    expect(caller.text()).toBe('one two three');
    expect(entry.heldLimits()).toBe(0);
    expect(entry.violations).toEqual([]);
  });

  it('sends a long prompt in frames of at most 64 KiB', async () => {
    const entry = await startEntry({sides: [{}]});
    const piece = new Uint8Array(200_000);
    entry.submit({body: {pieces: [piece, piece], bytes: 400_000}});
    await entry.clock.runFor(100);
    const [run] = entry.sides[0].runs.values();
    expect(run.promptBytes()).toBe(400_000);
  });
});

describe('frames that are not the next frame of the answer', () => {
  // Chunks arrive late, twice, out of order and mixed with one of an earlier
  // attempt. Only the next chunk may pass; missing ones are fetched again.
  it('are dropped and counted, and missing chunks are fetched again', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => {
            appendThreeChunks(run);
            const [one, two, three] = run.chunks;
            run.send(one);
            run.send(one);
            run.send({...chunkOf(run, 1, 'foreign'), dispatchId: 'r0.1'});
            run.send(three);
            run.send(two);
            run.send(endOf(run));
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('one two three');
    expect(caller.final()).toMatchObject({kind: 'end', count: 3});
    expect(entry.sides[0].attaches).toEqual([1]);
    const reasons = entry
      .eventsOf(REQUEST_EVENTS.frameDropped)
      .map(({fields}) => fields.reason);
    expect(reasons).toEqual(['duplicate', 'foreign', 'gap']);
    expect(entry.violations).toEqual([]);
  });

  // The end frame counts more chunks than arrived. Without the check, the
  // caller would take a truncated answer for a complete one.
  it('do not end an answer before all its chunks have arrived', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => {
            appendThreeChunks(run);
            run.send(run.chunks[0]);
            run.send(endOf(run));
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(1_000);
    expect(caller.text()).toBe('one two three');
    expect(entry.sides[0].attaches).toEqual([1]);
  });

  // A chunk's bytes change on the way while count and order stay right. Only
  // the digest shows it, and the caller must be told.
  it('fail the request when the bytes differ from what the side sent', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => {
            appendThreeChunks(run);
            for (const chunk of run.chunks) {
              run.send(chunk.seq === 1 ? chunkOf(run, 1, 'tow ') : chunk);
            }
            run.send(endOf(run));
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(1_000);
    expect(caller.final()).toMatchObject({
      kind: 'failed',
      error: {code: 'answer-incomplete', ran: 'yes'},
    });
  });

  it('do not reach a caller after its final event', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (side, run) => {
            sendThreeChunks(side, run);
            run.send(chunkOf(run, 3, 'late'));
            run.send(endOf(run));
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(1_000);
    expect(caller.events.at(-1)?.kind).toBe('end');
    expect(caller.text()).toBe('one two three');
    expect(entry.violations).toEqual([]);
  });
});

describe('a connection that goes silent', () => {
  // The first connection loses all frames while new ones work. After three
  // seconds the run is resumed from the next chunk, not run again.
  it('is replaced by a new one, and the run continues', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (side, run) => {
            appendThreeChunks(run);
            run.send(run.chunks[0]);
            entry.clock.after(100, () => {
              entry.network.faults.silence(ENTRY, side.address);
              run.send(run.chunks[1]);
            });
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(6_000);
    expect(caller.text()).toBe('one two three');
    expect(caller.final()).toMatchObject({kind: 'end'});
    expect(entry.sides[0].attaches).toEqual([1]);
    expect(entry.sides[0].goDispatches).toHaveLength(1);
  });

  // The side freezes while its kernel still accepts connections. The caller has
  // chunks already, so the request must fail soon and not be retried.
  it('fails the request within ten seconds when new connections are silent too', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (_side, run) => {
            appendThreeChunks(run);
            run.send(run.chunks[0]);
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(100);
    const frozenAt = entry.clock.now();
    entry.freezeSide(0);
    await entry.clock.runFor(25_000);
    expect(caller.final()).toMatchObject({error: {code: 'upstream-lost'}});
    expect((caller.endedAt() ?? Infinity) - frozenAt).toBeLessThan(10_000);
  });

  // The entry itself is paused for ten seconds while frames wait in its socket.
  // The working connection must not count as silent.
  it('is not assumed when this process itself was paused', async () => {
    const entry = await startEntry({
      sides: [
        {
          run: (side, run) => {
            entry.clock.after(15_000, () => sendThreeChunks(side, run));
          },
        },
      ],
    });
    const caller = entry.submit();
    await entry.clock.runFor(2_500);
    entry.clock.advance(10_000);
    await entry.clock.runFor(8_000);
    expect(caller.text()).toBe('one two three');
    expect(entry.eventsOf(REQUEST_EVENTS.channelRenewed)).toEqual([]);
  });
});
