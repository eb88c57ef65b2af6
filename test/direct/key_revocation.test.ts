/** Keys are served only while the store's word on them is young enough. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

/** Short, so that the tests need not wait long. */
const REVOKE_MS = 2_500;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({timing: {revokeMs: REVOKE_MS}});
});
afterEach(() => fleet.close());

const call = async (path: string) => (await callEntry(fleet, path)).status;
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a key', () => {
  // The entry is cut off from the store, and the key is taken away meanwhile.
  // Callers get 503 once the evidence is as old as the bound; what needs no key
  // is served on.
  test('is not served for longer than the bound without the store', async () => {
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

  // The process was suspended: its monotonic clock stood still while the time
  // of day went on. The old evidence looks young, and counts for nothing.
  test('is confirmed anew after a suspension', async () => {
    fleet.store.setMode('silent');
    fleet.store.put('config', 'main', configOf(2, []));
    fleet.shiftWall(60_000);
    expect(await call('/again/')).toBe(503);
    fleet.store.setMode('well');
    await until(async () => (await call('/again/')) === 401);
  });

  // A stepped time of day looks like a suspension; one call to the store
  // settles it, and the caller hardly notices.
  test('is served on after a step of the time of day', async () => {
    fleet.shiftWall(-60_000);
    expect(await call('/again/')).toBe(200);
  });
});

describe('an entry without the store', () => {
  test('says that it is not ready, and is ready again afterwards', async () => {
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
