/** Detecting parts of prompts that crash replicas. */
import {describe, expect, test} from 'vitest';
import {decodeDatagram, encodeDatagram} from '../../src/direct/datagrams.js';
import type {CrashReport} from '../../src/direct/crashes/crash_reports.js';
import {blamedParts} from '../../src/direct/crashes/part_verdict.js';
import type {SubjectType} from '../../src/direct/crashes/subjects.js';
import {createSuspects} from '../../src/direct/crashes/suspects.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const FIRST_PART = 'f'.repeat(32);
const BAD_PART = 'b'.repeat(32);
const OTHER_PART = 'c'.repeat(32);
/** Reports of other entries have been heard by then. */
const JUDGED_MS = 400;
const MINUTE_MS = 60_000;
/** All trials of two parts are due by then. */
const TRIALS_MS = 6_000;
const STEP_MS = 50;
/** Peers know by then which replica runs a trial, or that it has ended. */
const LEAST_APART_MS = 400;

const partAt = (position: number): SubjectType => ({kind: 'part', position});

function createEntry(self = 'entry-1', replyDelayMs = () => 0) {
  const clock = createVirtualClock();
  const changes: CrashReport[] = [];
  const quarantined: string[] = [];
  const suspects = createSuspects({
    clock,
    self,
    replyDelayMs,
    onChanged: report => changes.push(report),
    onQuarantined: ({digest}) => quarantined.push(digest),
    onCleared: digest => quarantined.splice(quarantined.indexOf(digest), 1),
  });
  /** A request with the first part and this one ran at each of the replicas. */
  const end = (part: string, ...replicas: readonly string[]) => {
    for (const replica of replicas) {
      suspects.replicaEnded(FIRST_PART, replica, partAt(0));
      suspects.replicaEnded(part, replica, partAt(1));
    }
  };
  return {clock, suspects, changes, quarantined, end};
}

describe('of the parts of requests during which replicas ended', () => {
  test('the one that has not run well is refused', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    suspects.partRanWell(FIRST_PART);
    end(BAD_PART, 'r1', 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
  });

  // All entries have restarted, so that nothing is known to have run well.
  test('the later one is refused when they crashed the same replicas', async () => {
    const {clock, quarantined, end} = createEntry();
    end(BAD_PART, 'r1', 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
  });

  test('the first one is refused when the later ones vary', async () => {
    const {clock, quarantined, end} = createEntry();
    end(BAD_PART, 'r1');
    end(OTHER_PART, 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([FIRST_PART]);
  });

  test('another one is refused when the refused one runs well', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    end(BAD_PART, 'r1', 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    suspects.partRanWell(BAD_PART);
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([FIRST_PART]);
  });

  test('none is refused after two replicas', async () => {
    const {clock, quarantined, end} = createEntry();
    end(BAD_PART, 'r1', 'r2', 'r2');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([]);
  });

  // The run seemed to end well just before its replica crashed.
  test('one whose last run has not been confirmed is refused', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    suspects.partSeemedToRunWell(BAD_PART, {id: 'r0', address: 'a'});
    end(BAD_PART, 'r1', 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
  });

  // Replicas of a new version may crash under a part that ran well before.
  test('one that ran well long ago may be refused', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    suspects.partRanWell(BAD_PART);
    await clock.runFor(MINUTE_MS + 1);
    end(BAD_PART, 'r1', 'r2', 'r3');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
  });

  // The request is sent again and again, each time with all its parts.
  test('none is refused for the crashes of a refused request', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    const request = 'd'.repeat(32);
    for (const replica of ['r1', 'r2', 'r3']) {
      suspects.replicaEnded(request, replica);
      end(OTHER_PART, replica);
    }
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([request]);
    end(OTHER_PART, 'r4', 'r5');
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([request, OTHER_PART]);
  });

  // A report names eight replicas at most, and a part may crash more.
  test('one that crashes on is refused however much others explain', async () => {
    const {clock, suspects, quarantined} = createEntry();
    const replicas = Array.from({length: 9}, (_, at) => `r${at}`);
    for (const replica of replicas) {
      const request = replica.charCodeAt(1).toString(16).repeat(16);
      for (const other of replicas) suspects.replicaEnded(request, other);
      suspects.replicaEnded(BAD_PART, replica, partAt(0));
    }
    await clock.runFor(JUDGED_MS);
    expect(quarantined).not.toContain(BAD_PART);
    for (const replica of ['r10', 'r11']) {
      suspects.replicaEnded(BAD_PART, replica, partAt(0));
    }
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toContain(BAD_PART);
  });

  // The second parts were blamed one after the other.
  test('a first one with many crashes explains those of later ones', () => {
    const replicas = Array.from({length: 20}, (_, at) => `r${at}`);
    const later = [0, 8].map(at => ({
      digest: `${at}`.repeat(32),
      ended: new Set(replicas.slice(at, at + 8)),
      position: 1,
    }));
    const first = {
      digest: FIRST_PART,
      ended: new Set(replicas),
      position: 0,
    };
    expect(blamedParts([...later, first], [])).toEqual([first]);
  });

  // Each of the sound requests stands in some of the part's crashes.
  test('one is refused although refused requests explain it together', () => {
    const crashes = {
      digest: BAD_PART,
      ended: new Set(['r1', 'r2', 'r3', 'r4', 'r5']),
      position: 1,
    };
    const refused = [new Set(['r1', 'r2', 'r3']), new Set(['r3', 'r4', 'r5'])];
    expect(blamedParts([crashes], refused)).toEqual([crashes]);
  });

  test('one with many crashes is still refused by the newest ones', async () => {
    const {clock, suspects, quarantined} = createEntry();
    for (let at = 0; at < 200; at++) {
      suspects.replicaEnded(BAD_PART, `r${at}`, partAt(0));
    }
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
  });
});

