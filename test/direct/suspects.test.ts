/** Detecting requests that crash replicas. */
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {CrashReport} from '../../src/direct/crashes/crash_reports.js';
import {createSuspects} from '../../src/direct/crashes/suspects.js';
import type {Suspects} from '../../src/direct/crashes/suspects.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const A = 'a'.repeat(32);
const HOUR_MS = 3_600_000;

function createEntry(self = 'entry-1') {
  const clock = createVirtualClock();
  const changes: CrashReport[] = [];
  const quarantined: boolean[] = [];
  const suspects = createSuspects({
    clock,
    self,
    onChanged: report => changes.push(report),
    onQuarantined: (_report, isOwn) => quarantined.push(isOwn),
    onCleared: () => undefined,
  });
  return {clock, suspects, changes, quarantined};
}

function endReplicas(suspects: Suspects, ...replicas: readonly string[]): void {
  for (const replica of replicas) suspects.replicaEnded(A, replica);
}

describe('a request during whose runs replicas ended', () => {
  test('is refused from the third replica on', () => {
    const {suspects, quarantined} = createEntry();
    endReplicas(suspects, 'r1', 'r2');
    expect(suspects.isQuarantined(A)).toBe(false);
    endReplicas(suspects, 'r3');
    expect(suspects.isQuarantined(A)).toBe(true);
    expect(quarantined).toEqual([true]);
  });

  test('is not refused when the same replica is reported again', () => {
    const {suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r1', 'r1', 'r1');
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // When a failure domain is lost, three of its replicas may run a request that
  // is frequent and harmless.
  test('is not refused when it ran successfully just before', () => {
    const {suspects} = createEntry();
    suspects.runSucceeded(A);
    endReplicas(suspects, 'r1', 'r2', 'r3');
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  test('is served again after a successful run', () => {
    const {suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
    suspects.runSucceeded(A);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // The entry that observed the crashes does not know of these successful runs.
  test('is not refused when it ran successfully at another entry', () => {
    const one = createEntry('entry-1');
    const two = createEntry('entry-2');
    two.suspects.runSucceeded(A);
    endReplicas(one.suspects, 'r1', 'r2', 'r3');
    two.suspects.merge(one.changes);
    one.suspects.merge(two.changes);
    expect(one.suspects.isQuarantined(A)).toBe(false);
  });

  test('may run again after an hour', async () => {
    const {clock, suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
    await clock.runFor(HOUR_MS + 1);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // A harmless request that ran beside a crashing one looks the same.
  test('gets two trials and no more', async () => {
    const {clock, suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
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

  // The store is unavailable at the time of the claim.
  test('gets its trial later when the claim is not answered', async () => {
    const {clock, suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
    await clock.runFor(1_000);
    expect(suspects.dueTrial(A)).toBe(0);
    suspects.trialSettled(A, false);
    await clock.runFor(1_000);
    expect(suspects.dueTrial(A)).toBe(0);
  });

  // Another entry does not know of the release yet and sends its report.
  test('stays released when an older report arrives', () => {
    const {suspects, changes} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
    suspects.release(A);
    suspects.merge(changes);
    expect(suspects.isQuarantined(A)).toBe(false);
  });

  // One organisation sends thousands of requests, each of which ends a replica.
  test('stays quarantined when thousands of suspects are added', () => {
    const {suspects} = createEntry();
    endReplicas(suspects, 'r1', 'r2', 'r3');
    for (let at = 0; at < 5_000; at++) {
      suspects.replicaEnded(at.toString(16).padStart(32, '0'), `other-${at}`);
    }
    expect(suspects.isQuarantined(A)).toBe(true);
    expect(suspects.suspectCount()).toBe(1_000);
  });
});

describe('reports that entries exchange', () => {
  const digests = ['0', '1', '2'].map(it => it.repeat(32));
  const step = fc.record({
    at: fc.nat(2),
    digest: fc.constantFrom(...digests),
    replica: fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5'),
    isGood: fc.boolean(),
  });

  // Datagrams are lost, late and repeated; all entries must agree in the end.
  test('lead to the same result in any order', () => {
    fc.assert(
      fc.property(
        fc.array(step, {maxLength: 30}),
        fc.infiniteStream(fc.nat(5)),
        (steps, draws) => {
          const entries = [0, 1, 2].map(at => createEntry(`entry-${at}`));
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
