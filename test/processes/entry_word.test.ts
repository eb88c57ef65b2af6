/** An entry that cannot reach the store, beside one that can. */
import type {Agent} from 'node:http';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {TIMING, startSoakFleet} from '../../fault_soak/soak_fleet.js';
import type {SoakFleet} from '../../fault_soak/soak_fleet.js';
import {LINK_WELL} from '../../fault_soak/soak_inject.js';
import {
  NOT_RUN_STATUS,
  keptConnections,
  sendRequest,
} from '../../fault_soak/soak_requests.js';
import {KEY, configOf} from '../../standins/users_platform/deployment.js';
import {until} from '../support/process_fleet.js';

/** Well over the bound on keys without the store's word. */
const CUT_MS = 2 * TIMING.revokeMs;
const PAUSE_MS = 100;
const UNKNOWN_KEY_STATUS = 401;

let dir: string;
let fleet: SoakFleet;
let agent: Agent;
let sent = 0;

beforeAll(async () => {
  dir = mkdtempSync(join(tmpdir(), 'entry-word-test-'));
  fleet = await startSoakFleet(2, dir);
  agent = keptConnections();
  await until('both entries are ready', async () => {
    const ready = await Promise.all(fleet.entries.map(one => one.isReady()));
    return ready.every(Boolean);
  });
});

afterAll(async () => {
  agent.destroy();
  await fleet.close();
  rmSync(dir, {recursive: true});
});

/** Statuses that the second entry gives for so long. */
async function askSecond(forMs: number): Promise<readonly unknown[]> {
  const statuses: unknown[] = [];
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt) {
    const asked = {id: `word-${++sent}`, entry: 1, key: KEY, isLarge: false};
    const {callers, isUndisturbedSince} = fleet.entries[1];
    const {status} = await sendRequest(
      callers,
      agent,
      {...asked, kind: 'again'},
      isUndisturbedSince,
    );
    statuses.push(status);
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
  }
  return statuses;
}

describe('an entry that is cut off from the store', () => {
  // Its own calls fail, and its evidence for keys would be too old after two
  // seconds. The other entry's word keeps it serving; no caller sees the cut.
  it('serves keys on the word of one that is not', async () => {
    fleet.storeLinks[1].apply({refuse: true});
    const statuses = await askSecond(CUT_MS);
    expect(new Set(statuses)).toEqual(new Set([200]));
    fleet.storeLinks[1].apply(LINK_WELL);
  });

  // During the cut the key is taken away. The other entry has the new
  // configuration, so its word says nothing of the old one's keys; it hands the
  // new one over, and within the bound the caller hears that the key is gone.
  it('serves no key that was taken away meanwhile', async () => {
    fleet.storeLinks[1].apply({refuse: true});
    expect(await askSecond(PAUSE_MS)).toEqual([200]);
    fleet.store.put('config', 'main', configOf(2, []));
    await askSecond(TIMING.revokeMs);
    const after = await askSecond(1_000);
    expect(new Set(after)).toEqual(new Set([UNKNOWN_KEY_STATUS]));
    fleet.storeLinks[1].apply(LINK_WELL);
  });

  // Nobody reaches the store. Whether the key still holds is not known to
  // anyone: within the bound all refuse it as not run, and serve it again once
  // the store is back.
  it('refuses keys when no entry reaches the store', async () => {
    fleet.store.put('config', 'main', configOf(3, [KEY]));
    await until('the key is back', async () => {
      const [status] = await askSecond(1);
      return status === 200;
    });
    for (const link of fleet.storeLinks) link.apply({refuse: true});
    await askSecond(TIMING.revokeMs);
    const after = await askSecond(1_000);
    expect(new Set(after)).toEqual(new Set([NOT_RUN_STATUS]));
    for (const link of fleet.storeLinks) link.apply(LINK_WELL);
    await until('the key is served again', async () => {
      const [status] = await askSecond(1);
      return status === 200;
    });
  });
});
