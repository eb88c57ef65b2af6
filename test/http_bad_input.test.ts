/** Bad input gets a clear status, reaches no upstream, breaks nothing. */
import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {PRAIRIE_KEY, startFront, sendAnswer} from './support/front_fixture.js';
import type {FrontFixture} from './support/front_fixture.js';

const AUTH = `Authorization: Bearer ${PRAIRIE_KEY}\r\n`;
const POST = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n';

let bench: FrontFixture;

beforeAll(async () => {
  bench = await startFront(
    {submit: (spec, listener) => sendAnswer(listener, spec.id, ['x'])},
    {
      limits: {maxBodyBytes: 100_000, maxOpenRequests: 2},
      timing: {bodyTimeoutMs: 2_000},
    },
  );
});

afterAll(() => bench.kernel.stop());

/** Writes bytes and gives all that comes back until the end. */
function raw(text: string, stay = false): Promise<string> {
  return new Promise((resolve, reject) => {
    let got = '';
    const socket = connect(bench.port, '127.0.0.1', () => socket.write(text));
    socket.on('data', data => {
      got += data.toString();
      if (got.includes('\r\n\r\n{') && !stay) socket.end();
    });
    socket.on('close', () => resolve(got));
    socket.on('error', reject);
  });
}

function post(
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(`${bench.url}/v1/completions`, {
    method: 'POST',
    body,
    headers: {Authorization: `Bearer ${PRAIRIE_KEY}`, ...headers},
  });
}

function submits(): number {
  return bench.received.filter(({kind}) => kind === 'submit').length;
}

const GOOD = '{"prompt":"x"}';

