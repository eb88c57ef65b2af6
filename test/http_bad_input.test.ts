/**
 * Tests that invalid input to the callers' service gets the right HTTP status,
 * is not submitted, and leaves the service running.
 */
import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {PRAIRIE_KEY, startFront, sendAnswer} from './support/front_fixture.js';
import type {FrontFixture} from './support/front_fixture.js';

const AUTH = `Authorization: Bearer ${PRAIRIE_KEY}\r\n`;
const POST = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n';

let front: FrontFixture;

beforeAll(async () => {
  front = await startFront(
    {submit: (spec, listener) => sendAnswer(listener, spec.id, ['x'])},
    {
      limits: {maxBodyBytes: 100_000, maxOpenRequests: 2},
      timing: {bodyTimeoutMs: 2_000},
    },
  );
});

afterAll(() => front.kernel.stop());

/**
 * Sends text over a new connection and resolves to all that is received. The
 * connection is ended when a JSON body arrives, unless `keepOpen` is set.
 */
function sendRaw(text: string, keepOpen = false): Promise<string> {
  return new Promise((resolve, reject) => {
    let received = '';
    const socket = connect(front.port, '127.0.0.1', () => socket.write(text));
    socket.on('data', data => {
      received += data.toString();
      if (received.includes('\r\n\r\n{') && !keepOpen) socket.end();
    });
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
  });
}

function post(
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(`${front.url}/v1/completions`, {
    method: 'POST',
    body,
    headers: {Authorization: `Bearer ${PRAIRIE_KEY}`, ...headers},
  });
}

function submitCount(): number {
  return front.received.filter(({kind}) => kind === 'submit').length;
}

const GOOD = '{"prompt":"x"}';

