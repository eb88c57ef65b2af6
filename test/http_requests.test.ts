/** Requests started before: state, resume, end, and whose they are. */
import {afterEach, describe, expect, test} from 'vitest';
import type {RequestListener} from '../src/types/services.js';
import {
  INGUFU_KEY,
  startFront,
  sendAnswer,
  maskIds,
} from './support/front_fixture.js';
import type {FrontFixture, RequestsScript} from './support/front_fixture.js';

let bench: FrontFixture;

afterEach(() => bench.kernel.stop());

async function open(script: RequestsScript = {}): Promise<void> {
  bench = await startFront(script);
}

const call: FrontFixture['call'] = (...args) => bench.call(...args);

describe('a request started before', () => {
  const ID = 'ab'.repeat(16);
  const owned: RequestsScript['state'] = (id, organisation) =>
    id === ID && organisation === 'prairie-sky' ? {nextSeq: 4} : undefined;

  test('its state is told', async () => {
    await open({state: owned});
    const res = await call('GET', `/v1/requests/${ID}`);
    expect(await res.json()).toEqual({
      id: ID,
      state: 'running',
      kind: 'completion',
      upstream: '127.0.0.1:9',
      dispatch_id: `${ID}.0`,
      next_chunk: 4,
    });
  });

  test('a stream resumes after the last chunk that the caller has', async () => {
    await open({
      state: owned,
      resume: ({listener, fromSeq}) =>
        sendAnswer(listener, ID, ['c', 'd'], fromSeq),
    });
    const res = await call('GET', `/v1/requests/${ID}?stream=true`, undefined, {
      'Last-Event-ID': `${ID}:${ID}.0:1`,
    });
    const text = await res.text();
    expect(text.match(/^id: .*$/gm)).toEqual([
      `id: ${ID}:${ID}.0:2`,
      `id: ${ID}:${ID}.0:3`,
    ]);
    expect(text).toContain('[DONE]');
  });

  /*
   * The caller has chunks 0 and 1 of one run. That run is lost and another one
   * takes its place, with other words. Joined, they would read as one answer
   * that no model gave; so the caller is told to start at 0.
   */
  test('a resume does not join chunks of two runs', async () => {
    await open({
      state: owned,
      resume: ({listener, fromSeq}) => sendAnswer(listener, ID, ['c'], fromSeq),
    });
    const res = await call('GET', `/v1/requests/${ID}?stream=true`, undefined, {
      'Last-Event-ID': `${ID}:${ID}.7:1`,
    });
    expect(res.status).toBe(502);
    expect(await res.text()).toContain('"code":"answer-incomplete"');
  });

  test('the whole answer is waited for when asked', async () => {
    await open({
      state: owned,
      resume: ({listener}) => sendAnswer(listener, ID, ['a', 'b']),
    });
    const res = await call('GET', `/v1/requests/${ID}?wait=true`);
    expect(await res.json()).toMatchObject({choices: [{text: 'ab'}]});
  });

  /*
   * The caller's first connection went silent, and it has come back on a
   * second one. When the first is seen to close at last, the run must go on:
   * it now belongs to the second.
   */
  test('a second connection takes over, and the end of the first cancels nothing', async () => {
    let second: RequestListener | undefined;
    await open({
      submit: (spec, listener) =>
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'a',
        ]),
      state: () => ({}),
      resume: ({listener}) => {
        second = listener;
      },
    });
    const body = JSON.stringify({prompt: 'x', stream: true});
    const first = await call('POST', '/v1/completions', body);
    const id = first.headers.get('x-request-id') ?? '';
    const resumed = call('GET', `/v1/requests/${id}?stream=true&from=1`);
    await bench.waitForMessage('resume');
    await expect(first.text()).rejects.toThrow();
    await bench.clock.runFor(10_000);
    if (second !== undefined) sendAnswer(second, id, ['b'], 1);
    expect(await (await resumed).text()).toContain('[DONE]');
    expect(bench.received.map(({kind}) => kind)).not.toContain('cancel');
  });

  test('its own organisation ends it', async () => {
    await open({state: owned});
    const res = await call('DELETE', `/v1/requests/${ID}`);
    expect(await res.json()).toEqual({id: ID, cancelled: true});
  });

  test('another organisation gets what it would get for an unknown id', async () => {
    await open({state: owned});
    const other = 'cd'.repeat(16);
    const headers = {Authorization: `Bearer ${INGUFU_KEY}`};
    const ask = async (method: string, path: string) => {
      const res = await call(method, path, undefined, headers);
      return {status: res.status, text: maskIds(await res.text())};
    };
    for (const [method, query] of [
      ['GET', ''],
      ['GET', '?stream=true'],
      ['GET', '?wait=true'],
      ['DELETE', ''],
    ] as const) {
      const theirs = await ask(method, `/v1/requests/${ID}${query}`);
      expect(theirs.status).toBe(404);
      expect(theirs).toEqual(
        await ask(method, `/v1/requests/${other}${query}`),
      );
    }
    expect(bench.received.map(({kind}) => kind)).not.toContain('resume');
  });
});
