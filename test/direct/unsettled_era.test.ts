/** What callers get from an entry that may have missed a return of the store. */
import {setTimeout as sleep} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';

describe('an entry that starts in an era that nobody has settled', () => {
  /** From a start until the store's answers count, with a margin. */
  const SETTLED_MS = 2_600;
  /** All that was kept from the store's time before a change of its keys. */
  async function returnWithoutChange() {
    const fleet = await startDirectFleet();
    const copy = fleet.store.copy();
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    await fleet.entry.kernel.stop();
    fleet.store.restore(copy);
    return fleet;
  }

  // Held until its key can be confirmed, a caller would wait in vain.
  test('refuses keys at once and tells when to come back', async () => {
    const fleet = await returnWithoutChange();
    const starts = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: fleet,
    });
    const sentAt = performance.now();
    const answer = await callEntry(starts, '/again/');
    const tookMs = performance.now() - sentAt;
    const open = await callEntry(starts, '/open/');
    await starts.close();
    await fleet.close();
    expect(answer.status).toBe(503);
    expect(tookMs).toBeLessThan(200);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(1);
    expect(open.status).toBe(200);
  }, 30_000);

  // Operators write the removal again; the key must not be served in between.
  test('never serves a key whose removal is written again', async () => {
    const fleet = await returnWithoutChange();
    const starts = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: fleet,
    });
    const seen = new Set<number>();
    const startedAt = performance.now();
    let isWritten = false;
    while (performance.now() - startedAt < SETTLED_MS) {
      seen.add((await callEntry(starts, '/again/')).status);
      if (isWritten || performance.now() - startedAt < 1_200) continue;
      isWritten = true;
      fleet.store.put('config', 'main', configOf(2, ['key-2']));
    }
    await starts.close();
    await fleet.close();
    expect([...seen]).toEqual([503, 401]);
  }, 30_000);

  test('serves keys when operators had their time', async () => {
    const fleet = await returnWithoutChange();
    const starts = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: fleet,
    });
    await sleep(SETTLED_MS);
    const answer = await callEntry(starts, '/again/');
    await starts.close();
    await fleet.close();
    expect(answer.status).toBe(200);
  }, 30_000);

  // Without the record each later start would refuse callers for seconds.
  test('leaves a record by which the next one serves at once', async () => {
    const fleet = await returnWithoutChange();
    const record = () => fleet.store.get('onyxloft-eras', 'settled');
    const first = await startDirectFleet({node: 'entry-2', sharedFleet: fleet});
    await until(() => isDeepStrictEqual(record(), {era: 2}));
    await first.close();
    const next = await startDirectFleet({node: 'entry-3', sharedFleet: fleet});
    const answer = await callEntry(next, '/again/');
    const doubted = next.runtime.eventsOf(DIRECT_EVENTS.eraUnsettled);
    await next.close();
    await fleet.close();
    expect(answer.status).toBe(200);
    expect(doubted).toEqual([]);
  }, 30_000);
});
