/** An entry that starts beside others while it gets nothing from the store. */
import {writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, afterEach, beforeAll, expect, test} from 'vitest';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {isEntryReady} from '../../standins/users_platform/entry_program.js';
import {buildEntry, waitFor, waitUntilReady} from '../support/built_entry.js';
import type {BuiltEntry} from '../support/built_entry.js';

const TEST_MS = 90_000;
const CALL_EVERY_MS = 50;
/** Keys are accepted for 4.5 s after the last answer of the store. */
const SERVED_WITHIN_MS = 4_000;
/**
 * From the first answer of the process, on a busy machine: the others' next
 * heartbeat in another failure domain, and some datagrams and fetches.
 */
const SERVED_AFTER_MS = 1_500;

let built: BuiltEntry;
let started: Array<ReturnType<BuiltEntry['start']>> = [];

beforeAll(async () => {
  built = await buildEntry();
}, TEST_MS);
afterEach(async () => {
  for (const {child} of started) child.kill('SIGKILL');
  await Promise.all(started.map(({exited}) => exited));
  started = [];
  built.store.setMode('well');
  built.store.put('config', 'main', configOf(1));
});
afterAll(() => built.close());

type Settings = Awaited<ReturnType<BuiltEntry['createSettings']>>;

function start(settings: Settings) {
  const entry = built.start(settings.path);
  started.push(entry);
  return entry;
}

async function startReady(node: string, failureDomain = 'domain-1') {
  const settings = await built.createSettings(node);
  const text = JSON.parse(settings.text) as Readonly<Record<string, unknown>>;
  writeFileSync(settings.path, JSON.stringify({...text, failureDomain}));
  const entry = start(settings);
  expect(await waitUntilReady(entry, settings.ready)).toBe(true);
  return {settings, entry};
}

/** Resolves to the status, or to undefined without an answer. */
function call(address: string, id: string, key: string) {
  const [host, port] = address.split(':');
  const headers = {
    Host: HOST,
    'X-Request-Id': id,
    Authorization: `Token ${key}`,
    'X-Deadline-Ms': '5000',
  };
  return new Promise<number | undefined>(resolve => {
    const req = request(
      {host, port, path: '/again/a', method: 'POST', agent: false, headers},
      res => {
        res.resume();
        res.once('close', () => resolve(res.statusCode));
      },
    );
    req.once('error', () => resolve(undefined));
    req.end('a prompt');
  });
}

/** Calls until one is served; resolves to the times of answers, by status. */
async function timeToServed(address: string, key = KEY) {
  const startedAt = performance.now();
  let firstAnswerMs: number | undefined;
  for (let at = 0; performance.now() - startedAt < 15_000; at++) {
    const status = await call(address, `call-${key}-${at}`, key);
    const nowMs = performance.now() - startedAt;
    if (status !== undefined) firstAnswerMs ??= nowMs;
    if (status === 200) return {firstAnswerMs, servedMs: nowMs};
    await sleep(CALL_EVERY_MS);
  }
  return {firstAnswerMs, servedMs: Infinity};
}

// Guards against 503 for seconds from an entry that starts again while it gets
// nothing from the store and other entries serve.
test.each([
  {mode: 'silent', domain: 'domain-1', withinMs: SERVED_AFTER_MS},
  {mode: 'away', domain: 'domain-1', withinMs: SERVED_AFTER_MS},
  // Heartbeats are up to 1.3 s apart there.
  {mode: 'silent', domain: 'domain-2', withinMs: 2 * SERVED_AFTER_MS},
] as const)(
  'is served soon after it starts again: the store is $mode, others in $domain',
  async ({mode, domain, withinMs}) => {
    const {settings, entry} = await startReady('entry-1');
    await startReady('entry-2', domain);
    await startReady('entry-3', domain);
    // The others have sent it their addresses as often as at first.
    await sleep(2_000);
    entry.child.kill('SIGKILL');
    await entry.exited;
    built.store.setMode(mode);
    start(settings);
    const {firstAnswerMs = 0, servedMs} = await timeToServed(settings.callers);
    expect(servedMs).toBeLessThan(SERVED_WITHIN_MS);
    expect(servedMs - firstAnswerMs).toBeLessThan(withinMs);
    expect(await waitFor(() => isEntryReady(settings.ready), 1_000)).toBe(true);
  },
  TEST_MS,
);

// Guards against a removed key that is accepted since the entry has all it knows
// from others.
test(
  'accepts no key that was removed',
  async () => {
    const {settings, entry} = await startReady('entry-1');
    await startReady('entry-2');
    await startReady('entry-3');
    built.store.put('config', 'main', configOf(2, ['key-2']));
    entry.child.kill('SIGKILL');
    await entry.exited;
    await sleep(1_000);
    built.store.setMode('silent');
    start(settings);
    const served = await timeToServed(settings.callers, 'key-2');
    expect(served.servedMs).toBeLessThan(SERVED_WITHIN_MS);
    expect(await call(settings.callers, 'removed', KEY)).toBe(401);
  },
  TEST_MS,
);

// Guards against keys that are accepted on evidence that is too old at the
// others as well.
test(
  'accepts no key when the others have old evidence only',
  async () => {
    const {settings, entry} = await startReady('entry-1');
    await startReady('entry-2');
    await startReady('entry-3');
    built.store.setMode('silent');
    entry.child.kill('SIGKILL');
    await entry.exited;
    await sleep(6_000);
    const again = start(settings);
    const adopted = () => again.linesOf('direct-config-adopted').length > 0;
    expect(await waitFor(adopted, SERVED_WITHIN_MS)).toBe(true);
    for (let at = 0; at < 20; at++) {
      expect(await call(settings.callers, `old-${at}`, KEY)).toBe(503);
      await sleep(CALL_EVERY_MS);
    }
  },
  TEST_MS,
);

// Guards against a removed key that is accepted since the store was restored
// from an older copy while the entry had its configuration from others.
test(
  'accepts no key before operators could repeat writes that a restore lost',
  async () => {
    const {settings, entry} = await startReady('entry-1');
    await startReady('entry-2');
    await startReady('entry-3');
    const copy = built.store.copy();
    built.store.setMode('silent');
    entry.child.kill('SIGKILL');
    await entry.exited;
    const again = start(settings);
    const adopted = () => again.linesOf('direct-config-adopted').length > 0;
    expect(await waitFor(adopted, SERVED_WITHIN_MS)).toBe(true);
    await sleep(6_000);
    built.store.restore(copy);
    built.store.setMode('well');
    const until = performance.now() + 1_500;
    while (performance.now() < until) {
      expect(await call(settings.callers, `${until}`, KEY)).toBe(503);
      await sleep(CALL_EVERY_MS);
    }
  },
  TEST_MS,
);
