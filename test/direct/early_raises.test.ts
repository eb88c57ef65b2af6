/** Callers that know a raised limit before the entry does. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {openRawCaller} from '../support/callers_server.js';
import type {RawCaller} from '../support/callers_server.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const OLD_IDLE_MS = 1_000;
const NEW_IDLE_MS = 8_000;
/** Time for which the entry's link to the store is held back. */
const HELD_BACK_MS = 4_800;
/** Just past the old limit and the margin for a request on its way. */
const REUSED_AFTER_MS = OLD_IDLE_MS + 2_800;

let fleet: DirectFleet;
afterEach(() => fleet.close());

const limitsOf = (idleTimeoutMs: number) => ({
  ...configOf(1).limits,
  idleTimeoutMs,
});

async function adopt(version: number, idleTimeoutMs: number): Promise<void> {
  const limits = limitsOf(idleTimeoutMs);
  fleet.store.put('config', 'main', {...configOf(version), limits});
  await until(() => hasAdopted(version));
}

const hasAdopted = (version: number) =>
  fleet.runtime.events.some(
    ({event, fields}) =>
      event.name === 'direct-config-adopted' && fields['version'] === version,
  );

/** The watch that waits is answered still; the next one is not. */
async function holdBackStore(): Promise<void> {
  const calls = fleet.store.calls();
  fleet.store.setMode('silent');
  fleet.store.put('config', 'other', {});
  await until(() => fleet.store.calls() > calls);
}

async function ask(caller: RawCaller, id: string): Promise<string> {
  const before = caller.text().length;
  caller.socket.write(
    `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\n` +
      `Authorization: Token ${KEY}\r\nContent-Length: 0\r\n\r\n`,
  );
  const answer = () => caller.text().slice(before);
  await until(() => answer() !== '' || caller.closedBy() !== undefined);
  return answer();
}

describe('a connection whose caller knows a raised limit before the entry', () => {
  // Guards against the closing of a connection beneath a request that is proper
  // by a version which the entry may not have adopted yet.
  test('is kept until the raise has reached the entry', async () => {
    fleet = await startDirectFleet({
      timing: {configMs: 5_000, revokeMs: 20_000},
    });
    await adopt(2, OLD_IDLE_MS);
    // Until then the limit of the first version may be in force for a caller.
    await sleep(5_000);
    const caller = openRawCaller(fleet.callers);
    expect(await ask(caller, 'first')).toContain('200 OK');
    await holdBackStore();
    fleet.store.put('config', 'main', {
      ...configOf(3),
      limits: limitsOf(NEW_IDLE_MS),
    });
    const restored = sleep(HELD_BACK_MS).then(() =>
      fleet.store.setMode('well'),
    );
    await sleep(REUSED_AFTER_MS);
    expect(hasAdopted(3)).toBe(false);
    expect(await ask(caller, 'second')).toContain('200 OK');
    caller.socket.destroy();
    await restored;
  }, 30_000);
});
