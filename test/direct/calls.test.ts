/** Calls at plain services that fail by themselves or break off. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createReplicaHealth} from '../../src/direct/replica_health.js';
import {createCallTimes} from '../../src/direct/call_times.js';
import {chooseCallReplica} from '../../src/direct/decide/choose_call_replica.js';
import {emptyLoad} from '../../src/direct/replica_load.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {
  answerWell,
  breakOff,
  signed,
} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {callEntry, startDirectFleet} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

describe('a call that may be repeated', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({desk: 1});
  });
  afterEach(() => fleet.close());

  const failing = (times: number): Behaviour => {
    let failed = 0;
    return (arrival, res, req) => {
      if (failed++ >= times) {
        answerWell(arrival, res, req);
        return;
      }
      res.writeHead(500, signed(arrival));
      res.end('failed');
    };
  };

  // Its kind fails by itself in one try of seven, and one replica is left of
  // three. The caller got that replica's failure, though a second try there
  // would have been answered.
  test('is tried again at the only replica there is', async () => {
    fleet.desk[0].behave(failing(1));
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
    expect(fleet.desk[0].arrivals).toHaveLength(2);
  });

  // All tries fail. The caller gets the replica's own failure, after as many
  // tries as the route has.
  test('ends with the failure after the tries that the route has', async () => {
    fleet.desk[0].behave(failing(9));
    const answer = await callEntry(fleet, '/again/');
    expect([answer.status, answer.body]).toEqual([500, 'failed']);
    expect(fleet.desk[0].arrivals).toHaveLength(2);
  });

  // The replica takes the call and breaks off. It may have run there, and may
  // not run again.
  test('is not, where it may run once only', async () => {
    fleet.desk[0].behave(breakOff);
    expect((await callEntry(fleet, '/once/')).status).toBe(502);
    expect(fleet.desk[0].arrivals).toHaveLength(1);
  });
});

describe('a replica that breaks off a third of its answers', () => {
  const replicas = ['a', 'b', 'c'].map(
    id => ({id, places: 6, failureDomain: 'd'}) as DirectReplica,
  );
  const CALLS = 600;
  const BETWEEN_MS = 60;

  /** Share of calls that were broken off; replica `a` is the bad one. */
  function replay(seed: number, sees: (brokenShare: number) => number): number {
    const random = createSeededRandom(seed);
    const clock = createVirtualClock();
    const health = createReplicaHealth(clock);
    let broken = 0;
    for (let call = 0; call < CALLS; call++) {
      clock.advance(BETWEEN_MS);
      const well = replicas.filter(({id}) => !health.isSuspect(id));
      const chosen = chooseCallReplica(
        well.map(replica => ({
          replica,
          load: emptyLoad(replica.id),
          slowness: 1,
          brokenShare: sees(health.brokenShare(replica.id)),
        })),
        {
          failureDomain: 'd',
          usualMs: 43,
          aimMs: 200,
          isOnce: true,
          draw: () => random.next(),
        },
      );
      const {id} = chosen?.replica ?? replicas[0];
      if (id === 'a' && random.next() < 0.35) {
        health.failed(id);
        broken++;
      } else {
        health.answered(id, 43, 43);
      }
    }
    return broken / CALLS;
  }

  // Calls that may run once come every 60 ms. Each one that breaks off is lost;
  // between two failures come successes, which end the suspicion, so the bad
  // replica got nearly its third of all calls.
  test.each([1, 2, 3])('gets few calls, seed %i', seed => {
    const unseen = replay(seed, () => 0);
    const seen = replay(seed, share => share);
    expect(seen).toBeLessThan(unseen / 3);
  });

  test('is tried again once its failures are long past', () => {
    const clock = createVirtualClock();
    const health = createReplicaHealth(clock);
    for (let at = 0; at < 5; at++) health.failed('a');
    expect(health.brokenShare('a')).toBeGreaterThan(0.5);
    clock.advance(60_000);
    expect(health.brokenShare('a')).toBeLessThan(0.01);
  });
});

describe('the usual time of a call', () => {
  test('is learned by service', () => {
    const times = createCallTimes();
    for (let call = 0; call < 200; call++) times.record('fast', 5);
    times.record('slow', 400);
    expect(times.meanMs('fast')).toBeCloseTo(5);
    expect(times.meanMs('slow')).toBe(400);
    expect(times.meanMs('unknown')).toBe(50);
  });
});
