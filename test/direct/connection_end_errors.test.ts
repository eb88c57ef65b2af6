/** Errors of the entry itself at the end of one of several connections. */
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {beforeEach, expect, test} from 'vitest';
import {createConnectionGuards} from '../../src/direct/boundary/connection_guard.js';
import {
  afterPoll,
  createConnectionEnds,
} from '../../src/direct/callers/connection_end.js';
import {createDescriptorGuard} from '../../src/direct/callers/descriptor_guard.js';
import type {Clock} from '../../src/types/runtime.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';

/** Longer than any connection stays open after its end. */
const LONG_MS = 10_000;
const BROKEN = new Error('a step fails');

/** A connection whose caller goes on sending. */
class FakeSocket extends EventEmitter {
  remoteAddress = '127.0.0.1';
  remotePort = 1;
  isReset = false;
  isDestroyed = false;
  private read = 0;
  get bytesRead(): number {
    return this.read++;
  }
  pause(): void {}
  resume(): void {}
  push(): void {}
  end(): void {}
  destroy(): void {
    if (this.isDestroyed) return;
    this.isDestroyed = true;
    this.emit('close');
  }
  resetAndDestroy(): void {
    this.isReset = true;
    this.destroy();
  }
}

const asSocket = (socket: FakeSocket) => socket as unknown as Socket;

let recorded: RecordingRuntime;
let guards: ReturnType<typeof createConnectionGuards>;
beforeEach(() => {
  recorded = createRecordingRuntime();
  guards = createConnectionGuards(recorded.runtime);
});
const callbacks = () =>
  recorded
    .eventsOf(DIRECT_EVENTS.connectionFaulted)
    .map(({fields}) => fields['callback']);

// Guards against an error in the timer of a connection that was ended.
test('an error in the wait for the end of a connection ends that one only', async () => {
  const {clock} = recorded;
  let timers = 0;
  // Each end sets two timers, so this one is set by a timer.
  const faulty: Clock = {
    ...clock,
    after: (delayMs, fn) => {
      if (++timers === 5) throw BROKEN;
      return clock.after(delayMs, fn);
    },
  };
  const ends = createConnectionEnds({
    clock: faulty,
    guards,
    discards: {discard: () => undefined, isWaiting: () => false},
  });
  const sockets = [new FakeSocket(), new FakeSocket()];
  for (const socket of sockets) {
    ends.end(asSocket(socket), 'discard', () => undefined);
  }
  await clock.runFor(LONG_MS);
  await new Promise<void>(afterPoll);
  expect(sockets.map(({isReset}) => isReset)).toEqual([true, false]);
  expect(sockets.map(({isDestroyed}) => isDestroyed)).toEqual([true, true]);
  expect(callbacks()).toEqual(['end of the wait']);
});

// Guards against descriptors that stay short because of one connection.
test('an error at one idle connection leaves the others their end', async () => {
  const sockets = [new FakeSocket(), new FakeSocket(), new FakeSocket()];
  const [first] = sockets;
  let looks = 0;
  const ended: Socket[] = [];
  const descriptors = createDescriptorGuard({
    connections: {
      busyCount: () => 0,
      count: () => sockets.length,
      isUnused: () => true,
      quietMs: socket => {
        // The second look is the one before its end.
        if (socket === asSocket(first) && ++looks === 2) throw BROKEN;
        return LONG_MS;
      },
      visitQuiet: (_leastMs, visit) =>
        sockets.forEach(socket =>
          visit(asSocket(socket), {statedMs: 0, awaitsHeaders: false}),
        ),
    },
    refusedCount: () => 0,
    maxDescriptors: 0,
    log: recorded.runtime.log,
    isEnding: () => false,
    endQuiet: socket => void ended.push(socket),
    guards,
  });
  descriptors.endSurplus();
  await new Promise<void>(afterPoll);
  expect(sockets.map(({isReset}) => isReset)).toEqual([true, false, false]);
  expect(ended).toEqual(sockets.slice(1));
  expect(callbacks()).toEqual(['descriptor end']);
});
