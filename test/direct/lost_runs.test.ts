/** Detecting that a replica ended during a run that broke or was cancelled. */
import {describe, expect, test} from 'vitest';
import type {PortState} from '../../src/direct/crashes/port_probe.js';
import {createLostRuns} from '../../src/direct/crashes/lost_runs.js';
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
const PROBED_MS = 500;
/** Time after which a replica that answers no probe counts as ended. */
const GIVEN_UP_MS = 4_000;
const LATE_MS = 6_000;

function setUp(
  portState: PortState | (() => PortState),
  isLeaving = false,
  known: () => string | undefined = () => undefined,
) {
  const clock = createVirtualClock();
  const ended: string[] = [];
  let probeCount = 0;
  const runs = createLostRuns({
    clock,
    probePort: () => {
      probeCount++;
      const state = typeof portState === 'string' ? portState : portState();
      return Promise.resolve(state);
    },
    isLeaving: () => isLeaving,
    replicaAt: known,
    onEnded: (digest: string) => ended.push(digest),
  });
  return {clock, runs, ended, probes: () => probeCount};
}

describe('a replica whose connection broke during a run', () => {
  test('has ended when it refuses connections', async () => {
    const {clock, runs, ended, probes} = setUp('refused');
    runs.runBroken(A, REPLICA);
    runs.runBroken(B, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([A, B]);
    expect(probes()).toBe(1);
  });

  // Network faults also truncate answers and reset connections.
  test('has not ended when it listens', async () => {
    const {clock, runs, ended} = setUp('open');
    runs.runBroken(A, REPLICA);
    await clock.runFor(PROBED_MS);
    runs.recordRemoved(REPLICA);
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([]);
  });

  test('does not count as ended when the probe is not answered', async () => {
    const {clock, runs, ended} = setUp('silent');
    runs.runBroken(A, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([]);
  });

  test('has not crashed when it was told to leave', async () => {
    const {clock, runs, ended} = setUp('refused', true);
    runs.runBroken(A, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([]);
  });

  // The network does not answer, but a later start is announced.
  test('has ended when it is found to have restarted soon after', async () => {
    const {clock, runs, ended} = setUp('silent');
    runs.runBroken(A, REPLICA);
    await clock.runFor(PROBED_MS);
    runs.replicaEnded('r1');
    expect(ended).toEqual([A]);
  });
});

describe('a replica with a run whose caller left', () => {
  // A caller that leaves within a tenth of a second never observes the crash.
  test('has ended during it when another run shows the end', async () => {
    const {clock, runs, ended} = setUp('refused');
    runs.runCancelled(A, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([]);
    runs.runBroken(B, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([A, B]);
  });

  test('has ended during it when its record is removed soon after', async () => {
    const {clock, runs, ended, probes} = setUp('silent');
    runs.runCancelled(A, REPLICA);
    runs.recordRemoved(REPLICA);
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([A]);
    expect(probes()).toBeLessThan(6);
  });

  test('has not ended during it when it ends much later', async () => {
    const {clock, runs, ended} = setUp('silent');
    runs.runCancelled(A, REPLICA);
    await clock.runFor(LATE_MS);
    runs.replicaEnded('r1');
    expect(ended).toEqual([]);
  });

  test('is probed when the request is already suspect', async () => {
    const {clock, runs, ended} = setUp('refused');
    runs.suspectRunCancelled(A, REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([A]);
  });
});

describe('a replica whose record was removed', () => {
  // A paused replica writes no heartbeats, and its host still accepts
  // connections. Its runs counted as crashes.
  test.each([
    ['broke', 'runBroken'],
    ['was cancelled', 'runCancelled'],
  ] as const)(
    'has not ended during a run that %s when it listens',
    async (_, lose) => {
      const {clock, runs, ended} = setUp('open');
      runs[lose](A, REPLICA);
      runs.recordRemoved(REPLICA);
      await clock.runFor(GIVEN_UP_MS);
      expect(ended).toEqual([]);
    },
  );

  test('has not ended when it listens again a second later', async () => {
    let state: PortState = 'silent';
    const {clock, runs, ended} = setUp(() => state);
    runs.runBroken(A, REPLICA);
    await clock.runFor(PROBED_MS);
    runs.recordRemoved(REPLICA);
    await clock.runFor(1_000);
    state = 'open';
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([]);
  });

  // A removed replica counts as leaving, although it did not say so.
  test('has ended when it refuses connections', async () => {
    const {clock, runs, ended} = setUp('refused', true);
    runs.runCancelled(A, REPLICA);
    runs.recordRemoved(REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([A]);
  });

  // The port that answers is that of another replica.
  test('has ended when its address is that of another one', async () => {
    const {clock, runs, ended} = setUp('open', false, () => 'r2');
    runs.runCancelled(A, REPLICA);
    runs.recordRemoved(REPLICA);
    await clock.runFor(PROBED_MS);
    expect(ended).toEqual([A]);
  });

  test('has not ended when its record comes back', async () => {
    const known = {id: undefined as string | undefined};
    const {clock, runs, ended} = setUp('silent', false, () => known.id);
    runs.runBroken(A, REPLICA);
    runs.recordRemoved(REPLICA);
    await clock.runFor(PROBED_MS);
    known.id = 'r1';
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([]);
  });

  test('does not end runs that are lost later', async () => {
    const {clock, runs, ended} = setUp('silent');
    runs.runBroken(A, REPLICA);
    runs.recordRemoved(REPLICA);
    runs.runCancelled(B, REPLICA);
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([A]);
  });

  test('ends each run once when its restart shows meanwhile', async () => {
    const {clock, runs, ended} = setUp('silent');
    runs.runBroken(A, REPLICA);
    runs.recordRemoved(REPLICA);
    await clock.runFor(PROBED_MS);
    runs.replicaEnded('r1');
    await clock.runFor(GIVEN_UP_MS);
    expect(ended).toEqual([A]);
  });

  test('is not probed where it had no lost run', async () => {
    const {clock, runs, probes} = setUp('open');
    runs.recordRemoved(REPLICA);
    await clock.runFor(GIVEN_UP_MS);
    expect(probes()).toBe(0);
  });
});
