/** Which bodies are read by the memory of the process, and what is reported. */
import {describe, expect, test} from 'vitest';
import {memoryShares} from '../../src/direct/decide/memory_share.js';
import {createMemoryReports} from '../../src/direct/held/memory_reports.js';
import {createMemoryRoom} from '../../src/direct/held/memory_room.js';
import type {MemoryReading} from '../../src/direct/held/process_memory.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../support/virtual_clock.js';

const MB = 1024 * 1024;
const CHUNK = 64 * 1024;
const SHARES = memoryShares(100 * MB);
const NO_WAIT = () => 0;
const stays = () => undefined;

function reading(residentMb: number, buffersMb = 0): MemoryReading {
  return {
    resident: residentMb * MB,
    heapUsed: 10 * MB,
    heapTotal: 10 * MB,
    arrayBuffers: buffersMb * MB,
    external: buffersMb * MB,
  };
}

function createRoom(first = reading(50), usedBytes = MB, smallBytes = 0) {
  const clock = createVirtualClock();
  let present = first;
  let presentUsed = usedBytes;
  const collected: string[] = [];
  const room = createMemoryRoom({
    clock,
    shares: SHARES,
    usedBytes: () => presentUsed,
    smallBytes: () => smallBytes,
    onReading: () => undefined,
    memory: {
      read: () => present,
      collect: kind => {
        collected.push(kind);
        if (kind === 'major') present = reading(50);
      },
    },
  });
  const set = (next: MemoryReading) => {
    present = next;
  };
  const setUsed = (bytes: number) => {
    presentUsed = bytes;
  };
  return {room, clock, collected, set, setUsed};
}

