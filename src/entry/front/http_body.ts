/**
 * Reads request bodies in pieces with back-pressure. A body of several
 * megabytes is never taken in one step, and all bodies of the process share
 * one turn at a time, so that short requests are served in between.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Body} from '../../types/services.js';
import type {Clock} from '../../types/runtime.js';
import type {YieldLoop} from '../../utils/event_loop.js';
import {
  PARSE_STEP_BYTES,
  createCompletionParser,
  parseSmallCompletion,
} from './completion_parser.js';
import type {ParsedCompletion} from './completion_parser.js';
import {badRequest} from '../faults.js';
import {createPieceBuffer} from './piece_buffer.js';

/** Bodies up to this size are parsed in one step, in less than 1 ms. */
export const SMALL_BODY_BYTES = 64 * 1024;
/**
 * Parsing done in one turn of the event loop. A step is begun while some of it
 * is left, and a piece from the network has some four steps.
 */
const TURN_BUDGET_MS = 1;

export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** For the whole body, from its first byte to its last. */
  readonly bodyTimeoutMs: number;
}

export interface BodyReader {
  /** Rejects with an `OnyxError`: too large, too slow, cut, or not JSON. */
  readCompletion(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<ParsedCompletion>;
  /** The body as it is. Rejects with an `OnyxError`. */
  readRaw(req: IncomingMessage, res: ServerResponse): Promise<Body>;
}

/** Makes the one reader of a process. */
export function createBodyReader(
  limits: BodyLimits,
  clock: Clock,
  yieldLoop: YieldLoop,
): BodyReader {
  const nextTurn = createTurns(yieldLoop);

  const completion = async (req: IncomingMessage, res: ServerResponse) => {
    const length = checkLength(req, limits);
    if (length !== undefined && length <= SMALL_BODY_BYTES) {
      const body = await raw(req, res);
      return parseSmallCompletion(Buffer.concat(body.pieces));
    }
    const parser = createCompletionParser();
    await readPieces(req, res, limits, clock, async piece => {
      let turnEndsAt = -Infinity;
      for (let from = 0; from < piece.length; from += PARSE_STEP_BYTES) {
        if (clock.now() >= turnEndsAt) {
          await nextTurn();
          turnEndsAt = clock.now() + TURN_BUDGET_MS;
        }
        parser.write(piece.subarray(from, from + PARSE_STEP_BYTES));
      }
    });
    return parser.end();
  };

  const raw = async (req: IncomingMessage, res: ServerResponse) => {
    checkLength(req, limits);
    const buffer = createPieceBuffer();
    await readPieces(req, res, limits, clock, piece => {
      buffer.appendBytes(piece);
      return Promise.resolve();
    });
    return buffer.toBody();
  };

  return {readCompletion: completion, readRaw: raw};
}

/** The declared length of a body; undefined when it comes in chunks. */
export function declaredLength(req: IncomingMessage): number | undefined {
  const header = req.headers['content-length'];
  return header === undefined ? undefined : Number(header);
}

function checkLength(
  req: IncomingMessage,
  limits: BodyLimits,
): number | undefined {
  const length = declaredLength(req);
  if (length !== undefined && length > limits.maxBodyBytes) {
    throw tooLarge(limits);
  }
  return length;
}

function tooLarge(limits: BodyLimits) {
  return badRequest(
    `the body is over ${limits.maxBodyBytes} bytes`,
    'read',
    'too-large',
  );
}

/**
 * Hands out turns of the event loop one after another. If each large body took
 * its own, ten of them would take ten slices in every turn of the loop, and a
 * short request would wait for all ten.
 */
function createTurns(yieldLoop: YieldLoop): YieldLoop {
  let last: Promise<void> = Promise.resolve();
  return () => {
    last = last.then(yieldLoop);
    return last;
  };
}

/** Calls `take` with each piece; reads no further until it has resolved. */
function readPieces(
  req: IncomingMessage,
  res: ServerResponse,
  limits: BodyLimits,
  clock: Clock,
  take: (piece: Uint8Array) => Promise<void>,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let bytes = 0;
    let settled = false;
    let taking: Promise<void> = Promise.resolve();

    const settle = (error?: unknown) => {
      if (settled) return;
      settled = true;
      cancelTimer();
      req.off('data', onData);
      req.off('end', onEnd);
      req.off('close', onClose);
      req.pause();
      if (error === undefined) resolve();
      else reject(error);
    };
    const onData = (piece: Buffer) => {
      bytes += piece.length;
      if (bytes > limits.maxBodyBytes) {
        settle(tooLarge(limits));
        return;
      }
      req.pause();
      taking = taking.then(() => take(piece));
      taking.then(() => {
        if (!settled) req.resume();
      }, settle);
    };
    const onEnd = () => void taking.then(() => settle(), settle);
    const onClose = () => {
      if (!req.complete) settle(cut());
    };
    const cancelTimer = clock.after(limits.bodyTimeoutMs, () =>
      // A sender that trickles bytes holds a place and memory for as long as
      // it likes; the limit is on the whole, so a byte now and then won't do.
      settle(tooSlow(limits)),
    );

    if (req.destroyed) {
      settle(cut());
      return;
    }
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('close', onClose);
    if (expectsContinue(req)) res.writeContinue();
  });
}

function expectsContinue(req: IncomingMessage): boolean {
  return req.headers.expect?.toLowerCase() === '100-continue';
}

function cut() {
  return badRequest('the caller left amid its body', 'read', 'cancelled');
}

function tooSlow(limits: BodyLimits) {
  return badRequest(
    `the body took over ${limits.bodyTimeoutMs} ms`,
    'read',
    'timeout',
  );
}