// The first trial may meet a replica that ends by itself.
test('a refused part gets its second trial within four seconds', async () => {
  const {clock, suspects, end} = createEntry();
  end(BAD_PART, 'r1', 'r2', 'r3');
  await clock.runFor(JUDGED_MS + 1_000);
  expect(suspects.dueTrial(BAD_PART)).toBe(0);
  suspects.trialSettled(BAD_PART, true);
  await clock.runFor(3_000);
  expect(suspects.dueTrial(BAD_PART)).toBe(1);
  suspects.trialSettled(BAD_PART, true);
  await clock.runFor(MINUTE_MS);
  expect(suspects.dueTrial(BAD_PART)).toBe(undefined);
});

// The part that crashes replicas would end the trial of the sound one as well:
// both entries may choose the same replica.
test('two refused parts get their trials apart from each other at any entry', async () => {
  const parts = [BAD_PART, FIRST_PART];
  const entries = [parts, [...parts].reverse()].map((inOrder, at) => {
    const entry = createEntry(`entry-${at}`);
    for (const replica of ['r1', 'r2', 'r3']) {
      for (const part of inOrder) {
        entry.suspects.replicaEnded(part, replica, partAt(0));
      }
    }
    return entry;
  });
  const trials: Array<{readonly part: string; readonly atMs: number}> = [];
  for (let atMs = 0; atMs < TRIALS_MS; atMs += STEP_MS) {
    for (const {clock} of entries) await clock.runFor(STEP_MS);
    for (const part of parts) {
      const due = entries.filter(
        ({suspects}) => suspects.dueTrial(part) !== undefined,
      );
      if (due.length > 0) trials.push({part, atMs});
      due.forEach(({suspects}) => suspects.trialSettled(part, true));
    }
  }
  expect(trials.map(({part}) => part).sort()).toEqual(
    [...parts, ...parts].sort(),
  );
  const gaps = trials.slice(1).map(({atMs}, at) => atMs - trials[at].atMs);
  expect(Math.min(...gaps)).toBeGreaterThanOrEqual(LEAST_APART_MS);
});

