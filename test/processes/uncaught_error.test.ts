/** The process of a direct entry that meets an error which nothing catches. */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {DirectSettings} from '../../src/direct/settings.js';
import {answerWell} from '../../standins/users_platform/replica.js';
import {
  callEntry,
  nextAddress,
  startDirectFleet,
  until,
} from '../support/direct_fleet.js';

const PROGRAM = 'test/support/failing_entry.ts';
/** Time in which a process starts, in milliseconds. */
const START_WITHIN_MS = 30_000;
/** Signals, each of which brings an uncaught error and a rejection. */
const ERRORS = 5;
const ERROR_GAP_MS = 50;

async function settingsOf(store: string): Promise<DirectSettings> {
  const peers = await nextAddress();
  return {
    role: 'direct-entry',
    node: 'entry-2',
    failureDomain: 'domain-1',
    ip: '127.0.0.1',
    bootstrap: false,
    organisationShares: undefined,
    listen: {
      callers: await nextAddress(),
      ready: await nextAddress(),
      metrics: await nextAddress(),
    },
    peerPorts: [Number(peers.split(':')[1])],
    store: {address: store},
    limits: {memoryMb: 300, maxDescriptors: 1_000},
    timing: {graceS: 8, revokeMs: 5_000} as DirectSettings['timing'],
    retries: {ratio: 0.2, slack: 100, windowS: 10},
    coldReplicas: undefined,
    slowReaders: undefined,
  };
}

// Guards against one error that nothing owns and that ends the requests of all
// callers, at one entry after the other where it comes again.
test('a process with uncaught errors and rejections serves its open and later requests', async () => {
  const fleet = await startDirectFleet();
  const settings = await settingsOf(fleet.store.address);
  const dir = mkdtempSync(join(tmpdir(), 'uncaught-'));
  const file = join(dir, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
    stdio: ['ignore', 'pipe', 'ignore'],
    env: {...process.env, ONYXLOFT_NODE_FILE: file},
  });
  let output = '';
  child.stdout.on('data', piece => (output += String(piece)));
  const exited = new Promise(resolve => child.once('exit', resolve));
  try {
    const {callers, metrics, ready} = settings.listen;
    await until(
      () =>
        fetch(`http://${ready}/api/ready`).then(
          ({ok}) => ok,
          () => false,
        ),
      START_WITHIN_MS,
    );
    const held: Array<() => void> = [];
    for (const replica of fleet.desk) {
      replica.behave((...run) => void held.push(() => answerWell(...run)));
    }
    const answer = callEntry({...fleet, callers}, '/once/a');
    await until(() => held.length > 0);
    for (let n = 0; n < ERRORS; n++) {
      child.kill('SIGUSR2');
      await sleep(ERROR_GAP_MS);
    }
    for (const end of held) end();
    expect((await answer).status).toBe(200);
    for (const replica of fleet.desk) replica.behave(answerWell);
    const later = await callEntry({...fleet, callers}, '/once/b');
    expect(later.status).toBe(200);
    const text = await (await fetch(`http://${metrics}/metrics`)).text();
    expect(text).toMatch(/onyxloft_unowned_errors_total\S* 10/);
    // An error that comes again takes one line a minute for each place.
    expect(output.match(/"error-unowned"/g)).toHaveLength(2);
    child.kill('SIGTERM');
    expect(await exited).toBe(0);
  } finally {
    child.kill('SIGKILL');
    await fleet.close();
    rmSync(dir, {recursive: true});
  }
}, 60_000);
