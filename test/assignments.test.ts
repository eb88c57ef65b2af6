/** What an entry counts of its own at a side whose load reports stand still. */
import {describe, expect, it} from 'vitest';
import type {RoutingPolicy} from '../src/policy/routing.js';
import {createRoutingPolicies} from '../src/policy/routing_policies.js';
import {startEntry} from './support/entry_fixture.js';
import {sendThreeChunks, failed} from './support/scripted_side.js';
import type {SideScript} from './support/scripted_side.js';

/** Attempts that are over no longer count after this. */
const OVER_FOR_MS = 11_000;

/** Shows what the last decision was told of the entry's own assignments. */
async function startWatched(sides: readonly SideScript[]) {
  const policy = createRoutingPolicies()('least-requests');
  let last: readonly number[] = [];
  const routingPolicy: RoutingPolicy = input => {
    last = input.targets.map(target => target.unreportedRequests);
    return policy(input);
  };
  const entry = await startEntry({
    sides,
    requests: {routingPolicy: () => routingPolicy},
  });
  const counted = async () => {
    entry.submit();
    await entry.clock.runFor(1);
    return last.reduce((sum, count) => sum + count, 0);
  };
  return {entry, counted};
}

describe('the assignments of an entry', () => {
  // No heartbeat is answered any more, so no report ever counts what was sent.
  // Requests come and end for hours: were they kept, the lists would grow, and
  // the side that once served most would look the busiest for good.
  it('are forgotten when their request ends without a report', async () => {
    const {entry, counted} = await startWatched([{}, {}]);
    for (let count = 0; count < 50; count++) {
      entry.submit();
      await entry.clock.runFor(100);
    }
    await entry.clock.runFor(OVER_FOR_MS);
    expect(await counted()).toBe(0);
  });

  it('are forgotten when the run fails', async () => {
    const {entry, counted} = await startWatched([
      {run: (_, run) => run.send(failed(run.dispatchId, 'yes', 'bad-request'))},
    ]);
    entry.submit();
    await entry.clock.runFor(OVER_FOR_MS);
    expect(await counted()).toBe(0);
  });

  it('count while their request goes on', async () => {
    const {entry, counted} = await startWatched([{run: () => undefined}]);
    entry.submit();
    await entry.clock.runFor(OVER_FOR_MS);
    expect(await counted()).toBe(1);
  });

  it('are forgotten at all members when a group ends', async () => {
    const member: SideScript = {
      run: (side, run) => {
        const offer = side.offers.find(
          one => one.dispatchId === run.dispatchId,
        );
        if (offer?.group?.lead === true) sendThreeChunks(side, run);
        else run.send({kind: 'started'});
      },
    };
    const {entry, counted} = await startWatched([member, member, member]);
    const caller = entry.submit({promptTokens: 1_000_000, deadlineAt: 600_000});
    await entry.clock.runFor(OVER_FOR_MS);
    expect(caller.final()).toMatchObject({kind: 'end'});
    expect(await counted()).toBe(0);
  });
});