describe('bad input', () => {
  test.each([
    ['invalid JSON', '{"prompt":', 400, 'bad-request'],
    ['a body that is not an object', '[]', 400, 'bad-request'],
    ['a body without a prompt', '{}', 400, 'bad-request'],
    ['an empty prompt', '{"prompt":""}', 400, 'bad-request'],
    ['a prompt of the wrong type', '{"prompt":3}', 400, 'bad-request'],
    ['max_tokens as a string', '{"prompt":"x","max_tokens":"3"}', 400, ''],
    ['max_tokens of 0', '{"prompt":"x","max_tokens":0}', 400, ''],
    ['stream as a number', '{"prompt":"x","stream":1}', 400, ''],
    ['user as a number', '{"prompt":"x","user":1}', 400, ''],
    ['a request for two answers', '{"prompt":"x","n":2}', 400, ''],
    ['an unknown option', '{"prompt":"x","onyxloft":{"a":1}}', 400, ''],
    [
      'an unknown priority',
      '{"prompt":"x","onyxloft":{"priority":"p"}}',
      400,
      '',
    ],
    ['an unknown model', '{"prompt":"x","model":"m"}', 404, 'unknown-model'],
    ['an unknown adapter', '{"prompt":"x","model":"onyx-1:a"}', 404, ''],
  ])('%s is refused and not submitted', async (_, body, status, code) => {
    const before = submitCount();
    const res = await post(body);
    expect(res.status).toBe(status);
    const {error} = (await res.json()) as {error: Record<string, unknown>};
    expect(error).toMatchObject({
      ran: 'no',
      request_id: res.headers.get('x-request-id'),
    });
    expect(error['code']).toContain(code);
    expect(submitCount()).toBe(before);
  });

  test.each([
    ['a deadline in the past', {'X-Onyxloft-Deadline': '2025-12-31T23:59:59Z'}],
    ['a time limit of 0', {'X-Onyxloft-Time-Limit-Ms': '0'}],
    ['a time limit that is not a number', {'X-Onyxloft-Time-Limit-Ms': 'soon'}],
    ['a time limit of years', {'X-Onyxloft-Time-Limit-Ms': '99999999999'}],
    ['a deadline that is not a date', {'X-Onyxloft-Deadline': 'noon'}],
    ['a flag other than yes or no', {'X-Onyxloft-Repeatable': 'maybe'}],
    ['an idempotency key with blanks', {'Idempotency-Key': 'a b'}],
  ])('%s is refused and not submitted', async (name, headers) => {
    const before = submitCount();
    const res = await post(GOOD, headers as unknown as Record<string, string>);
    expect(res.status).toBe(400);
    const isPast = /past|of 0/.test(name);
    expect(await res.text()).toContain(
      isPast ? 'deadline-in-past' : 'bad-request',
    );
    expect(submitCount()).toBe(before);
  });

  test.each([
    ['no key', ''],
    ['an unknown key', 'Bearer onyx_nobody'],
    ['another authentication scheme', 'Basic YTpi'],
  ])('%s is answered 401', async (_, authorization) => {
    const res = await post(GOOD, {Authorization: authorization});
    expect(res.status).toBe(401);
    expect(res.headers.get('www-authenticate')).toBe('Bearer');
  });

  test.each([
    ['an unknown path', 'GET', '/v1/nothing', 404],
    ['an unknown pool', 'GET', '/v1/services/nowhere/x', 404],
    ['a malformed request id', 'GET', '/v1/requests/17', 404],
    ['a method that is not allowed', 'PUT', '/v1/completions', 405],
  ])('%s gets its own status', async (_, method, path, status) => {
    const headers = {Authorization: `Bearer ${PRAIRIE_KEY}`};
    const res = await fetch(front.url + path, {method, headers});
    expect(res.status).toBe(status);
  });

  test('a content length over the limit is refused before the body arrives', async () => {
    const got = await sendRaw(`${POST}${AUTH}Content-Length: 100001\r\n\r\n`);
    expect(got).toContain('HTTP/1.1 413');
    expect(got).toContain('"code":"too-large"');
  });

  test('a refused caller that keeps sending is disconnected', async () => {
    const refusalCount = () =>
      front.logged.filter(({name}) => name === 'request-refused').length;
    const before = refusalCount();
    const got = sendRaw(`${POST}Content-Length: 50\r\n\r\n{`, true);
    await expect.poll(refusalCount).toBe(before + 1);
    await post(GOOD);
    await front.clock.runFor(1_001);
    expect(await got).toContain('HTTP/1.1 401');
  });

  test('a refused request with expect: 100-continue gets no 100 response', async () => {
    const got = await sendRaw(
      `${POST}${AUTH}Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n`,
    );
    expect(got).toMatch(/^HTTP\/1\.1 413/);
  });

  test('a chunked body over the limit is refused while it arrives', async () => {
    const chunk = `2710\r\n${' '.repeat(10_000)}\r\n`;
    const got = await sendRaw(
      `${POST}${AUTH}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(11)}`,
    );
    expect(got).toContain('HTTP/1.1 413');
  });

  test('headers over the limit are answered 431', async () => {
    const got = await sendRaw(`${POST}X-Flood: ${'f'.repeat(20_000)}\r\n\r\n`);
    expect(got).toContain('HTTP/1.1 431');
    expect(got).toContain('"code":"too-large"');
  });

  test('input that is not HTTP is answered 400', async () => {
    expect(await sendRaw('frost?\r\n\r\n')).toContain('HTTP/1.1 400');
  });

  test('a body that arrives too slowly is answered 408', async () => {
    const got = sendRaw(`${POST}${AUTH}Content-Length: 50\r\n\r\n{"pro`);
    await expect.poll(() => openRequests()).toBe(1);
    await front.clock.runFor(2_001);
    expect(await got).toContain('HTTP/1.1 408');
    expect(await openRequests()).toBe(0);
  });

  test('a request beyond the limit of open requests gets 503 and retry-after', async () => {
    const head = `${POST}${AUTH}Content-Length: 50\r\n\r\n{`;
    const slow = [sendRaw(head), sendRaw(head)];
    await expect.poll(() => openRequests()).toBe(2);
    const res = await post(GOOD);
    expect(res.status).toBe(503);
    expect(res.headers.get('retry-after')).toBe('1');
    await front.clock.runFor(2_001);
    await Promise.all(slow);
  });

  test('a valid request is served after all the invalid ones', async () => {
    expect((await post(GOOD)).status).toBe(200);
    expect(await openRequests()).toBe(0);
    expect(front.kernel.runningServices()).toContain('callers');
    expect(front.logged.map(({name}) => name)).not.toContain('front-failed');
  });
});

async function openRequests(): Promise<number> {
  const status = await front.kernel.ask(
    'callers',
    (reply: (status: {readonly openRequests: number}) => void) => ({
      kind: 'status',
      reply,
    }),
  );
  return status.openRequests;
}
