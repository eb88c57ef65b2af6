/**
 * What callers get from an entry that may have missed a restore of the store.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';

describe('an entry that starts in an era that is not settled', () => {
  /**
   * Time from a start until the store's answers count, in milliseconds, with a
   * margin.
   */
  const SETTLED_MS = 2_600;
  /**
   * Restores the store to its state before a change of the keys, while no entry
   * is running.
   */
  async function restoreWithoutChange() {
    const fleet = await startDirectFleet();
    const copy = fleet.store.copy();
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    await fleet.entry.kernel.stop();
    fleet.store.restore(copy);
    return fleet;
  }

  // The key cannot be confirmed in time, so holding the caller until then would
  // be in vain.
  test('refuses keys at once and states when to retry', async () => {
    const fleet = await restoreWithoutChange();
    const starting = await startDirectFleet({node: 'entry-2', beside: fleet});
    const sentAt = performance.now();
    const answer = await callEntry(starting, '/again/');
    const tookMs = performance.now() - sentAt;
    const open = await callEntry(starting, '/open/');
    await starting.close();
    await fleet.close();
    expect(answer.status).toBe(503);
    expect(tookMs).toBeLessThan(200);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(1);
    expect(open.status).toBe(200);
  }, 30_000);

  // Operators repeat the removal, and the key must not be accepted before that.
  test('never accepts a key whose removal is written again', async () => {
    const fleet = await restoreWithoutChange();
    const starting = await startDirectFleet({node: 'entry-2', beside: fleet});
    const seen = new Set<number>();
    const startedAt = performance.now();
    let isWritten = false;
    while (performance.now() - startedAt < SETTLED_MS) {
      seen.add((await callEntry(starting, '/again/')).status);
      if (isWritten || performance.now() - startedAt < 1_200) continue;
      isWritten = true;
      fleet.store.put('config', 'main', configOf(2, ['key-2']));
    }
    await starting.close();
    await fleet.close();
    expect([...seen]).toEqual([503, 401]);
  }, 30_000);

  test('accepts keys after operators had time to repeat lost writes', async () => {
    const fleet = await restoreWithoutChange();
    const starting = await startDirectFleet({node: 'entry-2', beside: fleet});
    await sleep(SETTLED_MS);
    const answer = await callEntry(starting, '/again/');
    await starting.close();
    await fleet.close();
    expect(answer.status).toBe(200);
  }, 30_000);

  // Without the record, each later start would refuse callers for seconds.
  test('writes a record that lets the next entry accept keys at once', async () => {
    const fleet = await restoreWithoutChange();
    const record = () => fleet.store.get('onyxloft-eras', 'settled');
    const first = await startDirectFleet({node: 'entry-2', beside: fleet});
    await until(() => isDeepStrictEqual(record(), {era: 2}));
    await first.close();
    const next = await startDirectFleet({node: 'entry-3', beside: fleet});
    const answer = await callEntry(next, '/again/');
    const unsettledEvents = next.runtime.eventsOf(DIRECT_EVENTS.eraUnsettled);
    await next.close();
    await fleet.close();
    expect(answer.status).toBe(200);
    expect(unsettledEvents).toEqual([]);
  }, 30_000);
});
