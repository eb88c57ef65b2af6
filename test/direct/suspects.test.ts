/** Which requests are found to crash replicas. */
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {CrashReport} from '../../src/direct/crash_reports.js';
import {createSuspects} from '../../src/direct/suspects.js';
import type {Suspects} from '../../src/direct/suspects.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const A = 'a'.repeat(32);
const HOUR_MS = 3_600_000;

function entry(self = 'entry-1') {
  const clock = createVirtualClock();
  const news: CrashReport[] = [];
  const quarantined: boolean[] = [];
  const suspects = createSuspects({
    clock,
    self,
    onChanged: report => news.push(report),
    onQuarantined: (_report, isOwn) => quarantined.push(isOwn),
    onCleared: () => undefined,
  });
  return {clock, suspects, news, quarantined};
}

function endUnder(suspects: Suspects, ...replicas: readonly string[]): void {
  for (const replica of replicas) suspects.replicaEnded(A, replica);
}

describe('a request under which replicas ended', () => {
  test('is refused from the third one on', () => {
    const {suspects, quarantined} = entry();
    endUnder(suspects, 'r1', 'r2');
    expect(suspects.isQuarantined(A)).toBe(false);
    endUnder(suspects, 'r3');
    expect(suspects.isQuarantined(A)).toBe(true);
    expect(quarantined).toEqual([true]);
  });

  test('is not refused for the same replica again', () => {
    const {suspects} = entry();
    endUnder(suspects, 'r1', 'r1', 'r1', 'r1');
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // Three replicas of a domain that is lost run what is asked all the time.
  test('is not refused when it ran well just before', () => {
    const {suspects} = entry();
    suspects.runSucceeded(A);
    endUnder(suspects, 'r1', 'r2', 'r3');
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  test('is served again when a run of it ends well', () => {
    const {suspects} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    suspects.runSucceeded(A);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // Good runs at one entry are unknown to the one that saw the crashes.
  test('is not refused when it ran well at another entry', () => {
    const one = entry('entry-1');
    const two = entry('entry-2');
    two.suspects.runSucceeded(A);
    endUnder(one.suspects, 'r1', 'r2', 'r3');
    two.suspects.merge(one.news);
    one.suspects.merge(two.news);
    expect(one.suspects.isQuarantined(A)).toBe(false);
  });

  test('may run again after an hour', async () => {
    const {clock, suspects} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    await clock.runFor(HOUR_MS + 1);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // What ran beside a request that crashes replicas looks like it.
  test('is tried twice, and no more', async () => {
    const {clock, suspects} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    expect(suspects.dueTrial(A)).toBe(undefined);
    await clock.runFor(1_000);
    expect(suspects.dueTrial(A)).toBe(0);
    expect(suspects.dueTrial(A)).toBe(undefined);
    suspects.trialSettled(A, true);
    await clock.runFor(9_000);
    expect(suspects.dueTrial(A)).toBe(1);
    suspects.trialSettled(A, true);
    await clock.runFor(HOUR_MS / 2);
    expect(suspects.dueTrial(A)).toBe(undefined);
  });

  // The store is away just then.
  test('is tried later when nobody answers the claim', async () => {
    const {clock, suspects} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    await clock.runFor(1_000);
    expect(suspects.dueTrial(A)).toBe(0);
    suspects.trialSettled(A, false);
    await clock.runFor(1_000);
    expect(suspects.dueTrial(A)).toBe(0);
  });

  // Another entry has not heard of the release yet, and tells what it knows.
  test('stays released against a report that was on its way', () => {
    const {suspects, news} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    suspects.release(A);
    suspects.merge(news);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // One organisation sends thousands of requests, each of which ends a replica.
  test('is not forgotten for thousands of others', () => {
    const {suspects} = entry();
    endUnder(suspects, 'r1', 'r2', 'r3');
    for (let at = 0; at < 5_000; at++) {
      suspects.replicaEnded(at.toString(16).padStart(32, '0'), `other-${at}`);
    }
    expect(suspects.isQuarantined(A)).toBe(true);
    expect(suspects.suspectCount()).toBe(1_000);
  });
});

describe('what entries tell each other', () => {
  const digests = ['0', '1', '2'].map(it => it.repeat(32));
  const step = fc.record({
    at: fc.nat(2),
    digest: fc.constantFrom(...digests),
    replica: fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5'),
    isGood: fc.boolean(),
  });

  // Datagrams are lost, late and repeated; all must judge alike in the end.
  test('comes to the same in whatever order it is heard', () => {
    fc.assert(
      fc.property(
        fc.array(step, {maxLength: 30}),
        fc.infiniteStream(fc.nat(5)),
        (steps, draws) => {
          const entries = [0, 1, 2].map(at => entry(`entry-${at}`));
          const ended = new Map(digests.map(it => [it, new Set<string>()]));
          const good = new Map(digests.map(it => [it, 0]));
          for (const {at, digest, replica, isGood} of steps) {
            const {suspects} = entries[at];
            const mayRun = !suspects.isQuarantined(digest);
            if (isGood && mayRun && suspects.isSuspect(digest)) {
              suspects.runSucceeded(digest);
              good.set(digest, (good.get(digest) ?? 0) + 1);
            } else if (!isGood) {
              suspects.replicaEnded(digest, replica);
              ended.get(digest)?.add(replica);
            }
            const [from] = draws.next().value === 0 ? entries : [];
            entries[at].suspects.merge(from?.suspects.nextReports(2) ?? []);
          }
          for (const one of entries) {
            for (const other of entries) {
              one.suspects.merge(other.suspects.nextReports(10));
            }
          }
          for (const one of entries) {
            for (const other of entries) {
              one.suspects.merge(other.suspects.nextReports(10));
            }
          }
          for (const digest of digests) {
            const ends = ended.get(digest)?.size ?? 0;
            const isTooMany = ends >= 3 + 2 * (good.get(digest) ?? 0);
            for (const {suspects} of entries) {
              expect(suspects.isQuarantined(digest)).toBe(isTooMany);
            }
          }
        },
      ),
      {seed: 35, numRuns: 300},
    );
  });
});
