/**
 * Stand-in of a plain service's replica: it has slots and a short queue, rejects
 * what goes beyond them as not run, and answers 421 to what another one is to get.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** The request has not run, and the replica says so. */
function reject(res, id, status) {
  res.writeHead(status, {
    'X-Request-Id': id,
    'X-Not-Executed': '1',
    'Content-Length': 0,
  });
  res.end();
}

/** Headers of an answer that the replica made. */
export function signed(id) {
  return {'X-Request-Id': id, 'X-Response-Seal': `seal-${id}`};
}

/** A whole answer of 800 bytes. */
export function answerWell({id, res}) {
  const body = Buffer.alloc(800, 'a');
  res.writeHead(200, {...signed(id), 'Content-Length': body.length});
  res.end(body);
}

/**
 * `answer` is called when the work on a request has ended; by then it has run.
 * `onRun` is called when the work begins, and `onArrival` before that.
 */
export async function startReplica({
  ip,
  name,
  slots = 6,
  queue = 24,
  workMs = 20,
  answer = answerWell,
  onArrival = () => undefined,
  onRun = () => undefined,
}) {
  let running = 0;
  const waiting = [];

  const run = async call => {
    running++;
    onRun(call);
    await sleep(workMs);
    await answer(call);
    running--;
    const next = waiting.shift();
    if (next !== undefined) run(next);
  };
  const take = call => {
    const {req, res, id} = call;
    const expected = req.headers['x-expect-replica'];
    if (req.url === '/health') {
      res.writeHead(200, {'X-Replica-Id': name, 'Content-Length': 0});
      res.end();
    } else if (id === undefined) reject(res, '', 400);
    else if (expected !== undefined && expected !== name) reject(res, id, 421);
    else {
      onArrival(call);
      if (running < slots) run(call);
      else if (waiting.length < queue) waiting.push(call);
      else reject(res, id, 503);
    }
  };
  const server = createServer((req, res) => {
    const pieces = [];
    req.on('data', piece => pieces.push(piece));
    req.on('error', () => undefined);
    req.on('end', () => {
      const id = req.headers['x-request-id'];
      take({req, res, id, replica: name, body: Buffer.concat(pieces)});
    });
  });
  await new Promise((resolve, reject_) => {
    server.once('error', reject_);
    server.listen(0, ip, resolve);
  });
  return {
    name,
    address: `${ip}:${server.address().port}`,
    slots,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** The replica's record in the store. */
export function recordOf({address, slots}, service, zone) {
  return {
    service,
    address,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    coldLeftMs: 0,
    sequence: 1,
  };
}
