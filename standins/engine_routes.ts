/**
 * HTTP interface of the model engine. Faults are switched by `POST /faults`;
 * `/faults` and `/counts` answer in any state, all else as the faults have it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OnyxError} from '../src/types/errors.js';
import type {Clock} from '../src/types/runtime.js';
import {
  RUN_HEADER,
  orderSchema,
  runReqSchema,
} from '../src/upstream/engine_protocol.js';
import {createDigest} from '../src/utils/digest.js';
import {z} from 'zod';
import {createEngineConnections} from './engine_connections.js';
import type {EngineConnection} from './engine_connections.js';
import type {EngineModel} from './engine_model.js';
import {readBody, sendJson} from './program.js';
import type {RouteHandler} from './program.js';

const MAX_BODY_BYTES = 1_000_000;
const RUNS = '/v1/runs';

const prioritySchema = z.object({priority: z.number()});
const exportSchema = z.object({hashes: z.array(z.string())});
const kvSchema = exportSchema.extend({tokens: z.number()});

const faultsSchema = z.strictObject({
  /** True drops all runs and memory; false starts it anew, empty. */
  dead: z.boolean().optional(),
  /** Takes no steps and answers nothing until it is false again. */
  frozen: z.boolean().optional(),
  /** Connections are taken and kept, but nothing is sent. */
  silent: z.boolean().optional(),
  /** Streams open now never send again; new ones work. */
  silenceOpen: z.literal(true).optional(),
  /** Breaks the streams open now; the runs go on. */
  cut: z.literal(true).optional(),
  slowFactor: z.number().positive().optional(),
});

type Faults = z.infer<typeof faultsSchema>;

export interface EngineRoutesOptions {
  readonly model: EngineModel;
  /** For beats. */
  readonly clock: Clock;
  /** @default 500 */
  readonly beatMs?: number;
  /** How many times as fast the model's clock runs. @default 1 */
  readonly speed?: number;
}

