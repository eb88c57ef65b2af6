/** The share of the event loop that the bytes of one party may take. */
import {Socket} from 'node:net';
import {expect, test} from 'vitest';
import {createReadTurns} from '../src/utils/read_turns.js';
import type {Party, TurnReader} from '../src/utils/read_turns.js';
import {DIRECT_EVENTS} from '../src/utils/events.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';
import {createVirtualClock} from './support/virtual_clock.js';

/** Pieces of one read of 64 KB in chunks of one byte, and what they take. */
const READ_UNITS = 11_000;
const READ_MS = 11;
const SHARE = 0.35;

const replica = (name: string): Party => ({kind: 'replica', name});

function start() {
  const clock = createVirtualClock();
  const recorded = createRecordingRuntime();
  const {log, metrics} = recorded.runtime;
  return {
    clock,
    recorded,
    turns: createReadTurns({clock, log, metrics}),
  };
}

/** A connection on which bytes lie whenever it may be read. */
function flooding(
  turns: ReturnType<typeof start>['turns'],
  party: Party,
): {readonly reader: TurnReader; isRead(): boolean; reads: number} {
  const socket = new Socket();
  const own = Object.getOwnPropertyDescriptor;
  const reader = turns.open(party, socket);
  return {
    reader,
    isRead: () => own(socket, 'resume') === undefined,
    reads: 0,
  };
}

type Flood = ReturnType<typeof flooding>;

/** Each connection that may be read takes one read after the other. */
async function play(
  world: Pick<ReturnType<typeof start>, 'clock'>,
  floods: readonly Flood[],
  forMs: number,
): Promise<void> {
  const until = world.clock.now() + forMs;
  while (world.clock.now() < until) {
    for (const flood of floods) {
      if (!flood.isRead()) continue;
      flood.reads++;
      await world.clock.runFor(READ_MS);
      flood.reader.worked(READ_UNITS, READ_MS);
    }
    await world.clock.runFor(1);
  }
}

// Guards against one replica that takes the processor from all other requests.
test('floods of a replica take a bounded share of the event loop', async () => {
  const world = start();
  const floods = Array.from({length: 60}, () =>
    flooding(world.turns, replica('a')),
  );
  await play(world, floods, 1_000);
  const before = floods.reduce((sum, it) => sum + it.reads, 0);
  await play(world, floods, 20_000);
  const reads = floods.reduce((sum, it) => sum + it.reads, 0) - before;
  expect(reads * READ_MS).toBeLessThan(SHARE * 20_000);
  // It is read all the same.
  expect(reads).toBeGreaterThan(200);
});

// Guards against a sound replica that waits behind one that floods.
test('another replica is read as if there were no flood', async () => {
  const world = start();
  const floods = [1, 2, 3].map(() => flooding(world.turns, replica('a')));
  await play(world, floods, 3_000);
  const calm = flooding(world.turns, replica('b'));
  for (let ms = 0; ms < 5_000; ms++) {
    expect(calm.isRead()).toBe(true);
    calm.reader.worked(5, 0.1);
    await play(world, floods, 1);
  }
  expect(calm.reader.isInTurns()).toBe(false);
});

// Guards against an answer that is given up though it could come whole.
test('each of several that are read in turns goes on', async () => {
  const world = start();
  const floods = ['a', 'b', 'c'].map(it => flooding(world.turns, replica(it)));
  await play(world, floods, 20_000);
  const reads = floods.map(it => it.reads);
  expect(Math.min(...reads)).toBeGreaterThan(0.6 * Math.max(...reads));
});

// Guards against calm requests at a sound replica that wait behind an answer of
// its own in small pieces, and behind those of others.
test('a connection that takes little waits for one read of each party at most', async () => {
  const world = start();
  const parties = ['a', 'b', 'c', 'd', 'e', 'f'].map(replica);
  const floods = parties.map(it => flooding(world.turns, it));
  await play(world, floods, 5_000);
  const waitedMs: number[] = [];
  for (let nth = 0; nth < 10; nth++) {
    const calm = flooding(world.turns, parties[0]);
    const from = world.clock.now();
    while (!calm.isRead()) await play(world, floods, 1);
    calm.reader.worked(1, 0.1);
    calm.reader.close();
    waitedMs.push(world.clock.now() - from);
    await play(world, floods, 200);
  }
  const roundMs = parties.length * 3 * READ_MS;
  expect(Math.max(...waitedMs)).toBeLessThan(2 * roundMs);
});

// Guards against a connection of a flooding replica that starves beside others.
test('the connection that has taken least has the next turn', async () => {
  const world = start();
  const floods = [1, 2, 3].map(() => flooding(world.turns, replica('a')));
  await play(world, floods, 5_000);
  const late = flooding(world.turns, replica('a'));
  expect(late.isRead()).toBe(false);
  await play(world, [...floods, late], 1_000);
  expect(late.reads).toBeGreaterThan(5);
});

// Guards against a turn that nobody uses, and that nobody else gets.
test('a connection on which nothing comes gives up its turn', async () => {
  const world = start();
  const flood = flooding(world.turns, replica('a'));
  await play(world, [flood], 1_000);
  const silent = flooding(world.turns, replica('a'));
  const before = flood.reads;
  await play(world, [flood], 5_000);
  expect(silent.isRead()).toBe(true);
  expect(flood.reads).toBeGreaterThan(before + 20);
});

// Guards against a connection that is not read again by the next request on it.
test('a connection that is closed is not held any more', async () => {
  const world = start();
  const floods = [1, 2, 3].map(() => flooding(world.turns, replica('a')));
  await play(world, floods, 1_000);
  for (const {reader} of floods) reader.close();
  expect(floods.every(it => it.isRead())).toBe(true);
  // The share of the replica comes back with time.
  await world.clock.runFor(120_000);
  expect(flooding(world.turns, replica('a')).isRead()).toBe(true);
});

// Guards against a sound stream of events that is taken for a flood.
test('many streams of events at a steady pace are read freely for minutes', async () => {
  const world = start();
  const streams = Array.from({length: 64}, () =>
    flooding(world.turns, replica('a')),
  );
  for (let ms = 0; ms < 120_000; ms += 50) {
    for (const {reader} of streams) reader.worked(5, 0.05);
    await world.clock.runFor(50);
  }
  expect(streams.some(it => it.reader.isInTurns())).toBe(false);
});

// Guards against an operator who can't tell which party it was.
test('a line names the party whose bytes are read in turns', async () => {
  const world = start();
  const flood = flooding(world.turns, replica('10.0.0.1:80'));
  await play(world, [flood], 1_000);
  const [began] = world.recorded.eventsOf(DIRECT_EVENTS.turnsBegan);
  expect(began.fields).toMatchObject({
    from: 'replica',
    address: '10.0.0.1:80',
  });
  flood.reader.close();
  const [ended] = world.recorded.eventsOf(DIRECT_EVENTS.turnsEnded);
  expect(ended.fields).toMatchObject({
    from: 'replica',
    address: '10.0.0.1:80',
  });
  expect(ended.fields['units']).toBeGreaterThan(READ_UNITS);
});
