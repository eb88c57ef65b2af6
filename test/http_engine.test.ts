/** The HTTP client of an engine and the stand-in's routes, on real sockets. */
import {afterEach, expect, test} from 'vitest';
import {createEngineModel} from '../standins/engine_model.js';
import {createEngineRoutes} from '../standins/engine_routes.js';
import {answerText} from '../standins/engine_runs.js';
import {hashPrompt} from '../standins/memory_engine.js';
import {createHttpEngine} from '../src/upstream/http_engine.js';
import {createProcessClock} from '../src/utils/clock.js';
import {collect, promptOf, runReq} from './support/engine_runs.js';
import type {Collected} from './support/engine_runs.js';
import {listenRoutes, until} from './support/http_server.js';
import type {TestServer} from './support/http_server.js';

const clock = createProcessClock();
const servers: TestServer[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** An engine that answers within milliseconds, behind a real server. */
async function setUp(silenceMs = 5_000) {
  const figures = {
    baseStepMs: 1,
    prefillTokensPerSec: 50_000_000,
    reportLagMs: 0,
  };
  const model = createEngineModel({clock, figures});
  const handle = createEngineRoutes({model, clock, beatMs: 20});
  const server = await listenRoutes(handle);
  servers.push(server);
  const {url} = server;
  const client = createHttpEngine({url, clock, silenceMs});
  const setFaults = async (faults: object) => {
    const body = JSON.stringify(faults);
    await fetch(`${url}/faults`, {method: 'POST', body});
  };
  return {model, client, url, setFaults};
}

function isOver(collected: Collected): boolean {
  return collected.ended || collected.err !== undefined;
}

async function answerTo(prompt: string, tokens: number): Promise<string> {
  const hash = await hashPrompt(promptOf(prompt));
  return answerText(hash.slice(0, 8), tokens);
}

test('a long prompt is streamed and its answer arrives complete', async () => {
  const {client, model} = await setUp();
  const piece = 'archive '.repeat(8_192);
  async function* pieces(): AsyncIterable<Uint8Array> {
    for (let i = 0; i < 64; i++) yield Buffer.from(piece);
  }
  const req = runReq('a/b.1', {promptTokens: 400_000, maxTokens: 5});
  const run = collect(client.start(req, pieces()));
  await until(() => isOver(run));
  expect(run.err).toBeUndefined();
  expect(run.text).toBe(await answerTo(piece.repeat(64), 5));
  expect(model.counts().runsStarted).toEqual({'a/b.1': 1});
});

test('calls other than runs return typed results', async () => {
  const {client} = await setUp();
  const hold = runReq('hold', {memoryTokens: 7_000, holdOnly: true});
  const held = collect(client.start(hold, promptOf('')));
  await until(() => held.kinds.includes('prefill'));
  const list = (await client.list()).extract();
  const memoryTokens = 7_000;
  expect(list).toEqual([
    {runId: 'hold', state: 'hold', memoryTokens, tokens: 0},
  ]);
  expect((await client.setPriority('hold', 0)).isRight()).toBe(true);
  const missing = (await client.setPriority('none', 0)).extract();
  expect(missing).toMatchObject({code: 'not-found', step: 'run'});
  expect((await client.cacheEvents(0)).extract()).toEqual([]);
  expect((await client.cancel('hold')).isRight()).toBe(true);
  expect((await client.cancel('none')).isRight()).toBe(true);
  const report = (await client.report()).extract();
  expect(report).toMatchObject({usedTokens: 0, capacityTokens: 420_000});
  const base = {action: 'set-role', model: 'm', version: '', adapter: ''};
  const order = {...base, action: 'set-role', role: 'long'} as const;
  await client.order({...order, orderId: 'a', fence: 2});
  const old = await client.order({...order, orderId: 'b', fence: 1});
  expect(old.extract()).toMatchObject({code: 'stale', step: 'order'});
});

// A connection can stop delivering data without an error. The client must
// detect the missing heartbeats; the engine must not run the request again.
test('a silent stream fails and is resumed on a new connection', async () => {
  const {client, model, setFaults} = await setUp(300);
  const req = runReq('r', {maxTokens: 200});
  const before = collect(client.start(req, promptOf('prompt')));
  await until(() => before.tokens > 10);
  await setFaults({silenceOpen: true});
  await until(() => isOver(before));
  expect(before.err).toMatchObject({code: 'timeout', step: 'run'});
  const after = collect(client.resume('r', before.tokens));
  await until(() => isOver(after));
  expect(before.text + after.text).toBe(await answerTo('prompt', 200));
  expect(model.counts().runsStarted).toEqual({r: 1});
});

// A crashed engine resets open connections and accepts no new ones. A run that
// was never connected did not execute; of others the client cannot know.
test('errors report whether the run may have executed', async () => {
  const {client, setFaults, url} = await setUp();
  const run = collect(
    client.start(runReq('r', {maxTokens: 5_000}), promptOf('p')),
  );
  await until(() => run.tokens > 0);
  await setFaults({dead: true});
  await until(() => isOver(run));
  expect(run.err).toMatchObject({code: 'upstream-lost', ran: 'unknown'});
  await setFaults({dead: false});
  const afterRestart = collect(client.resume('r', 0));
  await until(() => isOver(afterRestart));
  expect(afterRestart.err).toMatchObject({code: 'not-found', peer: url});
  const unreachable = createHttpEngine({url: 'http://127.0.0.1:1', clock});
  const refused = collect(unreachable.start(runReq('q'), promptOf('p')));
  await until(() => isOver(refused));
  expect(refused.err).toMatchObject({code: 'peer-unreachable', ran: 'no'});
});
