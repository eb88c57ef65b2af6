/**
 * Tests the responses of the callers' service: streamed and whole completions,
 * calls to a plain service, readiness and drain.
 */
import {afterEach, describe, expect, test} from 'vitest';
import {OnyxError} from '../src/types/errors.js';
import type {RequestListener, RequestSpec} from '../src/types/services.js';
import {
  declarations,
  startFront,
  sendAnswer,
  membershipViewOf,
  maskIds,
} from './support/front_fixture.js';
import type {FrontFixture, RequestsScript} from './support/front_fixture.js';

let front: FrontFixture;

afterEach(() => front.kernel.stop());

async function start(script: RequestsScript = {}): Promise<void> {
  front = await startFront(script);
}

const call: FrontFixture['call'] = (...args) => front.call(...args);

function complete(fields: object, headers = {}): Promise<Response> {
  return call('POST', '/v1/completions', JSON.stringify(fields), headers);
}

function submittedSpec(): RequestSpec {
  const message = front.received.find(each => each.kind === 'submit');
  if (message?.kind !== 'submit') throw new Error('nothing was submitted');
  return message.spec;
}

function promptOf(spec: RequestSpec): string {
  return Buffer.concat(spec.body.pieces).toString('utf8');
}

const answerWith =
  (...chunks: readonly string[]) =>
  (spec: RequestSpec, listener: RequestListener) =>
    sendAnswer(listener, spec.id, chunks);

function upstreamError(
  ran: 'no' | 'unknown',
  retryAfterMs?: number,
): OnyxError {
  return new OnyxError({
    code: ran === 'no' ? 'no-upstream' : 'upstream-lost',
    step: ran === 'no' ? 'route' : 'run',
    peer: '127.0.0.1:9',
    message: 'it went away',
    ran,
    retryAfterMs,
  });
}

