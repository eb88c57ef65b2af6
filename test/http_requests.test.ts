/**
 * Tests the routes for requests that were started earlier: state, resume,
 * cancel, and access by organisation.
 */
import {afterEach, describe, expect, test} from 'vitest';
import type {RequestListener} from '../src/types/services.js';
import {
  INGUFU_KEY,
  startFront,
  sendAnswer,
  maskIds,
} from './support/front_fixture.js';
import type {FrontFixture, RequestsScript} from './support/front_fixture.js';

let front: FrontFixture;

afterEach(() => front.kernel.stop());

async function start(script: RequestsScript = {}): Promise<void> {
  front = await startFront(script);
}

const call: FrontFixture['call'] = (...args) => front.call(...args);

describe('a request started earlier', () => {
  const ID = 'ab'.repeat(16);
  const stateForOwner: RequestsScript['state'] = (id, organisation) =>
    id === ID && organisation === 'prairie-sky' ? {nextSeq: 4} : undefined;

  test('its state is shown', async () => {
    await start({state: stateForOwner});
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
    await start({
      state: stateForOwner,
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

  // The caller has chunks of a run that another run has replaced. Joined chunks
  // would be a text that no model generated, so it must resume from chunk 0.
  test('a resume does not join chunks of two runs', async () => {
    await start({
      state: stateForOwner,
      resume: ({listener, fromSeq}) => sendAnswer(listener, ID, ['c'], fromSeq),
    });
    const res = await call('GET', `/v1/requests/${ID}?stream=true`, undefined, {
      'Last-Event-ID': `${ID}:${ID}.7:1`,
    });
    expect(res.status).toBe(502);
    expect(await res.text()).toContain('"code":"answer-incomplete"');
  });

  test('the whole answer is sent when the caller waits for it', async () => {
    await start({
      state: stateForOwner,
      resume: ({listener}) => sendAnswer(listener, ID, ['a', 'b']),
    });
    const res = await call('GET', `/v1/requests/${ID}?wait=true`);
    expect(await res.json()).toMatchObject({choices: [{text: 'ab'}]});
  });

  // The caller has reconnected because its first connection was silent. The
  // close of the first connection must not cancel the run.
  test('a second connection takes over, and the close of the first does not cancel the run', async () => {
    let secondListener: RequestListener | undefined;
    await start({
      submit: (spec, listener) =>
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'a',
        ]),
      state: () => ({}),
      resume: ({listener}) => {
        secondListener = listener;
      },
    });
    const body = JSON.stringify({prompt: 'x', stream: true});
    const first = await call('POST', '/v1/completions', body);
    const id = first.headers.get('x-request-id') ?? '';
    const resumed = call('GET', `/v1/requests/${id}?stream=true&from=1`);
    await front.waitForMessage('resume');
    await expect(first.text()).rejects.toThrow();
    await front.clock.runFor(10_000);
    if (secondListener !== undefined) sendAnswer(secondListener, id, ['b'], 1);
    expect(await (await resumed).text()).toContain('[DONE]');
    expect(front.received.map(({kind}) => kind)).not.toContain('cancel');
  });

  test('its own organisation can cancel it', async () => {
    await start({state: stateForOwner});
    const res = await call('DELETE', `/v1/requests/${ID}`);
    expect(await res.json()).toEqual({id: ID, cancelled: true});
  });

  test('another organisation gets the same answer as for an unknown id', async () => {
    await start({state: stateForOwner});
    const unknownId = 'cd'.repeat(16);
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
      const existing = await ask(method, `/v1/requests/${ID}${query}`);
      expect(existing.status).toBe(404);
      expect(existing).toEqual(
        await ask(method, `/v1/requests/${unknownId}${query}`),
      );
    }
    expect(front.received.map(({kind}) => kind)).not.toContain('resume');
  });
});
