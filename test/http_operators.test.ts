import {Left, Right} from 'purify-ts';
import {afterEach, describe, expect, test} from 'vitest';
import {createOperatorsService} from '../src/entry/front/http_operators.js';
import {createEntryHandlers} from '../src/entry/front/operator_handlers.js';
import type {OperatorHandlers} from '../src/types/operators.js';
import {OnyxError} from '../src/types/errors.js';
import type {ConfigPatch, ConfigRejection} from '../src/types/services.js';
import {yieldToLoop} from '../src/utils/event_loop.js';
import {hashGeneratedKey, verifyKeyAsync} from '../src/utils/keys.js';
import {declarations, startFront} from './support/front_fixture.js';
import type {FrontFixture} from './support/front_fixture.js';

const TOKEN = 'onyx_operator';
let front: FrontFixture;
let url: string;

afterEach(() => front.kernel.stop());

async function start(change: Partial<OperatorHandlers> = {}, hasToken = true) {
  front = await startFront();
  await front.kernel.start(
    createOperatorsService({
      listen: '127.0.0.1:0',
      operatorTokenHash: hasToken
        ? hashGeneratedKey(TOKEN, 'aa'.repeat(16))
        : undefined,
      verifyKey: verifyKeyAsync,
      yieldLoop: yieldToLoop,
      handlers: ctx => ({
        ...createEntryHandlers(ctx, {
          node: 'entry-1',
          incarnation: 'i1',
          limits: {maxOpenRequests: 4096},
          drain: () => undefined,
        }),
        ...change,
      }),
    }),
  );
  const address = await front.kernel.ask(
    'operators',
    (reply: (address: string) => void) => ({kind: 'address', reply}),
  );
  url = `http://${address}`;
}

async function ask(
  method: string,
  path: string,
  body?: unknown,
  token = TOKEN,
) {
  const res = await fetch(url + path, {
    method,
    headers: {Authorization: `Bearer ${token}`},
    ...(body === undefined ? {} : {body: JSON.stringify(body)}),
  });
  return {status: res.status, value: (await res.json()) as unknown};
}

const PATCH: ConfigPatch = {
  patchId: 'p1',
  base: 7,
  form: 'merge-patch',
  patch: '{}',
  dryRun: false,
  operator: 'ann',
};

function rejectingConfig(
  code: 'conflict' | 'invalid-config',
): OperatorHandlers['config'] {
  const error = new OnyxError({code, step: 'config', message: 'no'});
  const rejection: ConfigRejection = {
    error,
    head: 9,
    faults: [{path: '/models/0', message: 'dangles', mend: 'drop it'}],
  };
  return {
    show: number => Promise.resolve(Right(declarations({}, number || 9))),
    history: limit =>
      Promise.resolve(
        Right([{number: limit, patchId: 'p', operator: 'o', changedPaths: []}]),
      ),
    apply: () => Promise.resolve(Left(rejection)),
  };
}

describe('operators', () => {
  test('only probes and metrics are served without the token', async () => {
    await start();
    for (const path of ['config', 'status', 'hosts', 'requests/x/explain']) {
      const {status} = await ask(
        'GET',
        `/operator/v1/${path}`,
        undefined,
        'no',
      );
      expect(status).toBe(401);
    }
    expect((await ask('POST', '/operator/v1/drain', {}, 'no')).status).toBe(
      401,
    );
    expect((await ask('GET', '/readyz', undefined, 'no')).status).toBe(200);
    const metrics = await fetch(`${url}/metrics`);
    expect(metrics.headers.get('content-type')).toContain('text/plain');
  });

  test('a process without a token hash refuses every operator', async () => {
    await start({}, false);
    expect((await ask('GET', '/operator/v1/status')).status).toBe(403);
  });

  test('the status has null for a placement service that is not running', async () => {
    await start();
    expect((await ask('GET', '/operator/v1/status')).value).toMatchObject({
      node: 'entry-1',
      incarnation: 'i1',
      ready: true,
      openRequests: 0,
      placement: null,
      limits: {maxOpenRequests: 4096},
    });
  });

  test('a request without known decisions is answered 404', async () => {
    const decision = {requestId: 'q1', attempt: 1, chosen: 's1', reason: 'r'};
    const known = [{...decision, candidates: []}];
    await start({
      explain: id => Promise.resolve(id === 'q1' ? known : []),
    });
    const path = (id: string) => `/operator/v1/requests/${id}/explain`;
    expect(await ask('GET', path('q1'))).toEqual({status: 200, value: known});
    expect(await ask('GET', path('q2'))).toMatchObject({
      status: 404,
      value: {error: {code: 'not-found'}},
    });
  });

  test('an accepted patch is answered with its number', async () => {
    let received: ConfigPatch | undefined;
    const accepted = {number: 8, changedPaths: ['/models'], dryRun: false};
    await start({
      config: {
        ...rejectingConfig('conflict'),
        apply: patch => {
          received = patch;
          return Promise.resolve(Right(accepted));
        },
      } as OperatorHandlers['config'],
    });
    const {status, value} = await ask(
      'POST',
      '/operator/v1/config/patches',
      PATCH,
    );
    expect({status, value}).toEqual({status: 200, value: accepted});
    expect(received).toEqual(PATCH);
  });

  test.each([
    ['conflict', 409],
    ['invalid-config', 422],
  ] as const)(
    'a patch rejected as %s is answered with the head and the faults',
    async (code, expectedStatus) => {
      await start({config: rejectingConfig(code)});
      const {status, value} = await ask(
        'POST',
        '/operator/v1/config/patches',
        PATCH,
      );
      expect(status).toBe(expectedStatus);
      expect(value).toMatchObject({
        error: {code},
        head: 9,
        faults: [{path: '/models/0'}],
      });
    },
  );

  test('a malformed patch is refused with the name of the invalid field', async () => {
    await start({config: rejectingConfig('conflict')});
    const {status, value} = await ask('POST', '/operator/v1/config/patches', {
      ...PATCH,
      base: 'seven',
    });
    expect(status).toBe(400);
    expect(JSON.stringify(value)).toContain('base');
  });

  test('configuration versions are shown by number, and history by limit', async () => {
    await start({config: rejectingConfig('conflict')});
    const newest = await ask('GET', '/operator/v1/config');
    const third = await ask('GET', '/operator/v1/config/3');
    const history = await ask('GET', '/operator/v1/config/history?limit=5');
    expect(newest.value).toMatchObject({number: 9});
    expect(third.value).toMatchObject({number: 3});
    expect(history.value).toMatchObject([{number: 5}]);
    expect((await ask('GET', '/operator/v1/config/x')).status).toBe(400);
  });

  test('a drain is accepted, and a missing handler is answered 404', async () => {
    let drains = 0;
    await start({drain: () => void (drains += 1), hosts: undefined});
    expect((await ask('POST', '/operator/v1/drain')).status).toBe(202);
    expect(drains).toBe(1);
    expect((await ask('GET', '/operator/v1/hosts')).status).toBe(404);
  });
});
