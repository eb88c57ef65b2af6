/** The process of a direct entry that meets an error which nothing catches. */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import type {DirectSettings} from '../../src/direct/settings.js';
import {
  callEntry,
  nextAddress,
  startDirectFleet,
  until,
} from '../support/direct_fleet.js';

const PROGRAM = 'test/support/failing_entry.ts';
/** Time in which a process starts, in milliseconds. */
const START_WITHIN_MS = 30_000;

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

// Guards against whole requests that get neither an answer nor a refusal.
test('a process with an uncaught error answers its open requests before it ends', async () => {
  const fleet = await startDirectFleet();
  const settings = await settingsOf(fleet.store.address);
  const dir = mkdtempSync(join(tmpdir(), 'uncaught-'));
  const file = join(dir, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
    stdio: 'ignore',
    env: {...process.env, ONYXLOFT_NODE_FILE: file},
  });
  const exited = new Promise(resolve => child.once('exit', resolve));
  try {
    const {callers, ready} = settings.listen;
    await until(
      () =>
        fetch(`http://${ready}/api/ready`).then(
          ({ok}) => ok,
          () => false,
        ),
      START_WITHIN_MS,
    );
    for (const replica of fleet.desk) replica.behave(() => undefined);
    const answer = callEntry({...fleet, callers}, '/once/a');
    await until(() => fleet.desk.some(({arrivals}) => arrivals.length > 0));
    child.kill('SIGUSR2');
    expect((await answer).status).toBe(502);
    expect(await exited).toBe(1);
  } finally {
    child.kill('SIGKILL');
    await fleet.close();
    rmSync(dir, {recursive: true});
  }
}, 60_000);
