/**
 * The host list as a program.
 *
 * `GET /v1/hosts` gives `{version, hosts}` with an `ETag`, `PUT /v1/hosts/HOST` lists a host
 * (body: `HostInfo`, its `host` and `state` may be left out),
 * `POST /v1/hosts/HOST/leaving` marks it, `DELETE /v1/hosts/HOST` removes it,
 * `GET` and `POST /faults` show and switch faults.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {createProcessClock, createProcessRandom} from '../src/utils/clock.js';
import {createHostListCore} from './host_list_core.js';
import {readArgs, readBody, sendJson, serve} from './program.js';

const HOSTS = '/v1/hosts';
const MAX_BODY_BYTES = 10_000;

const hostSchema = z.strictObject({
  host: z.string().optional(),
  address: z.string(),
  failureDomain: z.string(),
  pool: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
});

const faultsSchema = z.strictObject({
  lagMs: z.number().min(0).optional(),
  frozen: z.boolean().optional(),
  outage: z.boolean().optional(),
});

const args = readArgs([]);
const core = createHostListCore(createProcessClock());
/** Versions count from 0 again in a new process. */
const boot = createProcessRandom().hex(4);

function sendList(req: IncomingMessage, res: ServerResponse): void {
  const view = core.read();
  if (view === undefined) {
    sendJson(res, 503, {error: 'down'});
    return;
  }
  const etag = `"${boot}-${view.version}"`;
  res.setHeader('etag', etag);
  if (req.headers['if-none-match'] === etag) res.writeHead(304).end();
  else sendJson(res, 200, view);
}

function sendFound(res: ServerResponse, found: boolean): void {
  if (found) sendJson(res, 200, {});
  else sendJson(res, 404, {error: 'not-found'});
}

async function handleHost(
  req: IncomingMessage,
  res: ServerResponse,
  path: string,
): Promise<void> {
  const [name, action] = path.split('/').map(decodeURIComponent);
  if (req.method === 'PUT' && action === undefined) {
    const body = await readBody(req, MAX_BODY_BYTES);
    core.put({...hostSchema.parse(JSON.parse(body)), host: name});
    sendJson(res, 200, {});
  } else if (req.method === 'DELETE' && action === undefined) {
    sendFound(res, core.remove(name));
  } else if (req.method === 'POST' && action === 'leaving') {
    sendFound(res, core.leave(name));
  } else {
    sendJson(res, 405, {error: 'use PUT, DELETE or POST …/leaving'});
  }
}

serve(args['listen'] ?? '127.0.0.1:0', async (req, res, url) => {
  const {pathname} = url;
  if (pathname === HOSTS && req.method === 'GET') {
    sendList(req, res);
  } else if (pathname.startsWith(`${HOSTS}/`)) {
    await handleHost(req, res, pathname.slice(HOSTS.length + 1));
  } else if (pathname === '/faults') {
    if (req.method === 'POST') {
      const body = await readBody(req, MAX_BODY_BYTES);
      core.setFaults(faultsSchema.parse(JSON.parse(body)));
    }
    sendJson(res, 200, core.faults());
  } else {
    sendJson(res, 404, {error: 'no such path'});
  }
});
