/**
 * The open connections of callers: whether a request is open on each, and since
 * when no byte has come. Bytes that belong to no answered request tell that a
 * request is under way, although its headers are not read yet.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import {runTwice} from '../../utils/run_each.js';
import {nameConnection} from './connection_name.js';
import type {QuietConnection} from './idle_time.js';

interface CallerConnection {
  /** The answer to the newest request, until it has closed. */
  open: ServerResponse | undefined;
  /** Number of answers that have not closed. */
  openCount: number;
  /** Requests whose headers were read. */
  requests: number;
  /** Bytes that were read up to the end of the newest request. */
  requestBytes: number;
  /** Bytes that had been read at the latest look. */
  seenBytes: number;
  /** Since when no byte has come, and no request was open. */
  quietSince: number;
  statedMs: number;
}

export interface CallerConnections {
  /** Adds a connection that was just accepted, until it closes. */
  add(socket: Socket): void;
  /**
   * Notes that the headers of a request have been read, whose answer states
   * `statedMs` in `Keep-Alive`.
   */
  began(req: IncomingMessage, res: ServerResponse, statedMs: number): void;
  /** Number of requests whose headers were read. */
  requestCount(socket: Socket): number;
  /** Bytes that were read up to the end of the newest request. */
  requestBytes(socket: Socket): number;
  /**
   * Whether no further request is expected behind the newest one: its body is
   * not read completely, or it asked for the end of the connection.
   */
  isLast(socket: Socket): boolean;
  /** Whether no byte has ever come. */
  isUnused(socket: Socket): boolean;
  /**
   * Whether all requests are answered and no part of a further one was read. On
   * a new connection a request may be on its way.
   */
  isIdle(socket: Socket): boolean;
  /** Whether bytes have been read behind the headers of the newest request. */
  hasPart(socket: Socket): boolean;
  /** Whether bytes have been read of a request that is not answered. */
  hasUnanswered(socket: Socket): boolean;
  /** Time without a byte and an open request, in milliseconds. */
  quietMs(socket: Socket): number;
  /**
   * Calls `visit` for each connection without an open request on which nothing
   * has happened for `leastMs`. An error at one ends it, and does not keep the
   * others from theirs.
   */
  visitQuiet(
    leastMs: number,
    visit: (socket: Socket, connection: QuietConnection) => void,
  ): void;
  /** Time without a byte of a body that is being read, in milliseconds. */
  bodyQuietMs(socket: Socket): number;
  /** Calls `visit` for each connection on which a body is being read. */
  visitBodies(visit: (socket: Socket, res: ServerResponse) => void): void;
  /** The answer to the newest request, until it has closed. */
  openAnswer(socket: Socket): ServerResponse | undefined;
  /** Runs the function when all requests of the connection are answered. */
  whenEnded(socket: Socket, run: () => void): void;
  all(): Iterable<Socket>;
  /** Number of open connections. */
  count(): number;
  /** Number of connections with an open request. */
  busyCount(): number;
}

export function createCallerConnections(
  now: () => number,
  guards: Pick<ConnectionGuards, 'of'>,
): CallerConnections {
  const connections = new Map<Socket, CallerConnection>();
  let busyCount = 0;

  const add = (socket: Socket): void => {
    nameConnection(socket);
    connections.set(socket, {
      open: undefined,
      openCount: 0,
      requests: 0,
      requestBytes: 0,
      seenBytes: 0,
      quietSince: now(),
      statedMs: 0,
    });
    const remove = () => runTwice(() => connections.delete(socket));
    socket.once('close', guards.of(socket)('closed', remove));
  };
  const began: CallerConnections['began'] = (req, res, statedMs) => {
    const {socket} = req;
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connection.open = res;
    if (connection.openCount === 0) busyCount++;
    connection.openCount++;
    connection.requests++;
    connection.statedMs = statedMs;
    const noteBytes = () => {
      connection.requestBytes = socket.bytesRead;
    };
    noteBytes();
    req.once('end', noteBytes);
    const noteClosed = guards.of(socket)('answer closed', () => {
      if (connection.open === res) connection.open = undefined;
      connection.openCount--;
      if (connection.openCount === 0) busyCount--;
      // Of a body that is not read yet, the rest may follow.
      if (!req.complete) noteBytes();
      connection.seenBytes = socket.bytesRead;
      connection.quietSince = now();
    });
    res.once('close', noteClosed);
  };
  const hasNewBytes = (socket: Socket, {requestBytes}: CallerConnection) =>
    socket.bytesRead !== requestBytes;
  const noteQuiet = (socket: Socket, connection: CallerConnection) => {
    if (socket.bytesRead === connection.seenBytes) return;
    connection.seenBytes = socket.bytesRead;
    connection.quietSince = now();
  };

  return {
    add,
    began,
    requestCount: socket => connections.get(socket)?.requests ?? 0,
    requestBytes: socket => connections.get(socket)?.requestBytes ?? 0,
    isLast: socket => {
      const req = connections.get(socket)?.open?.req;
      return req !== undefined && (!req.complete || asksForEnd(req));
    },
    isUnused: socket => socket.bytesRead === 0,
    isIdle: socket => {
      const connection = connections.get(socket);
      return (
        connection !== undefined &&
        connection.requests > 0 &&
        connection.open === undefined &&
        !hasNewBytes(socket, connection)
      );
    },
    hasPart: socket => {
      const connection = connections.get(socket);
      return connection !== undefined && hasNewBytes(socket, connection);
    },
    hasUnanswered: socket => {
      const connection = connections.get(socket);
      return (
        connection !== undefined &&
        (connection.open !== undefined || hasNewBytes(socket, connection))
      );
    },
    quietMs: socket => {
      const connection = connections.get(socket);
      if (connection === undefined || connection.open !== undefined) return 0;
      noteQuiet(socket, connection);
      return now() - connection.quietSince;
    },
    visitQuiet: (leastMs, visit) => {
      const dueAt = now() - leastMs;
      for (const [socket, connection] of connections) {
        // Bytes that came since only make it later.
        if (connection.quietSince > dueAt) continue;
        if (connection.open !== undefined) continue;
        const {statedMs, requests} = connection;
        const awaitsHeaders = requests === 0 || hasNewBytes(socket, connection);
        const visitGuarded = guards.of(socket)('idle check', visit);
        visitGuarded(socket, {statedMs, awaitsHeaders});
      }
    },
    bodyQuietMs: socket => {
      const connection = connections.get(socket);
      if (connection === undefined || !isBodyRead(connection)) return 0;
      noteQuiet(socket, connection);
      return now() - connection.quietSince;
    },
    visitBodies: visit => {
      for (const [socket, connection] of connections) {
        const {open} = connection;
        if (open !== undefined && isBodyRead(connection)) visit(socket, open);
      }
    },
    openAnswer: socket => connections.get(socket)?.open,
    whenEnded: (socket, run) => {
      const open = connections.get(socket)?.open;
      if (open === undefined) run();
      else open.once('close', run);
    },
    all: () => connections.keys(),
    count: () => connections.size,
    busyCount: () => busyCount,
  };
}

/** A body behind an open answer is read only when that one has ended. */
function isBodyRead({open, openCount}: CallerConnection): boolean {
  return open !== undefined && openCount === 1 && !open.req.complete;
}

/** Whether the caller sends no further request on its connection. */
function asksForEnd({headers, httpVersion}: IncomingMessage): boolean {
  const options = headers.connection?.toLowerCase() ?? '';
  return httpVersion === '1.0' || options.includes('close');
}
