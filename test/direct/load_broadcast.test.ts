/** When an entry sends its load to the others. */
import {describe, expect, test} from 'vitest';
import {
  HEARTBEAT_MS,
  createLoadBroadcast,
} from '../../src/direct/load_broadcast.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const SECONDS = 20;

/**
 * Datagrams per second that one entry sends while its load changes at this
 * rate.
 */
async function sentPerS(
  {near, far}: {readonly near: number; readonly far: number},
  changesPerS: number,
  hasLongRead = false,
) {
  const clock = createVirtualClock();
  const peers = (count: number, kind: string) =>
    Array.from({length: count}, (_, at) => `${kind}-${at}`);
  const farTimes: number[] = [];
  let sent = 0;
  const broadcast = createLoadBroadcast<string>({
    clock,
    sameDomainPeers: () => peers(near, 'near'),
    otherDomainPeers: () => peers(far, 'far'),
    send: to => {
      sent += to.length;
      if (to[0]?.startsWith('far')) farTimes.push(clock.now());
    },
  });
  clock.every(HEARTBEAT_MS, broadcast.heartbeat);
  if (changesPerS > 0) {
    clock.every(1_000 / changesPerS, () => broadcast.loadChanged(hasLongRead));
  }
  await clock.runFor(SECONDS * 1_000);
  broadcast.stop();
  const gaps = farTimes.slice(1).map((at, index) => at - farTimes[index]);
  return {perS: sent / SECONDS, longestGapMs: Math.max(0, ...gaps)};
}

describe('an entry whose load changes', () => {
  test('sends every change while there are few other entries', async () => {
    const {perS} = await sentPerS({near: 1, far: 3}, 15);
    expect(perS).toBeGreaterThan(55);
  });

  // At ten changes per second, each of 68 entries sent and read 670 datagrams
  // per second on a quarter of a core, which delayed short prompts.
  test('keeps to its budget for other domains, however many entries there are', async () => {
    const budgetPerS = 200;
    for (const far of [20, 54, 150]) {
      const {perS} = await sentPerS({near: 0, far}, 10);
      expect(perS).toBeLessThan(budgetPerS * 1.1);
    }
    // Beyond the budget, each entry still receives one heartbeat per second.
    const {perS} = await sentPerS({near: 0, far: 320}, 10);
    expect(perS).toBeLessThan(320 * 1.1);
  });

  test('sends to other domains before it counts as silent', async () => {
    for (const changesPerS of [0, 10]) {
      const {longestGapMs} = await sentPerS({near: 13, far: 54}, changesPerS);
      expect(longestGapMs).toBeLessThanOrEqual(1_200);
    }
  });

  test('does not exceed the budget for long prompts alone', async () => {
    const {perS} = await sentPerS({near: 0, far: 54}, 20, true);
    expect(perS).toBeLessThan(260);
  });
});

describe('a long prompt read', () => {
  // Two entries of different domains place long prompts within a second.
  // Without the report, both would use the same engines.
  test('is sent to other domains at once, also beyond the budget', () => {
    const clock = createVirtualClock();
    const sent: string[] = [];
    const telling = createLoadBroadcast<string>({
      clock,
      sameDomainPeers: () => [],
      otherDomainPeers: () => Array.from({length: 54}, (_, at) => `far-${at}`),
      send: to => void sent.push(...to.slice(0, 1)),
    });
    for (let change = 0; change < 9; change++) telling.loadChanged(false);
    const sentInBudget = sent.length;
    telling.loadChanged(true);
    expect(sentInBudget).toBeLessThan(9);
    expect(sent).toHaveLength(sentInBudget + 1);
    telling.stop();
  });
});