/** Makes the handler of all requests to one engine. */
export function createEngineRoutes(options: EngineRoutesOptions): RouteHandler {
  const {model} = options;
  const beatMs = options.beatMs ?? 500;
  const connections = createEngineConnections(model, options.clock, beatMs);
  const speed = options.speed ?? 1;
  const pending = new Set<ServerResponse>();
  let faults: Faults = {};
  model.onDeath(() => {
    for (const res of [...pending]) res.destroy();
  });

  /** Reads the prompt to its end; undefined when it broke off. */
  const readPrompt = async (
    req: IncomingMessage,
  ): Promise<string | undefined> => {
    const digest = createDigest();
    try {
      for await (const piece of req) digest.update(piece as Buffer);
    } catch {
      return undefined;
    }
    return req.complete ? digest.value() : undefined;
  };

  const upload = async (
    req: IncomingMessage,
    runId: string,
    connection: EngineConnection,
  ) => {
    const hash = await readPrompt(req);
    // What comes on a silenced connection did not come.
    if (connection.isMuted()) return;
    if (hash === undefined) model.abort(runId);
    else model.whenAwake(() => model.submit(runId, hash));
  };

  const start = async (
    req: IncomingMessage,
    res: ServerResponse,
    runId: string,
  ) => {
    const header = JSON.parse(String(req.headers[RUN_HEADER] ?? 'null'));
    const run = runReqSchema.parse({...header, runId});
    let uploading = false;
    const connection = connections.open(res, () => {
      model.detach(runId, connection.listener);
      if (uploading) model.abort(runId);
    });
    uploading = model.open(run, connection.listener) === 'opened';
    if (uploading) await upload(req, runId, connection);
    else await readPrompt(req);
    uploading = false;
  };

  const resume = (res: ServerResponse, runId: string, from: number) => {
    if (!model.has(runId)) {
      sendMissing(res, runId);
      return;
    }
    const connection = connections.open(res, () => {
      model.detach(runId, connection.listener);
    });
    model.resume(runId, from, connection.listener);
  };

  const setPriority = async (
    req: IncomingMessage,
    res: ServerResponse,
    runId: string,
  ) => {
    const {priority} = prioritySchema.parse(await readJson(req));
    if (model.setPriority(runId, priority)) sendJson(res, 200, {});
    else sendMissing(res, runId);
  };

  const handleRun = async (
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ) => {
    const runId = decodeURIComponent(url.pathname.slice(RUNS.length + 1));
    if (req.method === 'POST') {
      await start(req, res, runId);
    } else if (req.method === 'GET') {
      resume(res, runId, Number(url.searchParams.get('from') ?? 0));
    } else if (req.method === 'DELETE') {
      model.cancel(runId);
      sendJson(res, 200, {});
    } else if (req.method === 'PATCH') {
      await setPriority(req, res, runId);
    } else {
      sendJson(res, 405, {error: {message: 'no such method'}});
    }
  };

  const order = async (req: IncomingMessage, res: ServerResponse) => {
    const outcome = model.order(orderSchema.parse(await readJson(req)));
    outcome.caseOf({
      Left: err => sendError(res, 409, err),
      Right: () => sendJson(res, 200, {}),
    });
  };

  const importKv = async (req: IncomingMessage, res: ServerResponse) => {
    model.importKv(kvSchema.parse(await readJson(req)));
    sendJson(res, 200, {});
  };

  const exportKv = async (req: IncomingMessage, res: ServerResponse) => {
    const {hashes} = exportSchema.parse(await readJson(req));
    sendJson(res, 200, model.exportKv(hashes));
  };

  const handle: RouteHandler = async (req, res, url) => {
    const {pathname} = url;
    const route = `${req.method} ${pathname}`;
    if (pathname.startsWith(`${RUNS}/`)) {
      await handleRun(req, res, url);
    } else if (route === `GET ${RUNS}`) {
      sendJson(res, 200, {runs: model.list()});
    } else if (route === 'GET /v1/report') {
      const report = model.report();
      sendJson(res, 200, {...report, ageMs: report.ageMs / speed});
    } else if (route === 'GET /v1/cache/events') {
      const after = Number(url.searchParams.get('after') ?? 0);
      sendJson(res, 200, {events: model.cacheEvents(after)});
    } else if (route === 'POST /v1/orders') {
      await order(req, res);
    } else if (route === 'POST /v1/kv/export') {
      await exportKv(req, res);
    } else if (route === 'POST /v1/kv/import') {
      await importKv(req, res);
    } else {
      sendJson(res, 404, {error: {message: 'no such path'}});
    }
  };

  const setFaults = (given: Faults) => {
    const {silenceOpen, cut, ...switches} = given;
    if (switches.dead === true) model.die();
    if (switches.dead === false) model.restart();
    if (switches.frozen !== undefined) model.freeze(switches.frozen);
    if (switches.slowFactor !== undefined) model.slow(switches.slowFactor);
    if (silenceOpen || switches.silent) connections.silence();
    if (cut) connections.breakAll();
    faults = {...faults, ...switches};
    // A process that starts anew has none of its old troubles.
    if (switches.dead === false) faults = {};
  };

  const handleFaults: RouteHandler = async (req, res) => {
    if (req.method === 'POST') {
      setFaults(faultsSchema.parse(await readJson(req)));
    }
    sendJson(res, 200, faults);
  };

  const whenAwake = () => new Promise<void>(model.whenAwake);

  return async (req, res, url) => {
    if (url.pathname === '/faults') return handleFaults(req, res, url);
    if (url.pathname === '/counts') return sendJson(res, 200, model.counts());
    if (model.isDead()) {
      req.socket.destroy();
      return;
    }
    pending.add(res);
    res.on('close', () => pending.delete(res));
    if (faults.silent) return;
    await whenAwake();
    // The caller left during a freeze; its unread prompt is gone with it.
    if (res.destroyed) return;
    await handle(req, res, url);
  };
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  return JSON.parse(await readBody(req, MAX_BODY_BYTES));
}

function sendMissing(res: ServerResponse, runId: string): void {
  sendJson(res, 404, {error: {code: 'not-found', message: `no run ${runId}`}});
}

function sendError(res: ServerResponse, status: number, err: OnyxError): void {
  const {code, message} = err;
  sendJson(res, status, {error: {code, message}});
}