describe('completions', () => {
  test('a streamed answer has numbered chunks, usage and an end mark', async () => {
    await start({submit: answerWith('late ', 'frost ❄')});
    const res = await complete({
      model: 'onyx-1',
      prompt: 'summary?',
      stream: true,
      max_tokens: 5,
      temperature: 0.2,
      user: 'volunteer',
    });
    expect(res.headers.get('content-type')).toBe('text/event-stream');
    expect(res.headers.get('x-request-id')).toBe(submittedSpec().id);
    await expect(maskIds(await res.text())).toMatchFileSnapshot(
      'golden/front_stream.txt',
    );
  });

  test('a whole answer is one JSON object', async () => {
    await start({submit: answerWith('late ', 'frost')});
    const res = await complete({prompt: ['summary?']});
    expect(res.status).toBe(200);
    const text = maskIds(await res.text());
    await expect(text).toMatchFileSnapshot('golden/front_whole.json');
  });

  // The first run fails inside a character. The caller has received nothing,
  // so it gets the text of the second run without any byte of the first.
  test('a whole answer contains nothing of a run that was replaced', async () => {
    await start({
      submit: (spec, listener) => {
        const incomplete = Buffer.from('up ❄').subarray(0, -1);
        for (const [seq, data] of [
          Buffer.from('given '),
          incomplete,
        ].entries()) {
          listener({kind: 'chunk', seq, data, tokens: 1, callHead: undefined});
        }
        listener({kind: 'restarted'});
        sendAnswer(listener, spec.id, ['late ', 'frost']);
      },
    });
    const res = await complete({model: 'onyx-1', prompt: 'summary?'});
    const body = (await res.json()) as {choices: {text: string}[]};
    expect(body.choices[0].text).toBe('late frost');
    expect(submittedSpec().streamed).toBe(false);
  });

  test('a character split between two chunks is sent whole with the later chunk', async () => {
    await start({
      submit: (spec, listener) => {
        const bytes = new TextEncoder().encode('a❄b');
        listener({kind: 'placed', dispatchId: `${spec.id}.0`, side: ''});
        [bytes.subarray(0, 2), bytes.subarray(2)].forEach((data, seq) =>
          listener({kind: 'chunk', seq, data, tokens: 1, callHead: undefined}),
        );
      },
    });
    const res = await complete({prompt: 'x', stream: true});
    const reader = res.body?.getReader();
    const first = new TextDecoder().decode((await reader?.read())?.value);
    await reader?.cancel();
    expect(maskIds(first)).toContain('id: ID:ID.0:1\n');
    expect(first).toContain('"text":"a❄b"');
  });

  test('the submitted request has the classes, limits and flags of the headers', async () => {
    await start({submit: answerWith('x')});
    await complete(
      {
        model: 'onyx-1:frost',
        prompt: 'p'.repeat(20_000),
        onyxloft: {priority: 'normal', time_limit_ms: 1_000},
      },
      {
        'X-Onyxloft-Priority': 'alert',
        'X-Onyxloft-Repeatable': 'no',
        'Idempotency-Key': 'alert-17',
      },
    );
    expect(submittedSpec()).toMatchObject({
      organisation: 'prairie-sky',
      model: 'onyx-1',
      adapter: 'frost',
      priorityClass: 'alert',
      priority: 0,
      promptTokens: 5_000,
      lengthClass: 'long',
      deadlineAt: 1_000,
      repeatable: false,
      idempotencyKey: 'alert-17',
      maxTokens: 16,
    });
    expect(submittedSpec().prefixHashes).toHaveLength(19);
  });

  test('a prompt of five megabytes is submitted unchanged', async () => {
    await start({submit: answerWith('x')});
    const line = 'Ünit 4: "isolated"\n\\ at 🌨 \u0001 ';
    const prompt = line.repeat(Math.ceil((5 * 1024 * 1024) / line.length));
    const res = await complete({prompt, max_tokens: 1});
    expect(res.status).toBe(200);
    expect(promptOf(submittedSpec()) === prompt).toBe(true);
    expect(submittedSpec().prefixHashes).toHaveLength(64);
  });

  test('a refusal has its own status and a retry-after header', async () => {
    await start({
      submit: (_, listener) =>
        listener({kind: 'failed', error: upstreamError('no', 1_200)}),
    });
    const res = await complete({prompt: 'x', stream: true});
    expect(res.status).toBe(503);
    expect(res.headers.get('retry-after')).toBe('2');
    const text = maskIds(await res.text());
    await expect(text).toMatchFileSnapshot('golden/front_refusal.json');
  });

  test('a stream that fails midway ends with an error and without the end mark', async () => {
    await start({
      submit: (spec, listener) => {
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'half',
        ]);
        listener({kind: 'failed', error: upstreamError('unknown')});
      },
    });
    const text = await (await complete({prompt: 'x', stream: true})).text();
    expect(text).toContain('"half"');
    expect(text).toMatch(/event: error\ndata: .*"ran":"unknown"/);
    expect(text).not.toContain('[DONE]');
  });

  // A lost chunk must not result in a text that has a gap and looks complete.
  // The stream ends with an error, and the run is cancelled.
  test.each([
    ['between two others', [0, 2], 2],
    ['at the end', [0], 2],
  ])(
    'a missing chunk %s ends the stream with an error',
    async (_, seqs, count) => {
      await start({
        submit: (_spec, listener) => {
          const data = new TextEncoder().encode('x');
          const chunk = {
            kind: 'chunk',
            data,
            tokens: 1,
            callHead: undefined,
          } as const;
          for (const seq of seqs) listener({...chunk, seq});
          listener({
            kind: 'end',
            count,
            tokens: count,
            finishReason: 'stop',
            cachedTokens: 0,
          });
        },
      });
      const text = await (await complete({prompt: 'x', stream: true})).text();
      expect(text).toContain('"code":"answer-incomplete"');
      expect(text).not.toContain('[DONE]');
      await front.waitForMessage('cancel');
    },
  );

  // The requests service has lost the request and never ends it. The callers'
  // service must end it, and must report as unknown whether it ran.
  test('a request that is not ended by its deadline is ended with an error', async () => {
    await start();
    const pending = complete({prompt: 'x', onyxloft: {time_limit_ms: 100}});
    await front.waitForMessage('submit');
    await front.clock.runFor(700);
    const res = await pending;
    expect(res.status).toBe(504);
    expect(await res.json()).toMatchObject({
      error: {code: 'deadline-exceeded', ran: 'unknown'},
    });
    await front.waitForMessage('cancel');
  });

  test('a run is cancelled when its caller disconnects and does not reconnect', async () => {
    await start({
      submit: (spec, listener) =>
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'half',
        ]),
    });
    const res = await complete({prompt: 'x', stream: true});
    await res.body?.cancel();
    await expect
      .poll(() => front.logged.some(line => line.name === 'caller-left'))
      .toBe(true);
    await front.clock.runFor(2_001);
    expect(await front.waitForMessage('cancel')).toMatchObject({
      id: submittedSpec().id,
    });
  });

  test('time to first token and slowdown are measured by length class', async () => {
    await start({
      submit: (spec, listener) => {
        front.clock.advance(spec.promptTokens);
        sendAnswer(listener, spec.id, ['x']);
      },
    });
    await (await complete({prompt: 'p'.repeat(400)})).text();
    await (await complete({prompt: 'p'.repeat(800)})).text();
    const metrics = front.runtime.metrics.render();
    expect(metrics).toContain(
      'onyxloft_first_token_ms_sum{length_class="short"} 300',
    );
    expect(metrics).toContain('onyxloft_short_slowdown_sum 3');
    expect(metrics).toContain('onyxloft_requests_total{outcome="complete"} 2');
  });
});

