/**
 * A front of the store that answers calls oddly: an odd answer around what the
 * store said, or around a body that no store sends, with or without the call
 * having been carried out.
 */
import {createServer, request} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Draw} from './draws.js';
import {drawAnswer} from './odd_answers.js';
import {sendAnswer} from './odd_server.js';

/** None of them is a list, an object or events; a store that lies isn't odd. */
const BODIES = [
  '',
  'null',
  '[]',
  '"x"',
  '{"items":{}}',
  '{"items":[null],"hasMore":"x","currentRev":{}}',
  '{"items":[{"metadata":null}],"hasMore":false,"currentRev":"x"}',
  '{"items":[{"metadata":{"name":5,"revision":"x"},"spec":null}],',
  '{"events":[{}],"currentRev":-1}',
  '{"events":{},"currentRev":1e400}',
  '{"events":[null],"currentRev":null}',
  '{"events":[{"object":null,"removed":1}],"currentRev":"1"}',
  '{"metadata":{"revision":1e400},"spec":',
  `${'['.repeat(40_000)}${']'.repeat(40_000)}`,
  `{"items":${'{"a":'.repeat(20_000)}1${'}'.repeat(20_000)}}`,
  '\u0000\u0001\u00ff',
  '{"__proto__":{"items":[]}}',
];
const NOT_PASSED_SHARE = 0.3;

export interface OddStore {
  /** IP:PORT. */
  readonly address: string;
  /** Odd answers so far. */
  readonly count: () => number;
  close(): Promise<void>;
}

interface StoreAnswer {
  readonly status: number;
  readonly body: string;
  readonly era: string | undefined;
}

export async function startOddStore(
  store: string,
  draw: Draw,
  isOdd: () => boolean,
): Promise<OddStore> {
  let count = 0;
  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    const body = await readAll(req);
    if (isOdd() && draw.chance(NOT_PASSED_SHARE)) {
      answerOddly(req, draw.one(BODIES), undefined);
      return;
    }
    const answer = await ask(store, req, res, body);
    if (answer === undefined) req.socket.destroy();
    else if (isOdd()) {
      const own = draw.chance(0.5) ? answer.body : draw.one(BODIES);
      answerOddly(req, own, answer.era);
    } else sendSound(res, answer);
  };
  const answerOddly = (
    {socket}: IncomingMessage,
    body: string,
    era: string | undefined,
  ) => {
    count++;
    const eraLines = era === undefined ? [] : [`Store-Era: ${era}`];
    const lines = ['Content-Type: application/json', ...eraLines];
    const drawn = drawAnswer(draw, {lines, body, mayStall: false});
    // The connection can't go on with what stands behind the server's back.
    sendAnswer(socket, {...drawn, ends: drawn.ends === 'rst' ? 'rst' : 'fin'});
  };
  const server = createServer((req, res) => {
    handle(req, res).catch(() => req.socket.destroy());
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    count: () => count,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Answers as the store does. */
export async function passOn(
  store: string,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  try {
    const answer = await ask(store, req, res, await readAll(req));
    if (answer === undefined) req.socket.destroy();
    else sendSound(res, answer);
  } catch {
    req.socket.destroy();
  }
}

async function readAll(req: IncomingMessage): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of req) pieces.push(piece as Buffer);
  return Buffer.concat(pieces);
}

function sendSound(res: ServerResponse, {status, body, era}: StoreAnswer) {
  if (era !== undefined) res.setHeader('Store-Era', era);
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(body, 'latin1');
}

/** What the store says; undefined where it says nothing, or is not asked on. */
function ask(
  store: string,
  {method, url, headers}: IncomingMessage,
  res: ServerResponse,
  body: Buffer,
): Promise<StoreAnswer | undefined> {
  const [host, port] = store.split(':');
  return new Promise(resolve => {
    const options = {host, port, method, path: url, headers};
    const call = request(options, answer => {
      const pieces: Buffer[] = [];
      answer.on('data', (piece: Buffer) => pieces.push(piece));
      answer.once('close', () =>
        resolve(
          answer.complete
            ? {
                status: answer.statusCode ?? 0,
                body: Buffer.concat(pieces).toString('latin1'),
                era: answer.headers['store-era'] as string | undefined,
              }
            : undefined,
        ),
      );
    });
    call.once('error', () => resolve(undefined));
    res.once('close', () => call.destroy());
    call.end(body);
  });
}
