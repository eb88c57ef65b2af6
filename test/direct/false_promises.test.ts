/**
 * Replicas that answer with a status that promises callers that nothing has run,
 * but don't state that themselves.
 */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {refuse, signed} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';

/** 421 is the one status that states by itself that nothing has run. */
const BARE_PROMISES = [408, 429, 503] as const;
const STREAM_HEADERS = {'X-Token-Usage': '10,10'};
/** Too large to be buffered. */
const LARGE_BYTES = 3 * 1024 * 1024;
const RETRY_AFTER_S = '7';

let fleet: DirectFleet;

/** Routes with time, also one of streams that may run once only. */
function configWithRoutes() {
  const config = configOf(2);
  const routes = config.routes.map(it => ({...it, timeoutMs: 10_000}));
  const stream = routes.find(({name}) => name === 'stream');
  const whole = {
    ...stream,
    name: 'whole',
    pathPrefix: '/whole/',
    resumable: false,
  };
  return {...config, routes: [...routes, whole]};
}

beforeEach(async () => {
  fleet = await startDirectFleet();
  fleet.store.put('config', 'main', configWithRoutes());
  const adopted = () => fleet.runtime.eventsOf(DIRECT_EVENTS.configAdopted);
  await until(() => adopted().length === 2);
});
afterEach(() => fleet.close());

/** Runs the request and answers with the status alone. */
const failWith =
  (status: number, bytes = 4, hasLength = true): Behaviour =>
  (arrival, res) => {
    const length = hasLength ? {'Content-Length': bytes} : {};
    res.writeHead(status, {
      ...signed(arrival),
      ...length,
      'Retry-After': RETRY_AFTER_S,
    });
    res.end(Buffer.alloc(bytes, 'x'));
  };

/** All replicas give these answers in turn, the last one again and again. */
function behave(...turns: readonly Behaviour[]): void {
  let at = 0;
  for (const replica of [...fleet.pool, ...fleet.desk]) {
    replica.behave((...run) =>
      turns[Math.min(at++, turns.length - 1)]?.(...run),
    );
  }
}

const arrivals = () =>
  [...fleet.pool, ...fleet.desk].flatMap(it => it.arrivals).length;

/** An answer of the entry's own that promises nothing. */
function expectNoPromise(answer: CallerAnswer): void {
  expect(answer.status).toBe(502);
  expect(answer.whole).toBe(true);
  expect(answer.headers['x-response-seal']).toBeUndefined();
  expect(answer.headers['retry-after']).toBeUndefined();
}

const CALLS = [
  ['a call', '/once/a', {}],
  ['a stream', '/whole/a', STREAM_HEADERS],
] as const;

describe.each(CALLS)('a request that runs once: %s', (_what, path, headers) => {
  // Guards against a caller that orders again what has run.
  test.each(BARE_PROMISES)(
    'gets no %i that a run stands behind',
    async status => {
      behave(failWith(status));
      expectNoPromise(await callEntry(fleet, path, {headers}));
      expect(arrivals()).toBe(1);
    },
  );

  // Guards against the promise in the head of an answer that is passed on early.
  test.each(BARE_PROMISES)(
    'gets no %i with a body that is too large to wait for',
    async status => {
      behave(failWith(status, LARGE_BYTES, false));
      expectNoPromise(await callEntry(fleet, path, {headers}));
    },
  );

  // Guards against a run behind a refusal that another replica gave before.
  test('gets no 503 of the second replica that has run it', async () => {
    behave(refuse, failWith(503));
    expectNoPromise(await callEntry(fleet, path, {headers}));
    expect(arrivals()).toBe(2);
  });

  // Guards against a promise that is withheld where nothing has run.
  test('gets 503 where each replica states that it did not run it', async () => {
    behave(refuse);
    const answer = await callEntry(fleet, path, {headers});
    expect(answer.status).toBe(503);
    expect(answer.headers['retry-after']).toBeDefined();
  });

  // Guards against other failures that no longer come as the replica said.
  test('gets 500 as the replica said', async () => {
    behave(failWith(500));
    const answer = await callEntry(fleet, path, {headers});
    expect(answer.status).toBe(500);
    expect(answer.headers['x-response-seal']).toMatch(/^seal-/);
  });
});

describe('a request that may run again', () => {
  const REPEATABLE = [
    ['a call', '/again/a', {}],
    ['a stream', '/stream/a', STREAM_HEADERS],
  ] as const;

  // Guards against a replica's status that is replaced though it harms nobody.
  test.each(REPEATABLE)(
    'has the status as said: %s',
    async (_w, path, headers) => {
      behave(failWith(503));
      const answer = await callEntry(fleet, path, {headers});
      expect(answer.status).toBe(503);
      expect(answer.headers['x-response-seal']).toMatch(/^seal-/);
      expect(answer.headers['retry-after']).toBe(RETRY_AFTER_S);
      expect(answer.body).toBe('xxxx');
    },
  );
});
