/** Whole answers: order, count and digest checked between side and caller. */
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
  it('is offered, run and answered whole', async () => {
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

describe('frames that are not the next of this answer', () => {
  // The caller sees one clean answer. The side's chunks arrive late, twice and
  // out of order, mixed with one of an earlier attempt; only the chunk that is
  // next may pass, and what is missing is fetched again by its number.
  it('are dropped and counted, and gaps fetched again', async () => {
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

  // The caller would take a cut answer for a whole one. The side's end frame
  // counts more chunks than came, so the rest is fetched before the end.
  it('let no answer end before all its chunks came', async () => {
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

  // A chunk's bytes changed on the way while count and order hold. Only the
  // digest shows it; the caller must be told that the answer is not whole.
  it('fail the request when the bytes are not those of the side', async () => {
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
  // The caller sees a pause, then the rest of its answer. The first connection
  // loses all frames for good while new ones work; the silence is seen after
  // three seconds and the run is taken up from the next chunk, not run again.
  it('is replaced by a new one, and the run goes on', async () => {
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

  // The side's process is stopped for good after its first words, while its
  // kernel takes connections. The caller has words that no other run can go on
  // from: it is told so after one silence and three short waits.
  it('for good ends the request in under ten seconds', async () => {
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

  // The entry itself was stopped for ten seconds. Frames of that time wait in
  // its socket; the connection is well, and must not be taken for silent.
  it('is not confused with a pause of this process', async () => {
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
