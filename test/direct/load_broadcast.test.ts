/** When an entry tells the others of its load. */
import {describe, expect, test} from 'vitest';
import {
  HEARTBEAT_MS,
  createLoadBroadcast,
} from '../../src/direct/load_broadcast.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const SECONDS = 20;

/** Datagrams that one entry sends in a second, with its load changing. */
async function sentPerS(
  {near, far}: {readonly near: number; readonly far: number},
  changesPerS: number,
  isLong = false,
) {
  const clock = createVirtualClock();
  const peers = (count: number, kind: string) =>
    Array.from({length: count}, (_, at) => `${kind}-${at}`);
  const farTimes: number[] = [];
  let sent = 0;
  const telling = createLoadBroadcast<string>({
    clock,
    sameDomainPeers: () => peers(near, 'near'),
    otherDomainPeers: () => peers(far, 'far'),
    send: to => {
      sent += to.length;
      if (to[0]?.startsWith('far')) farTimes.push(clock.now());
    },
  });
  clock.every(HEARTBEAT_MS, telling.heartbeat);
  if (changesPerS > 0) {
    clock.every(1_000 / changesPerS, () => telling.loadChanged(isLong));
  }
  await clock.runFor(SECONDS * 1_000);
  telling.stop();
  const gaps = farTimes.slice(1).map((at, index) => at - farTimes[index]);
  return {perS: sent / SECONDS, longestGapMs: Math.max(0, ...gaps)};
}

describe('an entry whose load changes', () => {
  test('tells a few others of every change', async () => {
    const {perS} = await sentPerS({near: 1, far: 3}, 15);
    expect(perS).toBeGreaterThan(55);
  });

  // Sixty-eight entries told each other of every change. With ten changes a
  // second each of them sent 670 datagrams a second, and read as many on a
  // quarter of a core, so that short prompts waited for the entry itself.
  test('sends no more to other domains however many there are', async () => {
    const budgetPerS = 200;
    for (const far of [20, 54, 150]) {
      const {perS} = await sentPerS({near: 0, far}, 10);
      expect(perS).toBeLessThan(budgetPerS * 1.1);
    }
    // Beyond it each hears once a second that this entry is there.
    const {perS} = await sentPerS({near: 0, far: 320}, 10);
    expect(perS).toBeLessThan(320 * 1.1);
  });

  test('is heard of in other domains before it counts as silent', async () => {
    for (const changesPerS of [0, 10]) {
      const {longestGapMs} = await sentPerS({near: 13, far: 54}, changesPerS);
      expect(longestGapMs).toBeLessThanOrEqual(1_200);
    }
  });

  test('does not lift the budget by long prompts alone', async () => {
    const {perS} = await sentPerS({near: 0, far: 54}, 20, true);
    expect(perS).toBeLessThan(260);
  });
});

describe('a long read', () => {
  // Two entries of different domains place long prompts within a second. Told
  // late, the second is read on the same engines, inside the same passes.
  test('is told to other domains at once, also beyond the budget', () => {
    const clock = createVirtualClock();
    const told: string[] = [];
    const telling = createLoadBroadcast<string>({
      clock,
      sameDomainPeers: () => [],
      otherDomainPeers: () => Array.from({length: 54}, (_, at) => `far-${at}`),
      send: to => void told.push(...to.slice(0, 1)),
    });
    for (let change = 0; change < 9; change++) telling.loadChanged(false);
    const inBudget = told.length;
    telling.loadChanged(true);
    expect(inBudget).toBeLessThan(9);
    expect(told).toHaveLength(inBudget + 1);
    telling.stop();
  });
});
