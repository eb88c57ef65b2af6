/**
 * HTTP interface of the plain service. `/-/faults` and `/-/counts` answer in
 * any state, all else as the faults have it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {createDigest} from '../src/utils/digest.js';
import {REQUEST_ID_HEADER, RUN_ID_HEADER} from './plain_service_core.js';
import type {PlainCall, PlainServiceCore} from './plain_service_core.js';
import {readBody, sendJson} from './program.js';
import type {RouteHandler} from './program.js';

const MAX_BODY_BYTES = 10_000;

const faultsSchema = z.strictObject({
  dead: z.boolean().optional(),
  frozen: z.boolean().optional(),
  silent: z.boolean().optional(),
  loseAnswers: z.boolean().optional(),
  slowMs: z.number().min(0).optional(),
});

/** Makes the handler of all requests to one service. */
export function createPlainRoutes(core: PlainServiceCore): RouteHandler {
  const open = new Set<ServerResponse>();
  core.onDeath(() => {
    for (const res of open) res.destroy();
  });

  const handleFaults = async (req: IncomingMessage, res: ServerResponse) => {
    if (req.method === 'POST') {
      const body = await readBody(req, MAX_BODY_BYTES);
      core.setFaults(faultsSchema.parse(JSON.parse(body)));
    }
    sendJson(res, 200, core.faults());
  };

  const run = (call: PlainCall, res: ServerResponse) => {
    core.run(call, ({status, body}) => {
      if (core.faults().silent) return;
      if (core.faults().loseAnswers) {
        res.destroy();
        return;
      }
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(call.method === 'HEAD' ? undefined : body);
    });
  };

  return async (req, res, url) => {
    if (url.pathname === '/-/faults') return handleFaults(req, res);
    if (url.pathname === '/-/counts') return sendJson(res, 200, core.counts());
    if (core.faults().dead) {
      req.socket.destroy();
      return;
    }
    open.add(res);
    res.on('close', () => open.delete(res));
    await new Promise<void>(core.whenAwake);
    if (url.pathname === '/-/report') {
      if (!core.faults().silent) sendJson(res, 200, core.report());
      return;
    }
    const call = await readCall(req);
    if (call !== undefined) core.whenAwake(() => run(call, res));
  };
}

/** Reads a call to its end; undefined when it broke off: it does not run. */
async function readCall(req: IncomingMessage): Promise<PlainCall | undefined> {
  const digest = createDigest();
  let bodyBytes = 0;
  try {
    for await (const piece of req as AsyncIterable<Buffer>) {
      digest.update(piece);
      bodyBytes += piece.length;
    }
  } catch {
    return undefined;
  }
  if (!req.complete) return undefined;
  return {
    method: req.method ?? '',
    path: req.url ?? '',
    runId: String(req.headers[RUN_ID_HEADER] ?? ''),
    requestId: String(req.headers[REQUEST_ID_HEADER] ?? ''),
    bodyBytes,
    bodyDigest: digest.value(),
  };
}
