import {describe, expect, it} from 'vitest';
import type {PeerHandlers, RunServerChannel} from '../src/types/transport.js';
import type {RunDown, RunUp} from '../src/types/peer_messages.js';
import {createMemoryNetwork} from '../standins/memory_network.js';
import {createSeededRandom} from './support/seeded_random.js';
import {createVirtualClock} from './support/virtual_clock.js';

const ENTRY = '10.0.0.1:7300';
const SIDE = '10.0.0.2:7300';

/** An entry and a side that notes the requests it is asked to abandon. */
function createPair(seed = 1) {
  const clock = createVirtualClock();
  const network = createMemoryNetwork(clock, createSeededRandom(seed));
  const handled: Array<{readonly id: string; readonly at: number}> = [];
  const handlers: PeerHandlers = {
    abandon: async req => {
      handled.push({id: req.dispatchId, at: clock.now()});
      return {state: 'unknown', incarnation: 'side-1'};
    },
  };
  const entry = network.transport(ENTRY);
  const serve = async (more: PeerHandlers = {}): Promise<void> => {
    await network.transport(SIDE).listen(SIDE, {...handlers, ...more});
  };
  const call = async (id: string, timeoutMs = 100): Promise<string> => {
    const req = {dispatchId: id, entry: ENTRY, incarnation: 'side-1'};
    const got = entry.call(SIDE, 'abandon', req, timeoutMs);
    await clock.runFor(timeoutMs + 10);
    return (await got).caseOf({Left: err => err.code, Right: () => 'ok'});
  };
  const ids = (): readonly string[] => handled.map(({id}) => id);
  return {clock, network, entry, handled, serve, call, ids};
}

describe('calls on the memory network', () => {
  it('are answered after a round trip and refused when nobody listens', async () => {
    const {call, handled, serve} = createPair();
    expect(await call('a')).toBe('peer-unreachable');
    await serve();
    expect(await call('b')).toBe('ok');
    expect(handled).toHaveLength(1);
  });

  it('arrive late when sent into a cut, after the caller gave up', async () => {
    const {call, ids, network, serve, clock} = createPair();
    await serve();
    await call('a');
    network.faults.cut(ENTRY, SIDE);
    expect(await call('b')).toBe('timeout');
    expect(ids()).toEqual(['a']);
    network.faults.heal(ENTRY, SIDE);
    await clock.runFor(10);
    expect(ids()).toEqual(['a', 'b']);
  });

  it('are not sent on a new connection into a cut', async () => {
    const {call, ids, network, serve, clock} = createPair();
    await serve();
    network.faults.cut(ENTRY, SIDE);
    expect(await call('a')).toBe('peer-unreachable');
    network.faults.heal(ENTRY, SIDE);
    await clock.runFor(10);
    expect(ids()).toEqual([]);
  });

  it('are lost on a silent connection until two have timed out', async () => {
    const {call, ids, network, serve} = createPair();
    await serve();
    expect(await call('a')).toBe('ok');
    network.faults.silence(ENTRY, SIDE);
    expect(await call('b')).toBe('timeout');
    expect(await call('c')).toBe('timeout');
    expect(await call('d')).toBe('ok');
    expect(ids()).toEqual(['a', 'd']);
  });

  it('wait for a frozen process and end with one that is down', async () => {
    const {call, clock, ids, network, serve} = createPair();
    await serve();
    await call('a');
    network.faults.freeze(SIDE);
    expect(await call('b')).toBe('timeout');
    network.faults.thaw(SIDE);
    expect(ids()).toEqual(['a', 'b']);
    clock.after(0.1, () => network.faults.down(SIDE));
    expect(await call('c')).toBe('timeout');
    expect(await call('d')).toBe('peer-unreachable');
    await serve();
    expect(await call('e')).toBe('ok');
    expect(ids()).toEqual(['a', 'b', 'e']);
  });

  it('can arrive twice or not at all', async () => {
    const {call, clock, ids, network, serve} = createPair();
    await serve();
    network.faults.setDuplicates(1, {minMs: 500, maxMs: 500});
    expect(await call('a')).toBe('ok');
    await clock.runFor(1_000);
    expect(ids()).toEqual(['a', 'a']);
    network.faults.setDuplicates(0, {minMs: 0, maxMs: 0});
    network.faults.setDrops(1);
    expect(await call('b')).toBe('timeout');
  });
});

describe('runs on the memory network', () => {
  it('keep the order of frames and end at both ends', async () => {
    const {clock, entry, serve} = createPair();
    const atSide: RunUp[] = [];
    const atEntry: RunDown[] = [];
    let sideEnded = false;
    const run = (channel: RunServerChannel): void => {
      void channel.frames
        .observe(frame => {
          atSide.push(frame);
          void channel.send({kind: 'beat'});
        })
        .then(() => {
          sideEnded = true;
        });
    };
    await serve({run});
    const channel = entry.openRun(SIDE, false);
    void channel.frames.observe(frame => {
      atEntry.push(frame);
    });
    for (let seq = 0; seq < 10; seq++) {
      void channel.send({kind: 'ack', nextSeq: seq});
    }
    await clock.runFor(10);
    expect(atSide).toEqual(
      Array.from({length: 10}, (_, nextSeq) => ({kind: 'ack', nextSeq})),
    );
    expect(atEntry).toHaveLength(10);
    channel.close();
    await clock.runFor(10);
    expect(sideEnded).toBe(true);
  });

  it('hold a sender back, hear nothing when silent, and end when down', async () => {
    const {clock, entry, network, serve} = createPair();
    await serve({run: channel => void channel.send({kind: 'started'})});
    const ended: string[] = [];
    const open = (name: string, fresh: boolean) => {
      const channel = entry.openRun(SIDE, fresh);
      void channel.frames.drain().then(() => ended.push(name));
      return channel;
    };
    const silent = open('silent', false);
    await clock.runFor(1_000);
    network.faults.silence(ENTRY, SIDE);
    let sent = 0;
    const fill = async (): Promise<void> => {
      for (; sent < 100; sent++) await silent.send({kind: 'beat'});
    };
    void fill();
    open('fresh', true);
    await clock.runFor(1_000);
    expect(sent).toBeLessThan(20);
    network.faults.down(SIDE);
    await clock.runFor(1_000);
    expect(ended).toEqual(['fresh']);
  });
});

describe('a seeded run', () => {
  it('comes out the same each time', async () => {
    const record = async (seed: number) => {
      const {call, clock, handled, network, serve} = createPair(seed);
      await serve();
      network.faults.setDelay({minMs: 1, maxMs: 90});
      network.faults.setDrops(0.2);
      network.faults.setDuplicates(0.3, {minMs: 1, maxMs: 300});
      const outcomes: string[] = [];
      for (let id = 0; id < 50; id++) outcomes.push(await call(String(id)));
      await clock.runFor(1_000);
      return {outcomes, handled};
    };
    const first = await record(7);
    expect(await record(7)).toEqual(first);
    expect(await record(8)).not.toEqual(first);
  });
});