describe('a body', () => {
  // Guards against bodies that are counted only when they have been read.
  test('counts from its admission, before a byte of it has come', () => {
    const {room} = createRoom();
    expect(room.take(20 * MB, NO_WAIT, stays)).toBe(true);
    expect(room.hasRoom()).toBe(true);
    room.measure();
    const next = room.take(20 * MB, NO_WAIT, stays);
    expect(next).not.toBe(true);
    expect(room.take(1_000, NO_WAIT, stays)).toBe(true);
  });

  // Guards against large bodies, and the wait for them, that keep out all others.
  test('leaves small requests a share of their own', () => {
    const {room} = createRoom(reading(79));
    for (let sent = 0; sent < 100; sent++) {
      void room.take(2 * MB, () => 1_000, stays);
    }
    expect(room.take(200_000, NO_WAIT, stays)).not.toBe(true);
    for (let sent = 0; sent < 10; sent++) {
      expect(room.take(190_000, NO_WAIT, stays)).toBe(true);
    }
    const {room: used} = createRoom(reading(87), MB, 6 * MB);
    expect(used.take(100_000, NO_WAIT, stays)).toBe(false);
    const {room: full} = createRoom(reading(93));
    expect(full.take(100_000, NO_WAIT, stays)).toBe(false);
  });

  // Guards against room that is lost with callers that leave.
  test('leaves its room to others when it does not come', () => {
    const {room} = createRoom();
    expect(room.take(25 * MB, NO_WAIT, stays)).toBe(true);
    room.dropped(25 * MB);
    expect(room.take(25 * MB, NO_WAIT, stays)).toBe(true);
  });

  // Guards against an entry that rejects at once what it could serve a moment later.
  test('waits for room, in turn and no longer than it may', async () => {
    const {room, clock, set} = createRoom(reading(79));
    const first = room.take(2 * MB, () => 1_000, stays);
    const second = room.take(2 * MB, () => 100, stays);
    expect(room.isAwaited()).toBe(true);
    await clock.runFor(150);
    expect(await second).toBe(false);
    set(reading(60));
    await clock.runFor(100);
    expect(await first).toBe(true);
    expect(room.isAwaited()).toBe(false);
  });

  // Guards against a wait for a caller that has gone.
  test('stops waiting when its caller leaves', async () => {
    const {room} = createRoom(reading(79));
    let leave: () => void = () => undefined;
    const admitted = room.take(
      2 * MB,
      () => 1_000,
      run => (leave = run),
    );
    leave();
    expect(await admitted).toBe(false);
  });

  // Guards against an entry that rejects every large body for good, since the
  // allocator keeps what was freed.
  test('is admitted beyond its share while nothing else is held', () => {
    const {room} = createRoom(reading(85), 0);
    expect(room.take(5 * MB, NO_WAIT, stays)).toBe(true);
    expect(room.take(5 * MB, NO_WAIT, stays)).not.toBe(true);
    const {room: busy} = createRoom(reading(85));
    expect(busy.take(5 * MB, NO_WAIT, stays)).not.toBe(true);
  });

  // Guards against bodies that are rejected at once beside a single one, since
  // the allocator keeps what an earlier burst held.
  test('waits for another one beyond the share of small requests', async () => {
    const {room, clock, setUsed} = createRoom(reading(87), 4 * MB);
    const next = room.take(4 * MB, () => 1_000, stays);
    expect(room.isAwaited()).toBe(true);
    setUsed(0);
    await clock.runFor(100);
    expect(await next).toBe(true);
  });

  // Guards against bodies that wait in the room of small requests.
  test('is rejected at once there beside a few that wait', () => {
    const {room} = createRoom(reading(87), 4 * MB);
    const taken = Array.from({length: 20}, () =>
      room.take(4 * MB, () => 1_000, stays),
    );
    expect(taken.filter(it => it !== false).length).toBeLessThanOrEqual(5);
    expect(room.take(100_000, NO_WAIT, stays)).toBe(true);
  });

  // Guards against an entry that rejects all because buffers are not collected.
  test('has buffers collected that nothing uses', () => {
    const {room, collected} = createRoom(reading(80, 30));
    expect(room.take(20 * MB, NO_WAIT, stays)).toBe(true);
    expect(collected).toEqual(['minor', 'major']);
  });

  // Guards against chunks of bodies under way that pass the limit, since no
  // other body asks for room and so nothing collects them.
  test('has what was copied collected by its amount while memory is short', () => {
    const {room, collected} = createRoom(reading(60));
    expect(room.take(19 * MB, NO_WAIT, stays)).toBe(true);
    for (let read = 0; read < 1.5 * MB; read += CHUNK) room.filled(CHUNK);
    expect(collected).toEqual([]);
    for (let read = 0; read < 10.5 * MB; read += CHUNK) room.filled(CHUNK);
    expect(collected).toEqual(Array(6).fill('minor'));
  });

  // Guards against chunks of answers that pass the limit while nobody asks for
  // room.
  test('has buffers collected while memory is short, though none is asked for', async () => {
    const {room, clock, collected, set} = createRoom(reading(40));
    set(reading(70, 30));
    room.measure();
    await clock.runFor(100);
    expect(collected.length).toBeGreaterThanOrEqual(2);
    set(reading(40));
    await clock.runFor(100);
    const count = collected.length;
    await clock.runFor(1_000);
    expect(collected.length).toBe(count);
    room.stop();
  });

  // Guards against time that is spent on collections while there is room.
  test('has nothing collected by its amount while there is room', () => {
    const {room, collected} = createRoom(reading(40));
    expect(room.take(19 * MB, NO_WAIT, stays)).toBe(true);
    for (let read = 0; read < 19 * MB; read += CHUNK) room.filled(CHUNK);
    expect(collected).toEqual([]);
  });
});

describe('the memory of the process', () => {
  // Guards against an end by the host's limit that no line announces.
  test('is logged when it is high, with its parts, and when it is normal', () => {
    const {runtime, events} = createRecordingRuntime();
    const {log, metrics} = runtime;
    let now = 0;
    const report = createMemoryReports({
      log,
      metrics,
      shares: SHARES,
      now: () => now,
    });
    const held = {bodyBytes: 25 * MB, answerBytes: 2 * MB};
    for (const mb of [50, 85, 95, 70]) report(reading(mb, 30), held);
    now = 1_500;
    report(reading(40), held);
    expect(events.map(({event, fields}) => [event.name, fields])).toEqual([
      [
        'direct-memory-high',
        {
          residentMb: 85,
          limitMb: 100,
          heapMb: 10,
          buffersMb: 30,
          externalMb: 30,
          bodiesMb: 25,
          answersMb: 2,
        },
      ],
      [
        'direct-memory-normal',
        {residentMb: 40, limitMb: 100, highForMs: 1_500},
      ],
    ]);
    const shown = metrics.render();
    expect(shown).toContain(`onyxloft_memory_resident_bytes{} ${40 * MB}`);
    expect(shown).toContain(`onyxloft_memory_limit_bytes{} ${100 * MB}`);
  });
});
