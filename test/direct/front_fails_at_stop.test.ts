/** A stop of the entry in which the service that serves callers fails. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {KERNEL_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const GRACE_S = 4;
/** The entry accepts no connection any more. */
const CLOSED_AFTER_MS = 2_900;
/** The work of an open request, longer than the entry accepts connections. */
const OPEN_MS = 20_000;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({timing: {graceS: GRACE_S}});
});
afterEach(() => fleet.close());

/** Lets the service fail as an error in it does. */
async function failFront(): Promise<void> {
  const failures = () =>
    fleet.runtime.eventsOf(KERNEL_EVENTS.serviceFailed).length;
  const before = failures();
  // Messages that were sent before, such as that of the drain, are handled.
  await isReady();
  fleet.entry.kernel.fail('direct', new Error('a fault'));
  await until(() => failures() > before);
}

const isRunning = () => fleet.entry.kernel.runningServices().includes('direct');

const isReady = (): Promise<boolean> =>
  fleet.entry.kernel.ask('direct', (reply: (ready: boolean) => void) => ({
    kind: 'ready',
    reply,
  }));

describe('an entry whose front fails while it stops', () => {
  // Guards against an unhandled rejection, which ends the process at once.
  test('goes on to stop until its requests have ended', async () => {
    const from = performance.now();
    const drained = fleet.entry.drain();
    await failFront();
    await drained;
    const tookMs = performance.now() - from;
    expect(tookMs).toBeGreaterThan(2_000);
    expect(tookMs).toBeLessThan(GRACE_S * 1_000);
    expect(await fleet.entry.openRequests()).toBe(0);
  }, 20_000);

  // Guards against a load balancer that sends requests to an entry which ends.
  test('serves what still comes, is not ready and closes', async () => {
    const drained = fleet.entry.drain();
    drained.catch(() => undefined);
    await failFront();
    let answer: Awaited<ReturnType<typeof callEntry>> | undefined;
    await until(async () => {
      answer = await callEntry(fleet, '/again/').catch(() => undefined);
      return answer?.status === 200;
    });
    expect(answer?.headers.connection).toBe('close');
    expect(await isReady()).toBe(false);
    await drained;
    await expect(callEntry(fleet, '/again/')).rejects.toThrow();
  }, 20_000);

  // Guards against a new server after the entry has stopped accepting.
  test('accepts nothing more where it had stopped to', async () => {
    for (const replica of fleet.pool) replica.behave(() => undefined);
    const open = callEntry(fleet, '/long/a', {
      headers: {'X-Deadline-Ms': String(OPEN_MS)},
    }).catch(() => undefined);
    await until(() => fleet.pool.some(({arrivals}) => arrivals.length > 0));
    const drained = fleet.entry.drain();
    drained.catch(() => undefined);
    await sleep(CLOSED_AFTER_MS);
    await failFront();
    await open;
    await until(isRunning);
    await expect(callEntry(fleet, '/again/')).rejects.toThrow();
    await drained;
    await expect(callEntry(fleet, '/again/')).rejects.toThrow();
  }, 20_000);

  test('reports no open request where its front is not running', async () => {
    await fleet.entry.kernel.stop();
    expect(await fleet.entry.openRequests()).toBe(0);
  });
});
