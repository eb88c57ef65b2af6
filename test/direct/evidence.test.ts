/** Until when a key may be taken as valid. */
import {describe, expect, test} from 'vitest';
import {
  maxPeerEvidenceAgeMs,
  createPeerConfirmation,
} from '../../src/direct/peer_confirmation.js';
import {
  createStoreEvidence,
  waitForFreshEvidence,
} from '../../src/direct/evidence.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {IGNORED_CALLBACKS} from '../support/peer_confirmation.js';

const LIMIT_MS = 4_500;

function setUp() {
  const clock = createVirtualClock();
  let steppedMs = 0;
  const wallMs = () => clock.now() + steppedMs;
  return {
    clock,
    evidence: createStoreEvidence(clock, wallMs, LIMIT_MS),
    step: (ms: number) => {
      steppedMs += ms;
    },
  };
}

describe('evidence for keys', () => {
  // The process was suspended between its call and the answer: the time of day
  // ran ahead. The answer may be as old as the suspension was long.
  test('is void when it was asked for before a suspension', async () => {
    const {clock, evidence, step} = setUp();
    await clock.runFor(1_000);
    step(60_000);
    evidence.confirm(1_000, 1_000);
    expect(evidence.isFresh()).toBe(false);
  });

  // An entry that is cut off from the store was put off for a moment. Another
  // entry's word of afterwards rests on a call of before; its age was measured
  // there. Taken as void, every key was refused until the other asked anew.
  test('counts when another entry was asked after a suspension', async () => {
    const {clock, evidence, step} = setUp();
    await clock.runFor(1_000);
    step(60_000);
    expect(evidence.isFresh()).toBe(false);
    await clock.runFor(10);
    evidence.confirm(clock.now() - 900, clock.now());
    expect(evidence.ageMs()).toBe(900);
  });

  // The processor goes to another process between the reading of one clock and
  // of the other, for longer than the clocks may drift apart.
  test.each(['before', 'after'])(
    'outlives a pause %s a reading of the time of day',
    async at => {
      const clock = createVirtualClock();
      let pausesMs = 0;
      const wallMs = () => {
        const before = clock.now();
        clock.advance(pausesMs);
        pausesMs = 0;
        return at === 'after' ? before : clock.now();
      };
      const evidence = createStoreEvidence(clock, wallMs, LIMIT_MS);
      await clock.runFor(100);
      evidence.confirm(clock.now(), clock.now());
      pausesMs = 300;
      expect(evidence.ageMs()).toBe(300);
      expect(evidence.isFresh()).toBe(true);
    },
  );
});

describe('an entry that lives on the word of another', () => {
  // The other's watch of the configuration returns each second, so its evidence
  // is one to two seconds old, and half a second more when this entry asks for
  // it again: over a bound of 2.25 s for a quarter of a second. A request that
  // comes then waits for 0.4 s; with answers that take 0.25 s on a busy machine
  // the next turn came too late, and the caller got 503.
  test('refuses no key between two of its questions', async () => {
    const clock = createVirtualClock();
    const evidence = createStoreEvidence(clock, () => clock.now(), 2_250);
    const otherAgeMs = () => 1_000 + ((clock.now() + 390) % 1_000);
    const cover = createPeerConfirmation({
      clock,
      maxAgeMs: maxPeerEvidenceAgeMs(1_500),
      queryPeer: async () => {
        const askedAt = clock.now();
        await new Promise<void>(resolve => void clock.after(100, resolve));
        const evidenceAgeMs = otherAgeMs();
        const by = 'the other';
        await new Promise<void>(resolve => void clock.after(150, resolve));
        return {
          era: 1,
          configVersion: 1,
          replicasDigest: '',
          askedAt,
          evidenceAgeMs,
          node: by,
          ip: '127.0.0.1',
          port: 1,
        };
      },
      ownKnowledge: () => ({era: 1, configVersion: 1, replicasDigest: ''}),
      ...IGNORED_CALLBACKS,
      onConfirmed: evidence.confirm,
    });
    await clock.runFor(2_000);
    const answers: boolean[] = [];
    const cancel = clock.every(50, () => {
      void waitForFreshEvidence(clock, evidence, cover.queryNow).then(isFresh =>
        answers.push(isFresh),
      );
    });
    await clock.runFor(10_000);
    cancel();
    expect(new Set(answers)).toEqual(new Set([true]));
  });
});
