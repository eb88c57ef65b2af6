/**
 * The listeners for the events of Node's HTTP server. Several replace Node's
 * default, which closes the connection at once.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {guardUnsent} from '../boundary/connection_guard.js';
import type {
  ConnectionGuards,
  RequestErrors,
} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import type {ConnectionCloser} from './connection_closer.js';
import type {ConnectionRefusals} from './connection_refusals.js';
import {closeIfDropped} from './dropped_bytes.js';

/** Status for an `Expect` header other than `100-continue`. */
const EXPECTATION_FAILED = 417;

/** What becomes of a new connection; `close` closes it unread. */
export type Admission = 'serve' | 'refuse' | 'close';

export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

export interface ServerListenersOptions {
  readonly connections: Pick<
    CallerConnections,
    'add' | 'began' | 'requestBytes'
  >;
  readonly handler: RequestHandler;
  /** Whether the handler may read bodies; callers are asked for theirs then. */
  readonly readsBodies: () => boolean;
  readonly admit: () => Admission;
  readonly refuse: ConnectionRefusals['refuse'];
  readonly endAnswered: ConnectionCloser['endAnswered'];
  readonly onParserError: (err: Error, socket: Socket) => void;
  /** Guards the events of a connection. */
  readonly guards: Pick<ConnectionGuards, 'of'>;
  /** Ends a request that fails before its handler has taken it. */
  readonly onRequestError: RequestErrors;
}

export function addServerListeners(
  server: Server,
  options: ServerListenersOptions,
): void {
  addRequestListeners(server, options);
  addTunnelListener(server, options);
  addConnectionListener(server, options);
  // Node closes by the limit that was in force when the last answer ended; with
  // a listener, it closes nothing.
  server.on('timeout', () => undefined);
  server.on('clientError', (err, duplex) => {
    const socket = duplex as Socket;
    const refuse = options.guards.of(socket)(
      'client error',
      options.onParserError,
    );
    refuse(err, socket);
  });
}

function addRequestListeners(
  server: Server,
  {connections, handler, readsBodies, onRequestError}: ServerListenersOptions,
): void {
  const began: RequestHandler = (req, res) => {
    const guard = guardUnsent(onRequestError, res);
    closeIfDropped(req, res, connections.requestBytes(req.socket), guard);
    // Node fixes what the answer states when the request has come.
    connections.began(req, res, server.keepAliveTimeout);
  };
  const handle: RequestHandler = (req, res) => {
    began(req, res);
    handler(req, res);
  };
  const listen = (event: string, listener: RequestHandler): void => {
    server.on(event, (req: IncomingMessage, res: ServerResponse) => {
      const guard = guardUnsent(onRequestError, res);
      guard('request', listener)(req, res);
    });
  };
  listen('request', handle);
  listen('checkContinue', (req, res) => {
    if (readsBodies()) res.writeContinue();
    handle(req, res);
  });
  listen('checkExpectation', (req, res) => {
    began(req, res);
    res.writeHead(EXPECTATION_FAILED);
    res.end();
  });
}

function addTunnelListener(
  server: Server,
  {onParserError, guards}: ServerListenersOptions,
): void {
  // Without a listener, Node closes the connection without an answer. It does
  // not handle the socket's errors any more.
  server.on('connect', (_req, duplex) => {
    const socket = duplex as Socket;
    socket.on('error', () => socket.destroy());
    // Node reads nothing any more, also not that the caller leaves.
    socket.once('end', () => socket.end());
    socket.resume();
    const refuse = guards.of(socket)('tunnel', onParserError);
    refuse(new Error('tunnels are not served'), socket);
  });
}

function addConnectionListener(
  server: Server,
  {connections, admit, refuse, endAnswered, guards}: ServerListenersOptions,
): void {
  const accept = (socket: Socket): void => {
    const admission = admit();
    if (admission === 'close') socket.destroy();
    if (admission === 'refuse') refuse(socket);
    if (admission !== 'serve') return;
    socket.setNoDelay(true);
    connections.add(socket);
    // Called by Node after an answer that closes the connection. The method of
    // Node closes it at once.
    const guard = guards.of(socket);
    socket.destroySoon = guard('answer ended', () => endAnswered(socket));
  };
  server.on('connection', socket => {
    guards.of(socket)('connection', accept)(socket);
  });
}
