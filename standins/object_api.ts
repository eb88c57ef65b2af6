/**
 * The object API as a program, over the in-memory core.
 *
 * `GET /v1/objects/KEY`, `GET /v1/objects/KEY?watch=VERSION&wait=MS`,
 * `PUT /v1/objects/KEY` with `If-None-Match: *` or `If-Match: "VERSION"`,
 * `DELETE /v1/objects/KEY` with `If-Match`, `GET /v1/objects?prefix=P`,
 * `GET /counts`, `GET` and `POST /faults`. The `X-Purpose` header names the
 * purpose under which a call counts.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import {createProcessClock, createProcessRandom} from '../src/utils/clock.js';
import type {StoredObject, StorePurpose} from '../src/types/platform.js';
import {createObjectStoreCore, MAX_VALUE_BYTES} from './object_store_core.js';
import type {CallFailure} from './object_store_core.js';
import {readArgs, readBody, sendJson, serve} from './program.js';

const OBJECTS = '/v1/objects';
const MAX_FAULTS_BYTES = 10_000;

const faultsSchema = z.strictObject({
  outage: z.boolean().optional(),
  hang: z.boolean().optional(),
  slowMs: z.number().min(0).optional(),
  loseEvery: z.int().min(0).optional(),
  loseProbability: z.number().min(0).max(1).optional(),
  staleMs: z.number().min(0).optional(),
});

const STATUS_OF_FAILURE = {
  conflict: 412,
  'not-found': 404,
  'too-large': 413,
  down: 503,
} as const;

const args = readArgs(['latency-ms']);
const core = createObjectStoreCore({
  clock: createProcessClock(),
  random: createProcessRandom(),
  latencyMs: Number(args['latency-ms'] ?? 0),
});

function answer<T>(
  res: ServerResponse,
  result: Either<CallFailure, T>,
  send: (value: T) => void,
): void {
  result.caseOf({
    Right: send,
    Left: failure => {
      if (failure.kind === 'lost') {
        res.destroy();
        return;
      }
      const {kind, version} = failure;
      sendJson(res, STATUS_OF_FAILURE[kind], {error: kind, version});
    },
  });
}

const sendWritten = (res: ServerResponse, status: number) => {
  return (object: StoredObject) =>
    sendJson(res, status, {key: object.key, version: object.version});
};

async function read(
  res: ServerResponse,
  url: URL,
  key: string,
  purpose: StorePurpose,
): Promise<void> {
  const version = url.searchParams.get('watch');
  const waitMs = Number(url.searchParams.get('wait') ?? 0);
  const result =
    version === null
      ? await core.get(key, purpose)
      : await core.watch(key, Number(version), waitMs, purpose);
  answer(res, result, found =>
    found.caseOf({
      Just: object => sendJson(res, 200, object),
      Nothing: () => sendJson(res, 404, {error: 'not-found', version: 0}),
    }),
  );
}

/** Version of an `If-Match` header; undefined when there is none. */
function matchOf(req: IncomingMessage): number | undefined {
  const match = /^"(\d+)"$/.exec(req.headers['if-match'] ?? '');
  return match === null ? undefined : Number(match[1]);
}

async function write(
  req: IncomingMessage,
  res: ServerResponse,
  key: string,
  purpose: StorePurpose,
): Promise<void> {
  const value = await readBody(req, MAX_VALUE_BYTES);
  const version = matchOf(req);
  if (version !== undefined) {
    const result = await core.update(key, value, version, purpose);
    answer(res, result, sendWritten(res, 200));
  } else if (req.headers['if-none-match'] === '*') {
    const result = await core.create(key, value, purpose);
    answer(res, result, sendWritten(res, 201));
  } else {
    sendJson(res, 428, {error: 'If-Match or If-None-Match: * is needed'});
  }
}

async function remove(
  req: IncomingMessage,
  res: ServerResponse,
  key: string,
  purpose: StorePurpose,
): Promise<void> {
  const version = matchOf(req);
  if (version === undefined) {
    sendJson(res, 428, {error: 'If-Match is needed'});
    return;
  }
  const result = await core.remove(key, version, purpose);
  answer(res, result, () => res.writeHead(204).end());
}

async function list(
  res: ServerResponse,
  url: URL,
  purpose: StorePurpose,
): Promise<void> {
  const prefix = url.searchParams.get('prefix') ?? '';
  const result = await core.list(prefix, purpose);
  answer(res, result, keys => sendJson(res, 200, {keys}));
}

async function handleObject(
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
): Promise<void> {
  const purpose = String(req.headers['x-purpose'] ?? 'none') as StorePurpose;
  if (url.pathname === OBJECTS) return list(res, url, purpose);
  const key = decodeURIComponent(url.pathname.slice(OBJECTS.length + 1));
  if (req.method === 'GET') return read(res, url, key, purpose);
  if (req.method === 'PUT') return write(req, res, key, purpose);
  if (req.method === 'DELETE') return remove(req, res, key, purpose);
  sendJson(res, 405, {error: 'use GET, PUT or DELETE'});
}

serve(args['listen'] ?? '127.0.0.1:0', async (req, res, url) => {
  if (url.pathname.startsWith(OBJECTS)) return handleObject(req, res, url);
  if (url.pathname === '/counts') {
    sendJson(res, 200, {counts: core.counts()});
  } else if (url.pathname === '/faults') {
    if (req.method === 'POST') {
      const body = await readBody(req, MAX_FAULTS_BYTES);
      core.setFaults(faultsSchema.parse(JSON.parse(body)));
    }
    sendJson(res, 200, core.faults());
  } else {
    sendJson(res, 404, {error: 'no such path'});
  }
});
