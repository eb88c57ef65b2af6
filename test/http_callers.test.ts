/** What callers get, whole: streamed, in one piece, from a plain service. */
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

let bench: FrontFixture;

afterEach(() => bench.kernel.stop());

async function open(script: RequestsScript = {}): Promise<void> {
  bench = await startFront(script);
}

const call: FrontFixture['call'] = (...args) => bench.call(...args);

function complete(fields: object, headers = {}): Promise<Response> {
  return call('POST', '/v1/completions', JSON.stringify(fields), headers);
}

function submitted(): RequestSpec {
  const message = bench.received.find(each => each.kind === 'submit');
  if (message?.kind !== 'submit') throw new Error('nothing was submitted');
  return message.spec;
}

function promptOf(spec: RequestSpec): string {
  return Buffer.concat(spec.body.pieces).toString('utf8');
}

const answers =
  (...chunks: readonly string[]) =>
  (spec: RequestSpec, listener: RequestListener) =>
    sendAnswer(listener, spec.id, chunks);

function lost(ran: 'no' | 'unknown', retryAfterMs?: number): OnyxError {
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
  test('a streamed answer has numbered chunks, usage, and its end', async () => {
    await open({submit: answers('late ', 'frost ❄')});
    const res = await complete({
      model: 'onyx-1',
      prompt: 'summary?',
      stream: true,
      max_tokens: 5,
      temperature: 0.2,
      user: 'volunteer',
    });
    expect(res.headers.get('content-type')).toBe('text/event-stream');
    expect(res.headers.get('x-request-id')).toBe(submitted().id);
    await expect(maskIds(await res.text())).toMatchFileSnapshot(
      'golden/front_stream.txt',
    );
  });

  test('a whole answer is one JSON object', async () => {
    await open({submit: answers('late ', 'frost')});
    const res = await complete({prompt: ['summary?']});
    expect(res.status).toBe(200);
    const text = maskIds(await res.text());
    await expect(text).toMatchFileSnapshot('golden/front_whole.json');
  });

  // The first run dies amid a character. The caller, who has seen nothing yet,
  // gets the second run's text, with no byte of the first before it.
  test('a whole answer holds nothing of a run that was given up', async () => {
    await open({
      submit: (spec, listener) => {
        const cut = Buffer.from('up ❄').subarray(0, -1);
        for (const [seq, data] of [Buffer.from('given '), cut].entries()) {
          listener({kind: 'chunk', seq, data, tokens: 1, callHead: undefined});
        }
        listener({kind: 'restarted'});
        sendAnswer(listener, spec.id, ['late ', 'frost']);
      },
    });
    const res = await complete({model: 'onyx-1', prompt: 'summary?'});
    const body = (await res.json()) as {choices: {text: string}[]};
    expect(body.choices[0].text).toBe('late frost');
    expect(submitted().streamed).toBe(false);
  });

  test('a character cut by a chunk border arrives whole, under the later chunk', async () => {
    await open({
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

  test('the spec carries classes, limits and marks from headers', async () => {
    await open({submit: answers('x')});
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
    expect(submitted()).toMatchObject({
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
    expect(submitted().prefixHashes).toHaveLength(19);
  });

  test('five megabytes of prompt reach the upstream unchanged', async () => {
    await open({submit: answers('x')});
    const line = 'Ünit 4: "isolated"\n\\ at 🌨 \u0001 ';
    const prompt = line.repeat(Math.ceil((5 * 1024 * 1024) / line.length));
    const res = await complete({prompt, max_tokens: 1});
    expect(res.status).toBe(200);
    expect(promptOf(submitted()) === prompt).toBe(true);
    expect(submitted().prefixHashes).toHaveLength(64);
  });

  test('a refusal has its own status, and when to come back', async () => {
    await open({
      submit: (_, listener) =>
        listener({kind: 'failed', error: lost('no', 1_200)}),
    });
    const res = await complete({prompt: 'x', stream: true});
    expect(res.status).toBe(503);
    expect(res.headers.get('retry-after')).toBe('2');
    const text = maskIds(await res.text());
    await expect(text).toMatchFileSnapshot('golden/front_refusal.json');
  });

  test('a stream that fails midway ends with an error and never with its end mark', async () => {
    await open({
      submit: (spec, listener) => {
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'half',
        ]);
        listener({kind: 'failed', error: lost('unknown')});
      },
    });
    const text = await (await complete({prompt: 'x', stream: true})).text();
    expect(text).toContain('"half"');
    expect(text).toMatch(/event: error\ndata: .*"ran":"unknown"/);
    expect(text).not.toContain('[DONE]');
  });

  /*
   * The caller must not see a text with a hole that looks whole. A chunk is
   * lost on its way to the front; the one after it arrives; the front ends the
   * answer with an error and cancels the run rather than go on.
   */
  test.each([
    ['between two others', [0, 2], 2],
    ['at the end', [0], 2],
  ])(
    'a chunk missing %s ends the stream with an error',
    async (_, seqs, count) => {
      await open({
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
      await bench.waitForMessage('cancel');
    },
  );

  /*
   * The caller waits for an answer that the owner of the request has lost. Its
   * time limit ends; nothing comes; the front itself gives the final answer,
   * which says that nobody knows whether it ran.
   */
  test('a request that nobody ends is ended by the front after its deadline', async () => {
    await open();
    const pending = complete({prompt: 'x', onyxloft: {time_limit_ms: 100}});
    await bench.waitForMessage('submit');
    await bench.clock.runFor(700);
    const res = await pending;
    expect(res.status).toBe(504);
    expect(await res.json()).toMatchObject({
      error: {code: 'deadline-exceeded', ran: 'unknown'},
    });
    await bench.waitForMessage('cancel');
  });

  test('a caller that leaves and stays away has its run cancelled', async () => {
    await open({
      submit: (spec, listener) =>
        sendAnswer(event => event.kind !== 'end' && listener(event), spec.id, [
          'half',
        ]),
    });
    const res = await complete({prompt: 'x', stream: true});
    await res.body?.cancel();
    await expect
      .poll(() => bench.logged.some(line => line.name === 'caller-left'))
      .toBe(true);
    await bench.clock.runFor(2_001);
    expect(await bench.waitForMessage('cancel')).toMatchObject({
      id: submitted().id,
    });
  });

  test('time to first token and slowdown are measured by class', async () => {
    await open({
      submit: (spec, listener) => {
        bench.clock.advance(spec.promptTokens);
        sendAnswer(listener, spec.id, ['x']);
      },
    });
    await (await complete({prompt: 'p'.repeat(400)})).text();
    await (await complete({prompt: 'p'.repeat(800)})).text();
    const metrics = bench.runtime.metrics.render();
    expect(metrics).toContain(
      'onyxloft_first_token_ms_sum{length_class="short"} 300',
    );
    expect(metrics).toContain('onyxloft_short_slowdown_sum 3');
    expect(metrics).toContain('onyxloft_requests_total{outcome="complete"} 2');
  });
});

describe('calls to a plain service', () => {
  test('method, path, headers, body and the whole answer are passed on', async () => {
    await open({
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
    const {call: head, repeatable, priority} = submitted();
    expect({method: head?.method, path: head?.path}).toEqual({
      method: 'PUT',
      path: '/readings/12?unit=c&x=%2F',
    });
    expect({repeatable, priority}).toEqual({repeatable: false, priority: 0});
    const names = head?.headers.map(({name}) => name.toLowerCase());
    expect(names).toContain('x-volunteer');
    expect(names).not.toContain('authorization');
    expect(names).not.toContain('x-onyxloft-priority');
  });

  /*
   * The caller reads a body that stops. Ended in good order it would look like
   * a whole one, so the connection is cut and the client reports an error.
   */
  test('an answer cut midway cuts the connection', async () => {
    await open({
      submit: (_, listener) => {
        const callHead = {status: 200, headers: []};
        const data = Buffer.from('half');
        listener({kind: 'chunk', seq: 0, data, tokens: 0, callHead});
        listener({kind: 'failed', error: lost('unknown')});
      },
    });
    await expect(
      call('GET', '/v1/services/station-app').then(res => res.text()),
    ).rejects.toThrow();
    expect(submitted()).toMatchObject({
      repeatable: true,
      call: {method: 'GET', path: '/'},
    });
  });
});

describe('readiness and drain', () => {
  test('ready only with a configuration and a live replica', async () => {
    await open();
    const ready = async () => (await call('GET', '/readyz')).status;
    expect(await ready()).toBe(200);
    bench.setMembership(membershipViewOf('suspect', 'leaving'));
    expect(await ready()).toBe(503);
    expect((await call('GET', '/healthz')).status).toBe(200);
  });

  /*
   * The membership service fails and is restarted, and no longer knows whom to
   * tell. The last replica goes; the balancer must hear that this entry is of
   * no use, rather than send callers to it for good.
   */
  test('readiness follows a membership that was restarted', async () => {
    await open();
    bench.dropMembershipSubscribers();
    await bench.clock.runFor(5_000);
    // An answered call: by now the subscription has been delivered.
    expect((await call('GET', '/readyz')).status).toBe(200);
    bench.setMembership(membershipViewOf('gone'));
    expect((await call('GET', '/readyz')).status).toBe(503);
  });

  test('an older configuration does not come back into force', async () => {
    await open({submit: answers('x')});
    bench.setConfig(declarations({}, 8));
    bench.setConfig(declarations({models: []}, 7));
    expect((await complete({prompt: 'x'})).status).toBe(200);
    expect(submitted().config.number).toBe(8);
  });

  test('a drain refuses new requests and waits for the open ones', async () => {
    let finish = () => undefined as void;
    await open({
      submit: (spec, listener) => {
        finish = () => sendAnswer(listener, spec.id, ['whole']);
      },
    });
    const open1 = complete({prompt: 'x'});
    await bench.waitForMessage('submit');
    let drained = false;
    const drain = bench.kernel
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
    expect(await (await open1).json()).toMatchObject({
      choices: [{text: 'whole'}],
    });
    await drain;
  });
});
