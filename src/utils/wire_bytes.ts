/**
 * Reads the body of an HTTP answer, within the share of the event loop that its
 * sender has, and bounds the bytes that are not part of the body: the head,
 * informational answers and line ends before it, chunk sizes and extensions, and
 * trailers. The parser limits each of these alone, but not how many there are.
 * On a kept connection, bytes that arrive while no request is in progress belong
 * to no answer, and the connection is closed.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../types/runtime.js';
import {createGuard} from './callback_guard.js';
import type {Guard} from './callback_guard.js';
import {createFruitlessBytes} from './fruitless_bytes.js';
import {holdReads, releaseReads} from './held_reads.js';
import type {Party, ReadTurns, TurnReader} from './read_turns.js';
import {createReceivedBytes} from './received_bytes.js';

/** Largest sum without a body; a head has at most 16 KB. */
const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Allowed for each byte of the body; a chunk of one byte costs five. */
const ALLOWED_PER_BODY_BYTE = 16;
/** Longest time of sending without a byte of the body, in milliseconds. */
const MAX_OVERHEAD_MS = 1_000;
/** Units of work for an event of a stream, which is parsed and written again. */
const PART_UNITS = 4;

export interface WireWatch {
  /**
   * Hands on the body's bytes, those of one read together, with the number of
   * pieces in which they came. `onBytes` returns the number of parts that it took
   * them for, such as events, each of which is as much work as some pieces.
   */
  readBody(res: IncomingMessage, onBytes: OnBytes): void;
  /** The answer is not read on until `resume`; what was read is handed on. */
  pause(): void;
  resume(): void;
  /** Whether its bytes are so much work that it was read in turns. */
  isInTurns(): boolean;
}

export type OnBytes = (bytes: Buffer, pieces: number) => number | void;

export interface WireOptions {
  readonly now: Clock['now'];
  /** Bounds the work with the bytes. @default it is not bounded */
  readonly turns?: ReadTurns | undefined;
  /** Who sends the answer. */
  readonly from: Party;
  /** Called once a bound is exceeded. */
  onEndless(): void;
  /** Called when the first bytes of the answer come. */
  onFirst?(): void;
  /** Takes errors in the callbacks. @default they end the request */
  readonly guard?: Guard;
}

type OnReceived = (bytes: number) => void;

/** Receives the bytes of a connection; undefined without a request on it. */
const receivers = new WeakMap<Socket, {onReceived: OnReceived | undefined}>();

export function watchWire(req: ClientRequest, options: WireOptions): WireWatch {
  const {now, turns, from, onEndless, onFirst} = options;
  const {guard = createGuard(err => req.destroy(err as Error))} = options;
  const overhead = createFruitlessBytes({
    maxBytes: MAX_OVERHEAD_BYTES,
    maxMs: MAX_OVERHEAD_MS,
  });
  let reader: TurnReader | undefined;
  const onSocket = guard('connection', (socket: Socket) => {
    const receiver = receiverOf(socket);
    let hasBegun = false;
    receiver.onReceived = guard('bytes received', bytes => {
      if (!hasBegun) onFirst?.();
      hasBegun = true;
      if (overhead.received(bytes, now())) onEndless();
    });
    const onClose = guard('connection closed', () => {
      receiver.onReceived = undefined;
      releaseReads(socket, 'reader');
      reader?.close();
    });
    req.once('close', onClose);
    reader = turns?.open(from, socket);
  });
  req.once('socket', onSocket);

  const readBody: WireWatch['readBody'] = (res, onBytes) => {
    const received = createReceivedBytes();
    let pieces = 0;
    let firstAt = 0;
    const handOn = guard('body read', () => {
      if (pieces === 0) return;
      const count = pieces;
      pieces = 0;
      const parts = onBytes(received.take(), count) ?? 0;
      reader?.worked(count + parts * PART_UNITS, now() - firstAt);
    });
    const take = guard('body', (piece: Buffer) => {
      overhead.progressed(piece.length * ALLOWED_PER_BODY_BYTE);
      received.add(piece);
      if (pieces++ > 0) return;
      firstAt = now();
      // Runs when all that was read at once has been parsed.
      process.nextTick(handOn);
    });
    res.on('data', take);
    // A short body may end before the tick in which it would be handed on.
    res.prependListener('end', handOn);
  };
  return {
    readBody,
    pause: () => {
      if (req.socket) holdReads(req.socket, 'reader');
    },
    resume: () => {
      if (req.socket) releaseReads(req.socket, 'reader');
    },
    isInTurns: () => reader?.isInTurns() ?? false,
  };
}

function receiverOf(socket: Socket) {
  const known = receivers.get(socket);
  if (known !== undefined) return known;
  const receiver: {onReceived: OnReceived | undefined} = {
    onReceived: undefined,
  };
  receivers.set(socket, receiver);
  socket.on('data', (chunk: Buffer) => {
    if (receiver.onReceived === undefined) socket.destroy();
    else receiver.onReceived(chunk.length);
  });
  return receiver;
}
