/** The process of a direct entry that runs out of descriptors. */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {entrySettings} from '../../standins/users_platform/entry_program.js';
import {openRawCaller} from '../support/callers_server.js';
import type {RawCaller} from '../support/callers_server.js';
import {
  callEntry,
  nextAddress,
  startDirectFleet,
  until,
} from '../support/direct_fleet.js';

const PROGRAM = 'test/support/failing_entry.ts';
/** Time in which a process starts, in milliseconds. */
const START_WITHIN_MS = 40_000;
/** The process uses some 40 for itself. */
const DESCRIPTORS = 130;
/** More connections than descriptors. */
const CONNECTIONS = 140;
/** Time in which idle connections are ended and closed. */
const FREED_WITHIN_MS = 10_000;

async function ask(caller: RawCaller, id: string): Promise<string> {
  caller.socket.write(
    `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\n` +
      `Authorization: Token ${KEY}\r\nContent-Length: 0\r\n\r\n`,
  );
  await until(() => caller.text() !== '' || caller.closedBy() !== undefined);
  return caller.text();
}

const isReady = (address: string) =>
  fetch(`http://${address}/api/ready`).then(
    ({ok}) => ok,
    () => false,
  );

// Guards against an entry that accepts connections until none of their requests
// can reach a replica, and against idle ones that keep every new caller out.
test('connections beyond the descriptors leave the entry serving', async () => {
  const fleet = await startDirectFleet();
  const addresses = await Promise.all([1, 2, 3, 4].map(nextAddress));
  const [callers, ready] = addresses;
  const settings = {
    ...entrySettings({node: 'entry-2', store: fleet.store.address, addresses}),
    bootstrap: false,
    limits: {memoryMb: 300, maxDescriptors: DESCRIPTORS},
  };
  const dir = mkdtempSync(join(tmpdir(), 'descriptors-'));
  const file = join(dir, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const start = `ulimit -n ${DESCRIPTORS}; exec "$0" --import tsx ${PROGRAM}`;
  const child = spawn('sh', ['-c', start, process.execPath], {
    stdio: ['ignore', 'pipe', 'ignore'],
    env: {...process.env, ONYXLOFT_NODE_FILE: file},
  });
  let log = '';
  child.stdout.on('data', chunk => (log += chunk.toString()));
  const opened: RawCaller[] = [];
  try {
    await until(() => isReady(ready), START_WITHIN_MS);
    for (let at = 0; at < CONNECTIONS; at++) {
      opened.push(openRawCaller(callers));
    }
    await sleep(500);
    const kept = opened.filter(({closedBy}) => closedBy() === undefined);
    expect(kept.length).toBeGreaterThan(DESCRIPTORS / 4);
    const newest = kept.slice(-5);
    for (const [at, caller] of newest.entries()) {
      expect(await ask(caller, `kept-${at}`)).toContain('200 OK');
    }
    await until(async () => {
      const answer = callEntry({...fleet, callers}, '/again/a');
      const status = await answer.then(
        it => it.status,
        () => undefined,
      );
      if (status === undefined) await sleep(200);
      return status === 200;
    }, FREED_WITHIN_MS);
    expect(log).toContain('direct-descriptors-short');
    expect(child.exitCode).toBe(null);
  } finally {
    for (const {socket} of opened) socket.destroy();
    child.kill('SIGKILL');
    await fleet.close();
    rmSync(dir, {recursive: true});
  }
}, 90_000);
