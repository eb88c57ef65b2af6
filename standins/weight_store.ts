/**
 * The weight store as a program.
 *
 * `POST /v1/transfers` `{model, version, bytes}` answers 200 when the transfer
 * is done, at the rate that all transfers share; a caller that goes away ends
 * its transfer. With `?wait=0` it answers 202 at once with the id, and
 * `GET /v1/transfers/ID` tells how far it is. `GET /v1/status`, `GET` and
 * `POST /faults`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {createProcessClock} from '../src/utils/clock.js';
import {readArgs, readBody, sendJson, serve} from './program.js';
import {createWeightStoreCore} from './weight_store_core.js';

const TRANSFERS = '/v1/transfers';
const MAX_BODY_BYTES = 10_000;

const transferSchema = z.strictObject({
  model: z.string(),
  version: z.string(),
  bytes: z.number().min(0),
});

const faultsSchema = z.strictObject({
  outage: z.boolean().optional(),
  rateFactor: z.number().positive().optional(),
});

const args = readArgs(['bytes-per-sec', 'max-active']);
const core = createWeightStoreCore({
  clock: createProcessClock(),
  bytesPerSec: Number(args['bytes-per-sec'] ?? 2e9),
  maxActive: Number(args['max-active'] ?? 4),
});

async function startTransfer(
  req: IncomingMessage,
  res: ServerResponse,
  waits: boolean,
): Promise<void> {
  const body = await readBody(req, MAX_BODY_BYTES);
  const transfer = core.start(transferSchema.parse(JSON.parse(body)));
  if (transfer === undefined) {
    sendJson(res, 503, {error: 'down'});
    return;
  }
  if (!waits) {
    sendJson(res, 202, transfer);
    return;
  }
  res.on('close', () => core.cancel(transfer.id));
  await core.whenOver(transfer.id);
  if (!res.destroyed) sendJson(res, 200, core.get(transfer.id));
}

function sendOr(
  res: ServerResponse,
  value: object | undefined,
  status: number,
): void {
  if (value === undefined) sendJson(res, status, {error: 'none'});
  else sendJson(res, 200, value);
}

serve(args['listen'] ?? '127.0.0.1:0', async (req, res, url) => {
  const {pathname} = url;
  if (pathname === TRANSFERS && req.method === 'POST') {
    await startTransfer(req, res, url.searchParams.get('wait') !== '0');
  } else if (pathname.startsWith(`${TRANSFERS}/`)) {
    sendOr(res, core.get(pathname.slice(TRANSFERS.length + 1)), 404);
  } else if (pathname === '/v1/status') {
    sendOr(res, core.status(), 503);
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