describe('bad input', () => {
  test.each([
    ['not JSON', '{"prompt":', 400, 'bad-request'],
    ['no object', '[]', 400, 'bad-request'],
    ['no prompt', '{}', 400, 'bad-request'],
    ['an empty prompt', '{"prompt":""}', 400, 'bad-request'],
    ['a prompt of wrong type', '{"prompt":3}', 400, 'bad-request'],
    ['max_tokens as text', '{"prompt":"x","max_tokens":"3"}', 400, ''],
    ['max_tokens of 0', '{"prompt":"x","max_tokens":0}', 400, ''],
    ['stream as a number', '{"prompt":"x","stream":1}', 400, ''],
    ['user as a number', '{"prompt":"x","user":1}', 400, ''],
    ['two answers wanted', '{"prompt":"x","n":2}', 400, ''],
    ['an unknown option', '{"prompt":"x","onyxloft":{"a":1}}', 400, ''],
    ['an unknown class', '{"prompt":"x","onyxloft":{"priority":"p"}}', 400, ''],
    ['an unknown model', '{"prompt":"x","model":"m"}', 404, 'unknown-model'],
    ['an unknown adapter', '{"prompt":"x","model":"onyx-1:a"}', 404, ''],
  ])('%s', async (_, body, status, code) => {
    const before = submits();
    const res = await post(body);
    expect(res.status).toBe(status);
    const {error} = (await res.json()) as {error: Record<string, unknown>};
    expect(error).toMatchObject({
      ran: 'no',
      request_id: res.headers.get('x-request-id'),
    });
    expect(error['code']).toContain(code);
    expect(submits()).toBe(before);
  });

  test.each([
    ['a deadline in the past', {'X-Onyxloft-Deadline': '2025-12-31T23:59:59Z'}],
    ['a time limit of 0', {'X-Onyxloft-Time-Limit-Ms': '0'}],
    ['a time limit as text', {'X-Onyxloft-Time-Limit-Ms': 'soon'}],
    ['a time limit of years', {'X-Onyxloft-Time-Limit-Ms': '99999999999'}],
    ['a deadline that is no time', {'X-Onyxloft-Deadline': 'noon'}],
    ['a mark that is neither yes nor no', {'X-Onyxloft-Repeatable': 'maybe'}],
    ['an idempotency key with blanks', {'Idempotency-Key': 'a b'}],
  ])('%s', async (name, headers) => {
    const before = submits();
    const res = await post(GOOD, headers as unknown as Record<string, string>);
    expect(res.status).toBe(400);
    const inPast = /past|of 0/.test(name);
    expect(await res.text()).toContain(
      inPast ? 'deadline-in-past' : 'bad-request',
    );
    expect(submits()).toBe(before);
  });

  test.each([
    ['no key', ''],
    ['an unknown key', 'Bearer onyx_nobody'],
    ['another scheme', 'Basic YTpi'],
  ])('%s is answered 401', async (_, authorization) => {
    const res = await post(GOOD, {Authorization: authorization});
    expect(res.status).toBe(401);
    expect(res.headers.get('www-authenticate')).toBe('Bearer');
  });

  test.each([
    ['an unknown path', 'GET', '/v1/nothing', 404],
    ['an unknown pool', 'GET', '/v1/services/nowhere/x', 404],
    ['an id that can be none', 'GET', '/v1/requests/17', 404],
    ['a method that is not offered', 'PUT', '/v1/completions', 405],
  ])('%s', async (_, method, path, status) => {
    const headers = {Authorization: `Bearer ${PRAIRIE_KEY}`};
    const res = await fetch(bench.url + path, {method, headers});
    expect(res.status).toBe(status);
  });

  test('a declared length over the limit is refused before the body is sent', async () => {
    const got = await raw(`${POST}${AUTH}Content-Length: 100001\r\n\r\n`);
    expect(got).toContain('HTTP/1.1 413');
    expect(got).toContain('"code":"too-large"');
  });

  test('a refused caller that goes on sending is cut off', async () => {
    const refusals = () =>
      bench.logged.filter(({name}) => name === 'request-refused').length;
    const before = refusals();
    const got = raw(`${POST}Content-Length: 50\r\n\r\n{`, true);
    await expect.poll(refusals).toBe(before + 1);
    await post(GOOD);
    await bench.clock.runFor(1_001);
    expect(await got).toContain('HTTP/1.1 401');
  });

  test('with Expect: 100-continue the body is not even asked for', async () => {
    const got = await raw(
      `${POST}${AUTH}Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n`,
    );
    expect(got).toMatch(/^HTTP\/1\.1 413/);
  });

  test('a body in chunks is counted while it comes', async () => {
    const chunk = `2710\r\n${' '.repeat(10_000)}\r\n`;
    const got = await raw(
      `${POST}${AUTH}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(11)}`,
    );
    expect(got).toContain('HTTP/1.1 413');
  });

  test('a flood of headers is answered 431', async () => {
    const got = await raw(`${POST}X-Flood: ${'f'.repeat(20_000)}\r\n\r\n`);
    expect(got).toContain('HTTP/1.1 431');
    expect(got).toContain('"code":"too-large"');
  });

  test('what is not HTTP is answered 400', async () => {
    expect(await raw('frost?\r\n\r\n')).toContain('HTTP/1.1 400');
  });

  test('a body that comes too slowly is answered 408', async () => {
    const got = raw(`${POST}${AUTH}Content-Length: 50\r\n\r\n{"pro`);
    await expect.poll(() => openRequests()).toBe(1);
    await bench.clock.runFor(2_001);
    expect(await got).toContain('HTTP/1.1 408');
    expect(await openRequests()).toBe(0);
  });

  test('more open requests than allowed are told to come back', async () => {
    const head = `${POST}${AUTH}Content-Length: 50\r\n\r\n{`;
    const slow = [raw(head), raw(head)];
    await expect.poll(() => openRequests()).toBe(2);
    const res = await post(GOOD);
    expect(res.status).toBe(503);
    expect(res.headers.get('retry-after')).toBe('1');
    await bench.clock.runFor(2_001);
    await Promise.all(slow);
  });

  test('after all this a good request is served', async () => {
    expect((await post(GOOD)).status).toBe(200);
    expect(await openRequests()).toBe(0);
    expect(bench.kernel.running()).toContain('callers');
    expect(bench.logged.map(({name}) => name)).not.toContain('front-failed');
  });
});

async function openRequests(): Promise<number> {
  const status = await bench.kernel.ask(
    'callers',
    (reply: (status: {readonly openRequests: number}) => void) => ({
      kind: 'status',
      reply,
    }),
  );
  return status.openRequests;
}
