/** Entries that know no configuration yet, as processes of their own. */
import {once} from 'node:events';
import {request} from 'node:http';
import {connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, afterEach, beforeAll, describe, expect, test} from 'vitest';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {isEntryReady} from '../../standins/users_platform/entry_program.js';
import {buildEntry, waitFor, waitUntilReady} from '../support/built_entry.js';
import type {BuiltEntry} from '../support/built_entry.js';

const TEST_MS = 90_000;
/** Time that a process needs to its first answer, on a busy machine. */
const LISTENS_WITHIN_MS = 8_000;
const CALL_FOR_MS = 2_000;
const CALL_EVERY_MS = 50;
const READY_WITHIN_MS = 15_000;
/** The whole grace time is 8 s. */
const STOPS_WITHIN_MS = 5_000;
const LARGE_BODY_BYTES = 4_000_000;
/** More than the parser of heads takes. */
const HUGE_HEAD_BYTES = 300_000;
const BURST = 300;

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

interface CallResult {
  readonly status: number | undefined;
  readonly retryAfterS: number;
  readonly error: string | undefined;
}

/** Sends a caller's request over a new connection. */
function call(address: string, id: string): Promise<CallResult> {
  const [host, port] = address.split(':');
  const headers = {
    Host: HOST,
    'X-Request-Id': id,
    Authorization: `Token ${KEY}`,
    'X-Deadline-Ms': '5000',
  };
  return new Promise(resolve => {
    let status: number | undefined;
    let retryAfterS = 0;
    const end = (error?: string) => resolve({status, retryAfterS, error});
    const req = request(
      {host, port, path: '/again/a', method: 'POST', agent: false, headers},
      res => {
        status = res.statusCode;
        retryAfterS = Number(res.headers['retry-after'] ?? 0);
        res.resume();
        res.once('close', () => end(res.complete ? undefined : 'cut'));
      },
    );
    req.once('error', err => end((err as NodeJS.ErrnoException).code));
    req.end('a prompt');
  });
}

/** Calls each entry in turn; returns how often each result came. */
async function callFor(addresses: readonly string[], forMs: number) {
  const counts: Record<string, number> = {};
  const calls: Array<Promise<void>> = [];
  const until = performance.now() + forMs;
  for (let at = 0; performance.now() < until; at++) {
    const address = addresses[at % addresses.length] ?? '';
    const counted = call(address, `call-${at}`).then(result => {
      const key = describeResult(result);
      counts[key] = (counts[key] ?? 0) + 1;
    });
    calls.push(counted);
    await sleep(CALL_EVERY_MS);
  }
  await Promise.all(calls);
  return counts;
}

function describeResult({status, retryAfterS, error}: CallResult): string {
  if (error !== undefined) return error;
  if (status !== 503) return String(status);
  const isProper = retryAfterS > 0 && retryAfterS <= 1;
  return isProper ? '503' : `503 with a Retry-After of ${retryAfterS}`;
}

async function startEntry(node = 'entry-1') {
  const settings = await built.createSettings(node);
  const entry = built.start(settings.path);
  started.push(entry);
  return {...settings, entry};
}

type Entry = Awaited<ReturnType<typeof startEntry>>;

const isListening = ({entry}: Entry) =>
  entry.linesOf('direct-listening').length > 0;

/** Starts an entry that finds no configuration, and waits until it listens. */
async function startUnconfigured() {
  built.store.remove('config', 'main');
  const started = await startEntry();
  await waitFor(() => isListening(started), LISTENS_WITHIN_MS);
  return started;
}

interface Exchange {
  readonly text: string;
  readonly error: string | undefined;
}

/** Sends the bytes, and resolves when the entry has ended the connection. */
function exchange(address: string, bytes: string): Promise<Exchange> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  let text = '';
  let error: string | undefined;
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  socket.on('error', err => (error = (err as NodeJS.ErrnoException).code));
  socket.write(bytes);
  return new Promise(resolve => {
    socket.on('close', () => resolve({text, error}));
  });
}

const statusesIn = (text: string) =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);

const headOf = (id: string, extra = '') =>
  `POST /again/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\n` +
  `Authorization: Token ${KEY}\r\n${extra}`;

