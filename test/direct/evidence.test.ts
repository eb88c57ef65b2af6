/** How long keys may be accepted without news from the store. */
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
  // The process was suspended between its call and the answer, so the answer
  // may be as old as the suspension was long.
  test('does not count when it was requested before a suspension', async () => {
    const {clock, evidence, step} = setUp();
    await clock.runFor(1_000);
    step(60_000);
    evidence.confirm(1_000, 1_000);
    expect(evidence.isFresh()).toBe(false);
  });

  // The age in the answer was measured by the other entry. If it were
  // discarded, keys would be refused until that entry's next call.
  test('counts when another entry was queried after a suspension', async () => {
    const {clock, evidence, step} = setUp();
    await clock.runFor(1_000);
    step(60_000);
    expect(evidence.isFresh()).toBe(false);
    await clock.runFor(10);
    evidence.confirm(clock.now() - 900, clock.now());
    expect(evidence.ageMs()).toBe(900);
  });

  // The process is interrupted between the readings of the two clocks for
  // longer than they may drift apart.
  test.each(['before', 'after'])(
    'stays valid after an interruption %s a reading of the time of day',
    async at => {
      const clock = createVirtualClock();
      let pauseMs = 0;
      const wallMs = () => {
        const before = clock.now();
        clock.advance(pauseMs);
        pauseMs = 0;
        return at === 'after' ? before : clock.now();
      };
      const evidence = createStoreEvidence(clock, wallMs, LIMIT_MS);
      await clock.runFor(100);
      evidence.confirm(clock.now(), clock.now());
      pauseMs = 300;
      expect(evidence.ageMs()).toBe(300);
      expect(evidence.isFresh()).toBe(true);
    },
  );
});

describe('an entry that relies on confirmation by another', () => {
  // Between queries the evidence exceeds the limit of 2.25 s for up to a
  // quarter of a second. With answers that took 0.25 s, callers got 503.
  test('refuses no key between two of its queries', async () => {
    const clock = createVirtualClock();
    const evidence = createStoreEvidence(clock, () => clock.now(), 2_250);
    const peerEvidenceAgeMs = () => 1_000 + ((clock.now() + 390) % 1_000);
    const confirmation = createPeerConfirmation({
      clock,
      maxAgeMs: maxPeerEvidenceAgeMs(1_500),
      queryPeer: async () => {
        const askedAt = clock.now();
        await new Promise<void>(resolve => void clock.after(100, resolve));
        const evidenceAgeMs = peerEvidenceAgeMs();
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
      void waitForFreshEvidence(clock, evidence, confirmation.queryNow).then(
        isFresh => answers.push(isFresh),
      );
    });
    await clock.runFor(10_000);
    cancel();
    expect(new Set(answers)).toEqual(new Set([true]));
  });
});
