/** The stand-in of a plain service with its HTTP and in-memory clients. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {createMemoryService} from '../standins/memory_service.js';
import {createPlainRoutes} from '../standins/plain_routes.js';
import {createPlainServiceCore} from '../standins/plain_service_core.js';
import {OnyxError} from '../src/types/errors.js';
import type {CallHead} from '../src/types/peer_messages.js';
import type {CallEvent, ServiceClient} from '../src/types/upstream.js';
import {createHttpService} from '../src/upstream/http_service.js';
import {createProcessClock} from '../src/utils/clock.js';
import {promptOf} from './support/engine_runs.js';
import {listen, listenRoutes} from './support/http_server.js';
import type {TestServer} from './support/http_server.js';
import {createVirtualClock} from './support/virtual_clock.js';

const clock = createProcessClock();
const servers: TestServer[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

async function setUp() {
  const core = createPlainServiceCore({clock});
  const server = await listenRoutes(createPlainRoutes(core));
  servers.push(server);
  const client = createHttpService({url: server.url, clock});
  return {core, client, url: server.url};
}

function headOf(method: string, path: string): CallHead {
  return {method, path, headers: [{name: 'x-own', value: 'yes'}]};
}

/** Sends a call; resolves with its response and its error, if any. */
async function sendCall(
  client: ServiceClient,
  head: CallHead,
  body: AsyncIterable<Uint8Array> = promptOf(''),
) {
  const events: CallEvent[] = [];
  const stream = client.call('run.1', head, body);
  const err = await stream
    .observe(event => void events.push(event))
    .then(
      () => undefined,
      (cause: unknown) => cause,
    );
  const first = events[0]?.kind === 'head' ? events[0].head : undefined;
  const pieces = events.map(one => (one.kind === 'data' ? one.data : ''));
  const isComplete = events.at(-1)?.kind === 'done';
  const text = pieces.map(piece => Buffer.from(piece).toString()).join('');
  return {
    status: first?.status,
    headers: first?.headers,
    text,
    err,
    isComplete,
  };
}

async function* brokenBody(): AsyncIterable<Uint8Array> {
  yield Buffer.alloc(100_000);
  const message = 'the caller left';
  throw new OnyxError({code: 'cancelled', step: 'read', message, ran: 'no'});
}

describe('calls over HTTP', () => {
  test('method, path, body and status are forwarded unchanged', async () => {
    const {core, client} = await setUp();
    const path = '/readings/7?status=404&bytes=200000&q=%20a';
    const call = await sendCall(client, headOf('PUT', path), promptOf('hail'));
    expect(call).toMatchObject({status: 404, isComplete: true, err: undefined});
    expect(call.text).toHaveLength(200_000);
    expect(JSON.parse(call.text)).toMatchObject({
      method: 'PUT',
      path,
      length: 4,
    });
    expect(core.counts()).toMatchObject({runs: {'run.1': 1}, running: 0});
  });

  test('headers are forwarded except for hop-by-hop headers', async () => {
    let seen: IncomingMessage['headers'] = {};
    const echo = (req: IncomingMessage, res: ServerResponse) => {
      seen = req.headers;
      res.setHeader('set-cookie', ['a=1', 'b=2']);
      res.setHeader('connection', 'x-hop');
      res.setHeader('x-hop', 'here');
      res.end();
    };
    const server = await listen(echo);
    servers.push(server);
    const client = createHttpService({url: server.url, clock});
    const headers = [
      {name: 'Connection', value: 'x-mine'},
      {name: 'X-Mine', value: 'hop'},
      {name: 'Host', value: 'entry'},
      {name: 'Accept', value: 'text/plain'},
    ];
    const call = await sendCall(client, {method: 'GET', path: '/', headers});
    expect(seen).toMatchObject({accept: 'text/plain'});
    expect(seen['x-onyxloft-run-id']).toBe('run.1');
    expect(seen['x-mine']).toBeUndefined();
    expect(seen['host']).not.toBe('entry');
    expect(seen['transfer-encoding']).toBeUndefined();
    const names = call.headers?.map(({name}) => name) ?? [];
    expect(names).not.toContain('x-hop');
    expect(names.filter(name => name === 'set-cookie')).toHaveLength(2);
  });

  // The service executes the call, then the connection breaks. If the error
  // said "not run", a non-repeatable call would run twice.
  test('a call whose response is lost is reported as unknown', async () => {
    const {core, client} = await setUp();
    core.setFaults({loseAnswers: true});
    const call = await sendCall(client, headOf('POST', '/alerts'));
    expect(call.err).toMatchObject({code: 'upstream-lost', ran: 'unknown'});
    expect(core.counts().runs).toEqual({'run.1': 1});
  });

  // The caller disconnects while its body is sent. The body's source reports
  // "not run" for its own step, but bytes have reached the service by then.
  test('a call whose body fails after bytes were sent is reported as unknown', async () => {
    const {core, client} = await setUp();
    const call = await sendCall(client, headOf('POST', '/'), brokenBody());
    expect(call.err).toMatchObject({step: 'run', ran: 'unknown'});
    expect(core.counts().total).toBe(0);
  });

  test('a call that cannot be sent is reported as not run', async () => {
    const unreachable = createHttpService({url: 'http://127.0.0.1:1', clock});
    const refused = await sendCall(unreachable, headOf('POST', '/'));
    expect(refused.err).toMatchObject({code: 'peer-unreachable', ran: 'no'});
    const {client} = await setUp();
    const bad = await sendCall(client, headOf('NO GO', '/'));
    expect(bad.err).toMatchObject({code: 'bad-request', ran: 'no'});
  });

  test('the load report counts running calls', async () => {
    const {core, client} = await setUp();
    const slow = sendCall(client, headOf('GET', '/?delayMs=200'));
    while (core.counts().running === 0) await client.report();
    const report = (await client.report()).extract();
    expect(report).toEqual({running: 1, capacity: 32, ageMs: 0});
    expect((await slow).status).toBe(200);
  });
});

describe('calls in memory', () => {
  function setUpMemory() {
    const virtual = createVirtualClock();
    const core = createPlainServiceCore({clock: virtual});
    const client = createMemoryService({core, clock: virtual});
    return {virtual, core, client};
  }

  test('a call is answered after its delay', async () => {
    const {virtual, client} = setUpMemory();
    const call = sendCall(client, headOf('GET', '/?delayMs=50&status=201'));
    await virtual.runFor(60);
    expect(await call).toMatchObject({status: 201, isComplete: true});
  });

  // A dead service receives nothing. A call that breaks off may have executed.
  test('errors report whether the call may have executed', async () => {
    const {virtual, core, client} = setUpMemory();
    const cut = sendCall(client, headOf('POST', '/?delayMs=50'));
    await virtual.runFor(10);
    client.cut();
    expect((await cut).err).toMatchObject({ran: 'unknown'});
    const died = sendCall(client, headOf('POST', '/?delayMs=50'));
    await virtual.runFor(10);
    core.setFaults({dead: true});
    expect((await died).err).toMatchObject({ran: 'unknown'});
    const refused = sendCall(client, headOf('POST', '/'));
    await virtual.runFor(10);
    expect((await refused).err).toMatchObject({ran: 'no'});
    expect(core.counts()).toMatchObject({total: 2, running: 0});
  });
});