describe('without a configuration', () => {
  // Guards against callers' connections that are refused until a configuration
  // is known, so that the process looks as if it had not started.
  test.each([
    {cause: 'the store has none', count: 1},
    {cause: 'the store has none', count: 3},
    {cause: 'the store is away', count: 1},
    {cause: 'the store is away', count: 3},
    {cause: 'the store is silent', count: 1},
    {cause: 'the store is silent', count: 3},
  ])(
    'each call is answered with 503, then served: $cause, entries: $count',
    async ({cause, count}) => {
      if (cause === 'the store has none') built.store.remove('config', 'main');
      if (cause === 'the store is away') built.store.setMode('away');
      if (cause === 'the store is silent') built.store.setMode('silent');
      const names = Array.from({length: count}, (_, at) => `entry-${at + 1}`);
      const entries = await Promise.all(names.map(startEntry));
      await waitFor(() => entries.every(isListening), LISTENS_WITHIN_MS);
      const addresses = entries.map(({callers}) => callers);
      const counts = await callFor(addresses, CALL_FOR_MS);
      expect(counts).toEqual({503: counts['503']});
      for (const {ready} of entries) {
        expect(await isEntryReady(ready)).toBe(false);
      }

      built.store.setMode('well');
      built.store.put('config', 'main', configOf(1));
      for (const {entry, ready} of entries) {
        expect(await waitUntilReady(entry, ready)).toBe(true);
      }
      const served = await callFor(addresses, CALL_FOR_MS / 2);
      expect(served).toEqual({200: served['200']});
    },
    TEST_MS,
  );

  // Guards against refused connections of an entry that starts again while the
  // store is silent and others serve.
  test(
    'an entry that starts beside others answers each call',
    async () => {
      const others = [await startEntry('entry-2'), await startEntry('entry-3')];
      for (const {entry, ready} of others) {
        expect(await waitUntilReady(entry, ready)).toBe(true);
      }
      built.store.setMode('silent');
      const first = await startEntry('entry-1');
      await waitFor(() => isListening(first), LISTENS_WITHIN_MS);
      const counts = await callFor([first.callers], CALL_FOR_MS);
      const {200: served = 0, 503: refused = 0, ...rest} = counts;
      expect(rest).toEqual({});
      expect(served + refused).toBeGreaterThan(0);
    },
    TEST_MS,
  );

  // Guards against an answer that the caller can't read since its connection is
  // reset with bytes unread.
  test(
    'the answer to an upload can be read',
    async () => {
      const {callers} = await startUnconfigured();
      const body = 'x'.repeat(LARGE_BODY_BYTES);
      const length = `Content-Length: ${LARGE_BODY_BYTES}\r\n\r\n`;
      const {text, error} = await exchange(callers, headOf('a', length) + body);
      expect(error).toBeUndefined();
      expect(statusesIn(text)).toEqual(['503']);
    },
    TEST_MS,
  );

  // Guards against a body that is asked for and then refused.
  test(
    'a caller that waits for 100 Continue gets 503 only',
    async () => {
      const {callers} = await startUnconfigured();
      const expects = 'Expect: 100-continue\r\nContent-Length: 9\r\n\r\n';
      const {text, error} = await exchange(callers, headOf('a', expects));
      expect(error).toBeUndefined();
      expect(statusesIn(text)).toEqual(['503']);
    },
    TEST_MS,
  );

  // Guards against requests that are read and get no answer before the end.
  test(
    'each of several pipelined requests is answered',
    async () => {
      const {callers} = await startUnconfigured();
      const one = headOf('a', 'Content-Length: 0\r\n\r\n');
      const {text, error} = await exchange(callers, one.repeat(3));
      expect(error).toBeUndefined();
      expect(statusesIn(text)).toEqual(['503', '503', '503']);
    },
    TEST_MS,
  );

  // Guards against the same where the bodies stand between the heads.
  test(
    'each of several pipelined requests with bodies is answered',
    async () => {
      const {callers} = await startUnconfigured();
      const one = `${headOf('a', 'Content-Length: 8\r\n\r\n')}a prompt`;
      const {text, error} = await exchange(callers, one.repeat(3));
      expect(error).toBeUndefined();
      expect(statusesIn(text)).toEqual(['503', '503', '503']);
    },
    TEST_MS,
  );

  // Guards against denials, after which callers send nothing again, for what a
  // configuration may allow.
  test(
    'no head is denied: huge, without a host, without an id',
    async () => {
      const {callers} = await startUnconfigured();
      const huge = `X-Large: ${'x'.repeat(HUGE_HEAD_BYTES)}\r\n\r\n`;
      const texts = [
        headOf('a', huge),
        'GET /again/a HTTP/1.1\r\n\r\n',
        `GET /unknown HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`,
      ];
      const results = await Promise.all(
        texts.map(text => exchange(callers, text)),
      );
      for (const {text, error} of results) {
        expect(error).toBeUndefined();
        expect(statusesIn(text)).toEqual(['503']);
        expect(text).toMatch(/retry-after: 0\.\d/i);
      }
    },
    TEST_MS,
  );

  // Guards against connections that are closed, and heads under way that are
  // refused, when the configuration comes.
  test(
    'a head under way and a connection opened ahead are served afterwards',
    async () => {
      const {callers, entry, ready} = await startUnconfigured();
      const [host, port] = callers.split(':');
      const end = 'Connection: close\r\nContent-Length: 1\r\n\r\nx';
      const begin = () => {
        const socket = connect({host, port: Number(port)});
        let text = '';
        socket.on('data', chunk => (text += chunk.toString('latin1')));
        socket.on('error', () => undefined);
        const closed = once(socket, 'close');
        return {socket, end: () => closed.then(() => statusesIn(text))};
      };
      const ahead = begin();
      const partial = begin();
      partial.socket.write(headOf('a'));
      await sleep(500);
      built.store.put('config', 'main', configOf(1));
      expect(await waitUntilReady(entry, ready)).toBe(true);
      ahead.socket.write(headOf('b', end));
      partial.socket.write(end);
      expect(await ahead.end()).toEqual(['200']);
      expect(await partial.end()).toEqual(['200']);
    },
    TEST_MS,
  );

  // Guards against a burst that is refused or reset at that moment.
  test(
    'each caller of a burst is answered',
    async () => {
      const {callers} = await startUnconfigured();
      const results = await Promise.all(
        Array.from({length: BURST}, (_, at) => call(callers, `burst-${at}`)),
      );
      expect(new Set(results.map(describeResult))).toEqual(new Set(['503']));
    },
    TEST_MS,
  );

  // Guards against a stop that waits for what will not come.
  test(
    'SIGTERM ends the process with code 0',
    async () => {
      const {callers, entry} = await startUnconfigured();
      await call(callers, 'before');
      const sentAt = performance.now();
      entry.child.kill('SIGTERM');
      expect(await entry.exited).toEqual({code: 0, signal: null});
      expect(performance.now() - sentAt).toBeLessThan(STOPS_WITHIN_MS);
    },
    TEST_MS,
  );

  // Guards against an entry that does not answer when its address becomes free.
  test(
    'calls are answered once a taken address is free',
    async () => {
      built.store.remove('config', 'main');
      const settings = await built.createSettings();
      const [ip, port] = settings.callers.split(':');
      const holder = createServer(socket => socket.destroy());
      holder.listen(Number(port), ip);
      await once(holder, 'listening');
      const entry = built.start(settings.path);
      started.push(entry);
      await waitFor(
        () => entry.linesOf('address-taken').length > 0,
        LISTENS_WITHIN_MS,
      );
      holder.close();
      await waitFor(() => isListening({...settings, entry}), LISTENS_WITHIN_MS);
      expect(describeResult(await call(settings.callers, 'a'))).toBe('503');
    },
    TEST_MS,
  );

  // Guards against an operator who can't tell that an entry has no configuration.
  test(
    'a line and a gauge tell since when',
    async () => {
      const {callers, metrics, entry} = await startUnconfigured();
      await call(callers, 'a');
      const lines = () => entry.linesOf('direct-config-awaited');
      await waitFor(() => lines().length > 0, READY_WITHIN_MS);
      expect(lines()[0]?.['waitedMs']).toBeGreaterThan(0);
      const awaitedMs = async () => {
        const res = await fetch(`http://${metrics}/metrics`);
        const text = await res.text();
        const found = /^onyxloft_direct_config_awaited_ms (\S+)$/m.exec(text);
        return Number(found?.[1]);
      };
      expect(await awaitedMs()).toBeGreaterThan(0);
      built.store.put('config', 'main', configOf(1));
      expect(
        await waitFor(async () => (await awaitedMs()) === 0, READY_WITHIN_MS),
      ).toBe(true);
    },
    TEST_MS,
  );
});