describe('an entry that has just started', () => {
  // It knows no part that ran well, and the first part stands in every crash.
  test('does not refuse a part that ran well at a peer', async () => {
    const one = createEntry('entry-1');
    const two = createEntry('entry-2');
    two.suspects.partRanWell(FIRST_PART);
    one.end(BAD_PART, 'r1');
    one.end(OTHER_PART, 'r2', 'r3');
    two.suspects.merge(one.changes);
    one.suspects.merge(two.changes);
    await one.clock.runFor(JUDGED_MS);
    expect(one.quarantined).toEqual([]);
    expect(one.suspects.isProven(FIRST_PART)).toBe(true);
  });

  test('gets one answer for all peers', async () => {
    const one = createEntry('entry-1');
    const two = createEntry('entry-2', () => 10);
    const three = createEntry('entry-3', () => 100);
    one.end(BAD_PART, 'r1');
    for (const {suspects} of [two, three]) {
      suspects.partRanWell(FIRST_PART);
      suspects.merge(one.changes);
    }
    await two.clock.runFor(50);
    three.suspects.merge(two.changes);
    await three.clock.runFor(200);
    expect(two.changes.map(({digest}) => digest)).toEqual([FIRST_PART]);
    expect(three.changes).toEqual([]);
  });
});

describe('a record of a refused part', () => {
  const record = {
    digest: BAD_PART,
    position: 1,
    ended: ['r1', 'r2', 'r3'],
    good: {},
  };

  // Ends of a request that was refused later would explain those of the part.
  test('is in force at an entry that restarts, at once', () => {
    const {suspects} = createEntry();
    const request = {digest: 'd'.repeat(32), ended: record.ended, good: {}};
    suspects.mergeRecords([request, record]);
    expect(suspects.isQuarantined(BAD_PART)).toBe(true);
  });

  test('is not in force where the part ran well lately', () => {
    const {suspects} = createEntry();
    suspects.partRanWell(BAD_PART);
    suspects.mergeRecords([record]);
    expect(suspects.isQuarantined(BAD_PART)).toBe(false);
  });

  test('is not in force just after an operator removed it', () => {
    const {suspects} = createEntry();
    suspects.mergeRecords([record]);
    suspects.release(BAD_PART);
    suspects.mergeRecords([record]);
    expect(suspects.isQuarantined(BAD_PART)).toBe(false);
  });
});

describe('reports of parts', () => {
  test('keep their type in datagrams', () => {
    const report = {digest: BAD_PART, position: 3, ended: ['r1'], good: {}};
    const bytes = encodeDatagram({kind: 'crashes', reports: [report]});
    expect(decodeDatagram(bytes).extract()).toEqual({
      kind: 'crashes',
      reports: [report],
    });
  });

  // An entry of an earlier version has passed the report on.
  test('are merged with what is known where their type is missing', async () => {
    const {clock, suspects, quarantined, end} = createEntry();
    end(BAD_PART, 'r1', 'r2');
    suspects.merge([{digest: BAD_PART, ended: ['r3'], good: {}}]);
    await clock.runFor(JUDGED_MS);
    expect(quarantined).toEqual([BAD_PART]);
    expect(suspects.quarantinedCount('part')).toBe(1);
  });

  // A caller sends ever new parts, each of which ends a replica.
  test('do not push out a part that crashes again and again', async () => {
    const {clock, suspects, end} = createEntry();
    for (let at = 0; at < 3; at++) {
      end(BAD_PART, `r${at}`);
      for (let other = 0; other < 900; other++) {
        const digest = (at * 1_000 + other).toString(16).padStart(32, '0');
        suspects.replicaEnded(digest, `other-${at}`, partAt(1));
      }
    }
    await clock.runFor(JUDGED_MS);
    expect(suspects.isQuarantined(BAD_PART)).toBe(true);
    expect(suspects.suspectCount()).toBe(1_000);
  });
});
