/**
 * The open connections of callers: the last answer on each, and whether a part
 * of a further request has come.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {nameConnection} from './connection_name.js';

interface CallerConnection {
  /** The answer to the newest request; undefined before the first one. */
  answer: ServerResponse | undefined;
  /** Bytes that were read until the last answer had closed. */
  bytesRead: number;
  /** When the last answer closed, or the connection was opened. */
  idleSince: number;
}

export interface CallerConnections {
  /** Adds a connection that was just accepted, until it closes. */
  add(socket: Socket): void;
  /** Notes that the headers of a request have been read. */
  began(socket: Socket, res: ServerResponse): void;
  /**
   * Whether an answer has closed and no part of a further request was read. On
   * a new connection a request may lie unread.
   */
  isIdle(socket: Socket): boolean;
  /** Whether bytes have been read of a request that is not answered. */
  hasUnanswered(socket: Socket): boolean;
  /** Time since the last answer or the opening, in milliseconds. */
  idleMs(socket: Socket): number;
  /** Runs the function when all requests of the connection are answered. */
  whenEnded(socket: Socket, run: () => void): void;
  all(): Iterable<Socket>;
}

export function createCallerConnections(now: () => number): CallerConnections {
  const connections = new Map<Socket, CallerConnection>();
  const hasNewBytes = (socket: Socket, {bytesRead}: CallerConnection) =>
    socket.bytesRead !== bytesRead;

  return {
    add: socket => {
      nameConnection(socket);
      connections.set(socket, {
        answer: undefined,
        bytesRead: 0,
        idleSince: now(),
      });
      socket.once('close', () => connections.delete(socket));
    },
    began: (socket, res) => {
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.answer = res;
      res.once('close', () => {
        connection.bytesRead = socket.bytesRead;
        connection.idleSince = now();
      });
    },
    isIdle: socket => {
      const connection = connections.get(socket);
      if (connection === undefined) return false;
      const isAnswered = connection.answer?.closed ?? false;
      return isAnswered && !hasNewBytes(socket, connection);
    },
    hasUnanswered: socket => {
      const connection = connections.get(socket);
      if (connection === undefined) return false;
      const isAnswered = connection.answer?.closed ?? true;
      return !isAnswered || hasNewBytes(socket, connection);
    },
    idleMs: socket => now() - (connections.get(socket)?.idleSince ?? now()),
    whenEnded: (socket, run) => {
      const answer = connections.get(socket)?.answer;
      if (answer === undefined || answer.closed) run();
      else answer.once('close', run);
    },
    all: () => connections.keys(),
  };
}
