/**
 * Bounds what connections cost at a server that serves no callers: the one for
 * peers, for readiness checks and for metrics. Any program can connect to it,
 * send nothing, send without end, or not read its answer.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../types/runtime.js';
import {createConnectionGuards} from '../boundary/connection_guard.js';
import type {GuardOptions} from '../boundary/connection_guard.js';

/**
 * Most open connections. The largest fleet has 370 entries, and the answer to
 * one of them takes milliseconds.
 */
export const MAX_SIDE_CONNECTIONS = 128;
/**
 * Longest time in milliseconds for which a connection has no request, and
 * longest time of a request with a small answer.
 */
export const SIDE_STEP_MS = 5_000;

/**
 * Beyond the bound, the connection that was longest without a request is
 * closed, and not the new one: a check must not fail because of idle ones. A
 * request with its answer may take `maxAnswerMs`.
 */
export function boundConnections(
  server: Server,
  options: GuardOptions & {readonly clock: Clock},
  maxAnswerMs = SIDE_STEP_MS,
): void {
  const {clock} = options;
  const guards = createConnectionGuards(options);
  /** The connections by their last request, the oldest first. */
  const open = new Map<Socket, () => void>();
  const arm = (socket: Socket, limitMs = SIDE_STEP_MS): void => {
    open.get(socket)?.();
    open.delete(socket);
    if (socket.destroyed) return;
    const cancel = clock.after(limitMs, () => socket.destroy());
    open.set(socket, cancel);
  };
  const accept = (socket: Socket): void => {
    const onClosed = guards.of(socket)('closed', () => arm(socket));
    socket.once('close', onClosed);
    arm(socket);
    if (open.size <= MAX_SIDE_CONNECTIONS) return;
    const [oldest] = open.keys();
    oldest.destroy();
  };
  const begin = (req: IncomingMessage, res: ServerResponse): void => {
    const {socket} = req;
    arm(socket, maxAnswerMs);
    const onFinished = guards.of(socket)('answer finished', () => {
      // The rest of a body without end is not read.
      if (req.complete) arm(socket);
      else socket.destroySoon();
    });
    res.once('finish', onFinished);
  };
  server.on('connection', (socket: Socket) => {
    guards.of(socket)('connection', accept)(socket);
  });
  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    guards.of(req.socket)('request', begin)(req, res);
  });
}
