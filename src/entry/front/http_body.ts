/**
 * Reads request bodies piece by piece with back-pressure. A body of several
 * megabytes is never processed in one step. A reader parses only one body in
 * each turn of the event loop, so that short requests are served in between.
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

/**
 * Largest body that is parsed in one step, in bytes. That takes less than 1 ms.
 * A larger body is parsed in several steps.
 */
export const SMALL_BODY_BYTES = 64 * 1024;
/**
 * Time for parsing in one turn of the event loop. The last step is started
 * within this time and may exceed it. A piece from the network has about four
 * steps.
 */
const TURN_BUDGET_MS = 1;

/** Limits on each request body. */
export interface BodyLimits {
  /** Largest body, in bytes. A larger one is refused. */
  readonly maxBodyBytes: number;
  /**
   * Time limit for reading the whole body. The body is refused when it has not
   * arrived by then.
   */
  readonly bodyTimeoutMs: number;
}

export interface BodyReader {
  /**
   * Reads and parses the body of a completion. Rejects with an `OnyxError` when
   * it is too large, too slow, incomplete, or not JSON.
   */
  readCompletion(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<ParsedCompletion>;
  /**
   * Reads the body without parsing it. Rejects with an `OnyxError` when it is
   * too large, too slow, or incomplete.
   */
  readRaw(req: IncomingMessage, res: ServerResponse): Promise<Body>;
}

/**
 * Creates a reader. The bodies of one reader take turns, so a service uses one
 * reader for all its requests.
 */
export function createBodyReader(
  limits: BodyLimits,
  clock: Clock,
  yieldLoop: YieldLoop,
): BodyReader {
  const nextTurn = createTurnQueue(yieldLoop);

  const readCompletion = async (req: IncomingMessage, res: ServerResponse) => {
    const length = checkLength(req, limits);
    if (length !== undefined && length <= SMALL_BODY_BYTES) {
      const body = await readRaw(req, res);
      return parseSmallCompletion(Buffer.concat(body.pieces));
    }
    const parser = createCompletionParser();
    await readPieces(req, res, limits, clock, async piece => {
      let turnEndsAt = -Infinity;
      for (let offset = 0; offset < piece.length; offset += PARSE_STEP_BYTES) {
        if (clock.now() >= turnEndsAt) {
          await nextTurn();
          turnEndsAt = clock.now() + TURN_BUDGET_MS;
        }
        parser.write(piece.subarray(offset, offset + PARSE_STEP_BYTES));
      }
    });
    return parser.end();
  };

  const readRaw = async (req: IncomingMessage, res: ServerResponse) => {
    checkLength(req, limits);
    const buffer = createPieceBuffer();
    await readPieces(req, res, limits, clock, piece => {
      buffer.appendBytes(piece);
      return Promise.resolve();
    });
    return buffer.toBody();
  };

  return {readCompletion, readRaw};
}

/**
 * Returns the `Content-Length` in bytes. Undefined without the header, as with
 * chunked transfer encoding.
 */
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
 * Creates a queue for turns of the event loop. Each turn goes to one body. If
 * ten large bodies each parsed in every turn, a short request would wait for
 * all ten.
 */
function createTurnQueue(yieldLoop: YieldLoop): YieldLoop {
  let last: Promise<void> = Promise.resolve();
  return () => {
    last = last.then(yieldLoop);
    return last;
  };
}

/**
 * Calls `processPiece` with each piece of the body. The request is paused until
 * that has resolved.
 */
function readPieces(
  req: IncomingMessage,
  res: ServerResponse,
  limits: BodyLimits,
  clock: Clock,
  processPiece: (piece: Uint8Array) => Promise<void>,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let bytes = 0;
    let settled = false;
    let processing: Promise<void> = Promise.resolve();

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
      processing = processing.then(() => processPiece(piece));
      processing.then(() => {
        if (!settled) req.resume();
      }, settle);
    };
    const onEnd = () => void processing.then(() => settle(), settle);
    const onClose = () => {
      if (!req.complete) settle(callerLeft());
    };
    const cancelTimer = clock.after(limits.bodyTimeoutMs, () =>
      // A slow sender occupies a slot and memory. The limit is on the whole
      // body: an idle timeout could be evaded by a byte now and then.
      settle(tooSlow(limits)),
    );

    if (req.destroyed) {
      settle(callerLeft());
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

function callerLeft() {
  return badRequest('the caller left amid its body', 'read', 'cancelled');
}

function tooSlow(limits: BodyLimits) {
  return badRequest(
    `the body took over ${limits.bodyTimeoutMs} ms`,
    'read',
    'timeout',
  );
}
