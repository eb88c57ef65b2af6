/** When an entry sends its load to its peers. */
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
  hasLongPrefill = false,
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
    clock.every(1_000 / changesPerS, () =>
      broadcast.loadChanged(hasLongPrefill),
    );
  }
  await clock.runFor(SECONDS * 1_000);
  broadcast.stop();
  const gaps = farTimes.slice(1).map((at, index) => at - farTimes[index]);
  return {perS: sent / SECONDS, longestGapMs: Math.max(0, ...gaps)};
}

describe('an entry whose load changes', () => {
  test('sends every change while there are few peers', async () => {
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

describe('a long prefill', () => {
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

describe('a change at engines of one failure domain', () => {
  /** Times at which datagrams went to each of the other domains. */
  function startBroadcast(domains = ['b', 'c'], peersPerDomain = 15) {
    const clock = createVirtualClock();
    const sent: {readonly domain: string; readonly at: number}[] = [];
    const peers = domains.flatMap(domain =>
      Array.from({length: peersPerDomain}, (_, at) => ({domain, at})),
    );
    const broadcast = createLoadBroadcast<(typeof peers)[number]>({
      clock,
      sameDomainPeers: () => [],
      otherDomainPeers: () => peers,
      domainOf: ({domain}) => domain,
      send: ([first]) => {
        if (first) sent.push({domain: first.domain, at: clock.now()});
      },
    });
    const timesOf = (domain: string) =>
      sent.filter(it => it.domain === domain).map(({at}) => at);
    return {clock, broadcast, timesOf};
  }
  // With 30 peers in other domains, they hear of other engines 5 times a
  // second.
  const OUTSIDE_INTERVAL_MS = 200;

  // Two entries that use the same engines would choose the same one.
  test('is sent at once to the entries of that domain', async () => {
    const {clock, broadcast, timesOf} = startBroadcast();
    for (let change = 0; change < 10; change++) {
      broadcast.loadChanged(false, new Set(['b']));
      await clock.runFor(50);
    }
    broadcast.stop();
    expect(timesOf('b')).toEqual([
      0, 50, 100, 150, 200, 250, 300, 350, 400, 450,
    ]);
    expect(timesOf('c')).toEqual([0, 200, 400]);
  });

  test('reaches other domains soon, though nothing changes any more', async () => {
    const {clock, broadcast, timesOf} = startBroadcast();
    broadcast.loadChanged(false, new Set(['b']));
    await clock.runFor(10);
    broadcast.loadChanged(false, new Set(['a']));
    await clock.runFor(OUTSIDE_INTERVAL_MS);
    broadcast.stop();
    expect(timesOf('b')).toEqual([0, OUTSIDE_INTERVAL_MS]);
    expect(timesOf('c')).toEqual([0, OUTSIDE_INTERVAL_MS]);
  });

  test.each([
    ['a long prefill', true, ['a']],
    ['a call of a plain service', false, [undefined]],
  ])('is sent to all domains at once if it is %s', (_name, isLong, domains) => {
    const {broadcast, timesOf} = startBroadcast();
    broadcast.loadChanged(false, new Set(['a']));
    broadcast.loadChanged(isLong, new Set(domains));
    broadcast.stop();
    expect(timesOf('b')).toEqual([0, 0]);
    expect(timesOf('c')).toEqual([0, 0]);
  });

  // Guards against a change that is lost when it was due while long prefills had
  // overdrawn the budget.
  test('reaches all domains also after long prefills at once', async () => {
    const domains = ['b', 'c', 'd'];
    const {clock, broadcast, timesOf} = startBroadcast(domains, 100);
    broadcast.loadChanged(true, new Set(['a']));
    broadcast.loadChanged(true, new Set(['a']));
    const overdrawnAt = clock.now();
    broadcast.loadChanged(false, new Set(['a']));
    await clock.runFor(10_000);
    broadcast.stop();
    for (const domain of domains) {
      expect(timesOf(domain).some(at => at > overdrawnAt)).toBe(true);
    }
  });
});

describe('an error while the load is sent', () => {
  /** The first call that `isFailing` picks throws. */
  function createFailing(isFailing: (to: readonly string[]) => boolean) {
    const clock = createVirtualClock();
    const sent: Array<readonly [peer: string, at: number]> = [];
    let hasFailed = false;
    let failsTimer = false;
    const broadcast = createLoadBroadcast<string>({
      clock: {
        ...clock,
        after: (delayMs, fn) => {
          if (!failsTimer) return clock.after(delayMs, fn);
          failsTimer = false;
          throw new Error('no timer');
        },
      },
      sameDomainPeers: () => ['near'],
      otherDomainPeers: () => ['far-1', 'far-2'],
      domainOf: peer => peer,
      limits: {datagramsPerS: 4, outsideDatagramsPerS: 4},
      send: to => {
        if (!hasFailed && isFailing(to)) {
          hasFailed = true;
          throw new Error('not sent');
        }
        to.forEach(peer => sent.push([peer, clock.now()]));
      },
    });
    return {
      clock,
      sent,
      broadcast,
      failTimer: () => {
        failsTimer = true;
      },
    };
  }

  // Guards against a change that is known a whole interval later, or only at the
  // next change, since it counted as sent.
  test.each(['near', 'far-1', 'far-2'])(
    'costs no other peer the change, and is made up for at the next heartbeat: %s',
    async failing => {
      const {clock, sent, broadcast} = createFailing(to => to[0] === failing);
      expect(() => broadcast.loadChanged(false)).toThrow('not sent');
      const others = ['near', 'far-1', 'far-2'].filter(it => it !== failing);
      expect(sent.map(([peer]) => peer)).toEqual(others);
      await clock.runFor(HEARTBEAT_MS);
      broadcast.heartbeat();
      expect(sent.filter(([peer]) => peer === failing)).toEqual([
        [failing, HEARTBEAT_MS],
      ]);
    },
  );

  // Guards against changes that are kept out by a send that is never due.
  test('at the timer of a delayed change leaves the next change its own', async () => {
    const {clock, sent, broadcast, failTimer} = createFailing(() => false);
    broadcast.loadChanged(false);
    broadcast.loadChanged(false);
    failTimer();
    expect(() => broadcast.loadChanged(false)).toThrow('no timer');
    sent.length = 0;
    broadcast.loadChanged(false);
    await clock.runFor(1_000);
    const peers = new Set(sent.map(([peer]) => peer));
    expect(peers).toEqual(new Set(['near', 'far-1', 'far-2']));
  });
});
