/**
 * Lets the requests of one connection be served in turn. An answer is written
 * only after those before it. Where an earlier answer closes the connection, a
 * later request must not be passed on: it would run, and its answer could not be
 * written any more. A connection is therefore closed after the last request that
 * has been read: a caller cannot tell one that was dropped from one that ran.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {runTwice} from '../../utils/run_each.js';

interface Turn {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly serve: () => void;
}

/** For turns whose owner takes no errors. */
function toProcess(_res: ServerResponse, err: unknown): never {
  throw err;
}

export interface ConnectionTurns {
  /**
   * Calls `serve` once the answers to earlier requests on the connection have
   * ended, unless the connection is closing by then.
   */
  take(req: IncomingMessage, res: ServerResponse, serve: () => void): void;
  /** Whether a request waits until the one that is served now has ended. */
  hasWaiting(socket: Socket): boolean;
  /** Number of requests that wait on all connections. */
  waitingCount(): number;
  /**
   * Number of requests that are served on all connections, until the last byte
   * of the answer is handed to the kernel.
   */
  servedCount(): number;
}

/**
 * `onDropped` is called with each request that is not served. `onFailed` ends a
 * request that can't take its turn because of an error.
 */
export function createConnectionTurns(
  onDropped: (req: IncomingMessage) => void,
  onFailed: (res: ServerResponse, err: unknown) => void = toProcess,
): ConnectionTurns {
  /** Requests that wait, by the connection on which one is being served. */
  const waiting = new WeakMap<Socket, Turn[]>();
  let waitingCount = 0;
  let servedCount = 0;

  const begin = ({req, res, serve}: Turn): void => {
    const {socket} = req;
    if (!socket.writable) return onDropped(req);
    const queue: Turn[] = [];
    waiting.set(socket, queue);
    servedCount++;
    res.once('close', () => {
      servedCount--;
      waitingCount -= queue.length;
      runTwice(() => waiting.delete(socket));
      for (const turn of queue) takeOrFail(turn);
    });
    serve();
  };
  const takeOrFail = (turn: Turn): void => {
    try {
      take(turn);
    } catch (err) {
      onFailed(turn.res, err);
    }
  };
  const take = (turn: Turn): void => {
    const queue = waiting.get(turn.req.socket);
    if (queue === undefined) begin(turn);
    else {
      queue.push(turn);
      waitingCount++;
    }
  };

  return {
    take: (req, res, serve) => take({req, res, serve}),
    hasWaiting: socket => (waiting.get(socket)?.length ?? 0) > 0,
    waitingCount: () => waitingCount,
    servedCount: () => servedCount,
  };
}