describe('calls to a plain service', () => {
  test('method, path, headers, body and the whole response are forwarded', async () => {
    await start({
      submit: (spec, listener) => {
        const head = {
          status: 207,
          headers: [
            {name: 'X-Station', value: '12'},
            {name: 'Connection', value: 'X-Hop'},
            {name: 'X-Hop', value: 'dropped'},
          ],
        };
        const data = Buffer.concat(spec.body.pieces);
        listener({kind: 'chunk', seq: 0, data, tokens: 0, callHead: head});
        listener({
          kind: 'end',
          count: 1,
          tokens: 0,
          finishReason: '',
          cachedTokens: 0,
        });
      },
    });
    const res = await call(
      'PUT',
      '/v1/services/station-app/readings/12?unit=c&x=%2F',
      Uint8Array.of(0, 255, 1),
      {'X-Volunteer': 'ann', 'X-Onyxloft-Priority': 'alert'},
    );
    expect(res.status).toBe(207);
    expect(res.headers.get('x-station')).toBe('12');
    expect(res.headers.get('x-hop')).toBeNull();
    expect([...new Uint8Array(await res.arrayBuffer())]).toEqual([0, 255, 1]);
    const {call: head, repeatable, priority} = submittedSpec();
    expect({method: head?.method, path: head?.path}).toEqual({
      method: 'PUT',
      path: '/readings/12?unit=c&x=%2F',
    });
    expect({repeatable, priority}).toEqual({repeatable: false, priority: 0});
    const headerNames = head?.headers.map(({name}) => name.toLowerCase());
    expect(headerNames).toContain('x-volunteer');
    expect(headerNames).not.toContain('authorization');
    expect(headerNames).not.toContain('x-onyxloft-priority');
  });

  // A response that ends regularly would look complete. The connection is
  // closed instead, so that the client reports an error.
  test('a response that fails midway closes the connection', async () => {
    await start({
      submit: (_, listener) => {
        const callHead = {status: 200, headers: []};
        const data = Buffer.from('half');
        listener({kind: 'chunk', seq: 0, data, tokens: 0, callHead});
        listener({kind: 'failed', error: upstreamError('unknown')});
      },
    });
    await expect(
      call('GET', '/v1/services/station-app').then(res => res.text()),
    ).rejects.toThrow();
    expect(submittedSpec()).toMatchObject({
      repeatable: true,
      call: {method: 'GET', path: '/'},
    });
  });
});

describe('readiness and drain', () => {
  test('the entry is ready only with a configuration and a live replica', async () => {
    await start();
    const ready = async () => (await call('GET', '/readyz')).status;
    expect(await ready()).toBe(200);
    front.setMembership(membershipViewOf('suspect', 'leaving'));
    expect(await ready()).toBe(503);
    expect((await call('GET', '/healthz')).status).toBe(200);
  });

  // A restarted membership service has lost its subscribers. The load balancer
  // must still learn when the last replica is gone.
  test('readiness follows a restarted membership service', async () => {
    await start();
    front.dropMembershipSubscribers();
    await front.clock.runFor(5_000);
    // The subscription is delivered by the time this call is answered.
    expect((await call('GET', '/readyz')).status).toBe(200);
    front.setMembership(membershipViewOf('gone'));
    expect((await call('GET', '/readyz')).status).toBe(503);
  });

  test('an older configuration does not replace a newer one', async () => {
    await start({submit: answerWith('x')});
    front.setConfig(declarations({}, 8));
    front.setConfig(declarations({models: []}, 7));
    expect((await complete({prompt: 'x'})).status).toBe(200);
    expect(submittedSpec().config.number).toBe(8);
  });

  test('a drain refuses new requests and waits for the open ones', async () => {
    let finish = () => undefined as void;
    await start({
      submit: (spec, listener) => {
        finish = () => sendAnswer(listener, spec.id, ['whole']);
      },
    });
    const openRequest = complete({prompt: 'x'});
    await front.waitForMessage('submit');
    let drained = false;
    const drain = front.kernel
      .ask('callers', (reply: (value: void) => void) => ({
        kind: 'drain',
        reply: () => reply(),
      }))
      .then(() => {
        drained = true;
      });
    expect((await call('GET', '/readyz')).status).toBe(503);
    const refused = await complete({prompt: 'y'});
    expect(refused.status).toBe(503);
    expect(await refused.text()).toContain('"code":"draining"');
    expect(drained).toBe(false);
    finish();
    expect(await (await openRequest).json()).toMatchObject({
      choices: [{text: 'whole'}],
    });
    await drain;
  });
});
