/** Whether a replica has ended under a run that broke off or was left. */
import {describe, expect, test} from 'vitest';
import type {PortState} from '../../src/direct/port_probe.js';
import {createLostRuns} from '../../src/direct/lost_runs.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const A = 'a'.repeat(32);
const B = 'b'.repeat(32);
const REPLICA: DirectReplica = {
  id: 'r1',
  name: 'r1',
  startedAt: undefined,
  service: 'pool',
  address: '127.0.0.1:1',
  failureDomain: 'domain-1',
  places: 8,
  leaving: false,
};
const LOOKED_MS = 500;
const LATE_MS = 6_000;

function entry(dialled: PortState, isLeaving = false) {
  const clock = createVirtualClock();
  const ended: string[] = [];
  let dials = 0;
  const runs = createLostRuns({
    clock,
    probePort: () => {
      dials++;
      return Promise.resolve(dialled);
    },
    isLeaving: () => isLeaving,
    onEnded: digest => ended.push(digest),
  });
  return {clock, runs, ended, dials: () => dials};
}

describe('a replica under a run that broke off', () => {
  test('has ended when it refuses connections', async () => {
    const {clock, runs, ended, dials} = entry('refused');
    runs.runBroken(A, REPLICA);
    runs.runBroken(B, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([A, B]);
    expect(dials()).toBe(1);
  });

  // Answers are cut, connections are reset: the replica lives on.
  test('has not ended when it listens', async () => {
    const {clock, runs, ended} = entry('open');
    runs.runBroken(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    runs.recordRemoved('r1');
    expect(ended).toEqual([]);
  });

  test('has not ended by what a cut link shows', async () => {
    const {clock, runs, ended} = entry('silent');
    runs.runBroken(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([]);
  });

  test('has ended without a crash when it was told to leave', async () => {
    const {clock, runs, ended} = entry('refused', true);
    runs.runBroken(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([]);
  });

  // Nothing resets the connection; the later start shows the end.
  test('has ended when it is found started again soon after', async () => {
    const {clock, runs, ended} = entry('silent');
    runs.runBroken(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    runs.replicaEnded('r1');
    expect(ended).toEqual([A]);
  });
});

describe('a replica under a run that its caller left', () => {
  // A caller that leaves within a tenth of a second never sees the crash.
  test('has ended under it when another run shows so', async () => {
    const {clock, runs, ended} = entry('refused');
    runs.runCancelled(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([]);
    runs.runBroken(B, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([A, B]);
  });

  test('has ended under it when its record goes soon after', () => {
    const {runs, ended} = entry('silent');
    runs.runCancelled(A, REPLICA);
    runs.recordRemoved('r1');
    expect(ended).toEqual([A]);
  });

  test('has not ended under it when it ends much later', async () => {
    const {clock, runs, ended} = entry('silent');
    runs.runCancelled(A, REPLICA);
    await clock.runFor(LATE_MS);
    runs.replicaEnded('r1');
    expect(ended).toEqual([]);
  });

  test('is looked for where the request is suspect already', async () => {
    const {clock, runs, ended} = entry('refused');
    runs.suspectRunCancelled(A, REPLICA);
    await clock.runFor(LOOKED_MS);
    expect(ended).toEqual([A]);
  });
});
