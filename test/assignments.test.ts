/** An entry's count of its own assignments to a side without new load reports. */
import {describe, expect, it} from 'vitest';
import type {RoutingPolicy} from '../src/policy/routing.js';
import {createRoutingPolicies} from '../src/policy/routing_policies.js';
import {startEntry} from './support/entry_fixture.js';
import {sendThreeChunks, failed} from './support/scripted_side.js';
import type {SideScript} from './support/scripted_side.js';

/** Time after which ended attempts no longer count, in milliseconds. */
const ENDED_ATTEMPT_MS = 11_000;

/** An entry, and the number of own assignments that the last decision used. */
async function startObservedEntry(sides: readonly SideScript[]) {
  const policy = createRoutingPolicies()('least-requests');
  let lastCounts: readonly number[] = [];
  const routingPolicy: RoutingPolicy = input => {
    lastCounts = input.targets.map(target => target.unreportedRequests);
    return policy(input);
  };
  const entry = await startEntry({
    sides,
    requests: {routingPolicy: () => routingPolicy},
  });
  const countAssignments = async () => {
    entry.submit();
    await entry.clock.runFor(1);
    return lastCounts.reduce((sum, count) => sum + count, 0);
  };
  return {entry, countAssignments};
}

describe('the assignments of an entry', () => {
  // Heartbeats get no answers, so no report includes the requests. If they were
  // kept, lists would grow, and the side that served most would look busiest.
  it('are dropped when their request ends without a report', async () => {
    const {entry, countAssignments} = await startObservedEntry([{}, {}]);
    for (let count = 0; count < 50; count++) {
      entry.submit();
      await entry.clock.runFor(100);
    }
    await entry.clock.runFor(ENDED_ATTEMPT_MS);
    expect(await countAssignments()).toBe(0);
  });

  it('are dropped when the run fails', async () => {
    const {entry, countAssignments} = await startObservedEntry([
      {run: (_, run) => run.send(failed(run.dispatchId, 'yes', 'bad-request'))},
    ]);
    entry.submit();
    await entry.clock.runFor(ENDED_ATTEMPT_MS);
    expect(await countAssignments()).toBe(0);
  });

  it('count while their request runs', async () => {
    const {entry, countAssignments} = await startObservedEntry([
      {run: () => undefined},
    ]);
    entry.submit();
    await entry.clock.runFor(ENDED_ATTEMPT_MS);
    expect(await countAssignments()).toBe(1);
  });

  it('are dropped at all members when a group ends', async () => {
    const member: SideScript = {
      run: (side, run) => {
        const offer = side.offers.find(
          one => one.dispatchId === run.dispatchId,
        );
        if (offer?.group?.lead === true) sendThreeChunks(side, run);
        else run.send({kind: 'started'});
      },
    };
    const {entry, countAssignments} = await startObservedEntry([
      member,
      member,
      member,
    ]);
    const caller = entry.submit({promptTokens: 1_000_000, deadlineAt: 600_000});
    await entry.clock.runFor(ENDED_ATTEMPT_MS);
    expect(caller.final()).toMatchObject({kind: 'end'});
    expect(await countAssignments()).toBe(0);
  });
});
