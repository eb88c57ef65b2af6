/** The ledger that grants permits for a replica with a request limit. */
import {describe, expect, test} from 'vitest';
import {
  MAX_RETRY_MS,
  createPermitLedger,
} from '../../src/direct/limits/permit_ledger.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {allowedInWindow, mostInLimitWindow} from '../support/request_limits.js';

const ask = (ratePerS: number, urgency = 1, count = 1) => ({
  ratePerS,
  urgency,
  count,
});

/** Longest time between two asks, in permits; there are three for each. */
const MAX_GAP_PERMITS = 2 / 3;

describe('a permit ledger', () => {
  // A new home cannot know what the earlier one granted just before.
  test('starts empty, at its time', () => {
    const ledger = createPermitLedger(1_500);
    expect(ledger.take(ask(1), 1_000).isGranted).toBe(false);
    expect(ledger.take(ask(1), 2_400).isGranted).toBe(false);
    expect(ledger.take(ask(1), 2_500).isGranted).toBe(true);
  });

  // Guards against a burst after a quiet time.
  test.each([0.25, 1, 1.4, 7.5, 40])(
    'keeps the bound at %d a second, whatever is asked for',
    ratePerS => {
      const random = createSeededRandom(Math.round(ratePerS * 100));
      const ledger = createPermitLedger(0);
      const sent: number[] = [];
      const gapMs = () => (random.next() * MAX_GAP_PERMITS * 1_000) / ratePerS;
      for (let now = 0; now < 120_000; now += gapMs()) {
        const isQuiet = now % 30_000 < 15_000;
        const wanted = ask(ratePerS, Math.floor(random.next() * 3));
        if (!isQuiet && ledger.take(wanted, now).isGranted) sent.push(now);
      }
      expect(mostInLimitWindow(sent)).toBeLessThanOrEqual(
        allowedInWindow(ratePerS),
      );
      expect(sent.length).toBeGreaterThan(0.8 * ratePerS * 60);
    },
  );

  test('makes later asks pay for one that wants several', () => {
    const ledger = createPermitLedger(0);
    expect(ledger.take(ask(1, 1, 3), 1_000).isGranted).toBe(true);
    expect(ledger.take(ask(1), 3_900).isGranted).toBe(false);
    expect(ledger.take(ask(1), 4_000).isGranted).toBe(true);
  });

  // Guards against callers that are sent away for as long as an earlier, lower
  // limit would have held them back.
  test('tells refused asks no time of a limit that has risen since', () => {
    const ledger = createPermitLedger(0);
    expect(ledger.take(ask(0.25), 0).retryAfterMs).toBe(MAX_RETRY_MS);
    const answers = [1, 2, 3].map(() => ledger.take(ask(100), 100));
    expect(answers.map(({isGranted}) => isGranted)).toEqual([
      true,
      true,
      false,
    ]);
    expect(answers[2].retryAfterMs).toBeLessThanOrEqual(20);
  });

  // Guards against rejected callers that all come back for the same permit.
  test('tells each refused ask a time of its own, which holds', () => {
    const ledger = createPermitLedger(0);
    const times = [1, 2, 3].map(() => ledger.take(ask(1), 0).retryAfterMs);
    expect(times).toEqual([1_000, 2_000, 3_000]);
    for (const at of times)
      expect(ledger.take(ask(1), at).isGranted).toBe(true);
  });

  test('tells no time beyond its bound', () => {
    const ledger = createPermitLedger(0);
    const times = Array.from(
      {length: 20},
      () => ledger.take(ask(1), 0).retryAfterMs,
    );
    expect(Math.max(...times)).toBe(MAX_RETRY_MS);
  });

  // Guards against permits that go to less urgent requests, which are more.
  test('keeps the last permit for a more urgent ask that comes back', () => {
    const ledger = createPermitLedger(0);
    const urgent = ask(1, 0);
    const other = ask(1, 5);
    const {retryAfterMs} = ledger.take(urgent, 500);
    expect(retryAfterMs).toBe(500);
    expect(ledger.take(other, 1_000).isGranted).toBe(false);
    expect(ledger.take(urgent, 1_000).isGranted).toBe(true);
    expect(ledger.take(other, 2_300).isGranted).toBe(true);
  });

  // Guards against a limit that varies a little and takes the permits that are
  // kept for urgent requests.
  test('keeps permits for an urgent ask while the limit varies', () => {
    const ledger = createPermitLedger(0);
    const granted = {urgent: 0, other: 0};
    let urgentAt = 0;
    for (let now = 0; now < 20_000; now += 5) {
      const rate = now % 10 === 0 ? 10.1 : 9.9;
      if (now < urgentAt) {
        if (ledger.take(ask(rate, 5), now).isGranted) granted.other++;
        continue;
      }
      const {isGranted, retryAfterMs} = ledger.take(ask(rate, 0), now);
      if (isGranted) granted.urgent++;
      urgentAt = now + Math.max(5, retryAfterMs);
    }
    expect(granted.urgent).toBeGreaterThan(10 * granted.other);
  });
});
