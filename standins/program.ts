/**
 * What the stand-in programs share: `--listen`, the ready line, JSON over
 * HTTP, and the end on SIGTERM.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parseArgs} from 'node:util';

/** Answers one request; `url` has path and query. */
export type RouteHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  url: URL,
) => Promise<void>;

/** Option values of a program, by name without dashes. */
export interface ProgramArgs {
  readonly [name: string]: string | undefined;
}

/** Reads `--name VALUE` pairs; `--listen` is always allowed. */
export function readArgs(names: readonly string[]): ProgramArgs {
  const options = Object.fromEntries(
    ['listen', ...names].map(name => [name, {type: 'string' as const}]),
  );
  return parseArgs({options, strict: true}).values as ProgramArgs;
}

/** A body over the limit; answered with 413. */
export class BodyTooLarge extends Error {}

/** Reads a body as text; rejects with `BodyTooLarge` over `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of req as AsyncIterable<Buffer>) {
    bytes += piece.length;
    if (bytes <= maxBytes) pieces.push(piece);
  }
  if (bytes > maxBytes) throw new BodyTooLarge();
  return Buffer.concat(pieces).toString('utf8');
}

export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

function sendFailure(res: ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (err instanceof BodyTooLarge) sendJson(res, 413, {error: 'too-large'});
  else sendJson(res, 400, {error: String(err)});
}

/**
 * Serves until SIGTERM and prints `{"listening":"ip:port"}` once ready.
 * `listen` is `ip:port`, where port 0 takes a free one.
 */
export function serve(listen: string, handle: RouteHandler): void {
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    handle(req, res, url).catch(err => sendFailure(res, err));
  });
  const [ip, port] = listen.split(':');
  server.listen(Number(port ?? 0), ip, () => {
    const address = server.address() as AddressInfo;
    const listening = `${address.address}:${address.port}`;
    process.stdout.write(`${JSON.stringify({listening})}\n`);
  });
  process.on('SIGTERM', () => {
    server.close(() => process.exit(0));
    server.closeAllConnections();
  });
}
