/** More connections of callers than the process has descriptors. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {
  longestIdle,
  mayAccept,
  surplusOf,
} from '../../src/direct/callers/descriptor_use.js';
import {
  ask,
  openIdleCaller,
  openRawCaller,
  startCallersServer,
} from '../support/callers_server.js';
import type {
  CallersServerFixture,
  RawCaller,
} from '../support/callers_server.js';
import {until} from '../support/direct_fleet.js';

/** 800 of them are for callers' connections and their requests. */
const MAX_DESCRIPTORS = 1_000;

const useOf = (connections: number, busy: number) => ({
  connections,
  busy,
  maxDescriptors: MAX_DESCRIPTORS,
});

describe('the descriptors of callers', () => {
  // Guards against connections that leave no descriptor for replicas, so that
  // every request is refused.
  test('leave room for the connection of each request to its replica', () => {
    expect(mayAccept(useOf(798, 0))).toBe(true);
    expect(mayAccept(useOf(799, 0))).toBe(false);
    expect(mayAccept(useOf(399, 399))).toBe(true);
    expect(mayAccept(useOf(400, 399))).toBe(false);
  });

  // Guards against a host with few descriptors that accepts nobody.
  test('are half of all on a host that has few', () => {
    const use = {connections: 0, busy: 0, maxDescriptors: 100};
    expect(mayAccept({...use, connections: 48})).toBe(true);
    expect(mayAccept({...use, connections: 49})).toBe(false);
  });

  // Guards against idle connections that are ended without need.
  test('have a surplus only when they are nearly used up', () => {
    expect(surplusOf(useOf(640, 0))).toBe(0);
    expect(surplusOf(useOf(600, 100))).toBe(60);
  });

  test('are taken from the connections that have idled longest', () => {
    const idleMs = new Map([
      ['a', 10],
      ['b', 30],
      ['c', 20],
    ]);
    expect(longestIdle(idleMs, 2)).toEqual(['b', 'c']);
  });
});

describe('a new connection beyond the descriptors', () => {
  /** Half of them are for callers. */
  const FEW = 20;
  const callers: RawCaller[] = [];
  let fixture: CallersServerFixture;
  afterEach(async () => {
    for (const {socket} of callers.splice(0)) socket.destroy();
    await fixture.server.close();
  });

  const open = (count: number): readonly RawCaller[] => {
    const opened = Array.from({length: count}, () =>
      openRawCaller(fixture.address),
    );
    callers.push(...opened);
    return opened;
  };
  const lines = () =>
    fixture.runtime.events.filter(
      ({event}) => event.name === 'direct-descriptors-short',
    );

  // Guards against connections that are taken although nothing is left to serve
  // their requests, and against a shortage that no line tells of.
  test('is closed unread', async () => {
    fixture = await startCallersServer({}, undefined, FEW);
    open(FEW / 2 - 1);
    await sleep(100);
    const [late] = open(1);
    await until(() => late.closedBy() !== undefined);
    await until(() => lines().length > 0);
    expect(lines()[0].fields).toMatchObject({
      maxDescriptors: FEW,
      unaccepted: 1,
    });
  });

  // Guards against idle connections that keep new callers out for as long as
  // their limit.
  test('is served when the connections that idled longest have ended', async () => {
    fixture = await startCallersServer({}, undefined, FEW);
    const oldest = await openIdleCaller(fixture.address);
    callers.push(oldest);
    await sleep(200);
    const later = open(FEW / 2 - 2);
    await until(() => oldest.closedBy() === 'end');
    await sleep(2_500);
    const [late] = open(1);
    expect(await ask(late, '/late')).toContain('answer to /late');
    const kept = later.filter(({closedBy}) => closedBy() === undefined);
    expect(kept.length).toBeGreaterThanOrEqual(FEW / 2 - 3);
  }, 10_000);

  // Guards against a request that is lost to a shortage: one under way is kept.
  test('ends no connection on which a request is open', async () => {
    fixture = await startCallersServer(
      {},
      (req, res) => {
        setTimeout(() => res.end(`answer to ${req.url}`), 3_000);
      },
      FEW,
    );
    const first = open(1)[0];
    const answer = ask(first, '/first');
    await sleep(100);
    open(FEW / 2 - 3);
    expect(await answer).toContain('answer to /first');
  }, 10_000);
});
