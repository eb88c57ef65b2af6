/** Keys are accepted only while evidence from the store is recent enough. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

/**
 * Limit on removed keys in milliseconds; short, so that the tests need not wait
 * long.
 */
const REVOKE_MS = 2_500;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({timing: {revokeMs: REVOKE_MS}});
});
afterEach(() => fleet.close());

const call = async (path: string) => (await callEntry(fleet, path)).status;
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a key', () => {
  // The key is removed while the entry cannot reach the store. Callers get 503
  // after the limit; routes without keys are still served.
  test('is not accepted for longer than the limit without the store', async () => {
    fleet.store.setMode('silent');
    fleet.store.put('config', 'main', configOf(2, []));
    expect(await call('/again/')).toBe(200);
    await wait(REVOKE_MS);
    expect(await call('/again/')).toBe(503);
    expect(await call('/open/')).toBe(200);
    expect(await call('/nowhere/')).toBe(503);
    fleet.store.setMode('well');
    await until(async () => (await call('/again/')) === 401);
  });

  // The monotonic clock stopped during the suspension, so the old evidence
  // looks recent and must not count.
  test('is confirmed again after a suspension', async () => {
    fleet.store.setMode('silent');
    fleet.store.put('config', 'main', configOf(2, []));
    fleet.shiftWall(60_000);
    expect(await call('/again/')).toBe(503);
    fleet.store.setMode('well');
    await until(async () => (await call('/again/')) === 401);
  });

  // A step of the time of day looks like a suspension. One call to the store
  // replaces the evidence, almost unnoticed by the caller.
  test('is still accepted after a step of the time of day', async () => {
    fleet.shiftWall(-60_000);
    expect(await call('/again/')).toBe(200);
  });
});

describe('an entry without the store', () => {
  test('reports that it is not ready, and is ready again afterwards', async () => {
    const ready = () =>
      fleet.entry.kernel.ask('direct', (reply: (well: boolean) => void) => ({
        kind: 'ready',
        reply,
      }));
    fleet.store.setMode('busy');
    await until(async () => !(await ready()));
    fleet.store.setMode('well');
    await until(ready);
  });
});
