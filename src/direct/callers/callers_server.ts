/**
 * The HTTP server for callers. It applies the limits of the configuration and
 * can stop accepting connections while open requests still get their answers.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Cancel, Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {sendLocalAnswer} from '../local_answers.js';
import {splitAddress} from '../settings.js';
import {createCallerConnections} from './caller_connections.js';
import {createClosingReports} from './closings.js';
import type {CloseCause} from './closings.js';
import {afterPoll, createConnectionEnds} from './connection_end.js';
import {longestIdle, mayAccept, surplusOf} from './descriptor_use.js';
import {
  idleMarginMs,
  idleTimeMs,
  stalledTimeMs,
  statedIdleMs,
} from './idle_time.js';
import type {LimitsInForce} from './limits_in_force.js';
import {FIRST_REQUEST_MS, endOpenedAhead} from './opened_ahead.js';
import {createParserErrors} from './parser_errors.js';
import {createUnlimitedHeads} from './unlimited_heads.js';

/**
 * Largest headers that the HTTP parser accepts, in bytes. It exceeds the
 * configured limit, so that requests between the two are answered with 431 by
 * `admitRequest`; the parser refuses larger ones.
 */
const PARSER_HEADER_BYTES = 256 * 1024;
/** Interval at which connections are checked for timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;
/** Status for an `Expect` header other than `100-continue`. */
const EXPECTATION_FAILED = 417;
export interface CallersServer {
  /** Applies limits that have changed. */
  applyLimits(): void;
  /**
   * Accepts no new connections and ends the idle ones, and those that were opened
   * ahead and never used. Resolves when requests that had come on them are taken.
   */
  stopAccepting(): Promise<void>;
  /** Ends a connection unless a further request has come. */
  endWhenIdle(socket: Socket): void;
  /**
   * Accepts no new connections, and ends all of them, also those with open
   * requests. An answer that was written before can still be read.
   */
  close(): Promise<void>;
}

export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

export interface CallersServerOptions {
  /** IP:PORT to listen at. */
  readonly address: string;
  readonly handler: RequestHandler;
  /** A new connection for which it returns false is closed unread. */
  readonly admit: () => boolean;
  readonly limits: LimitsInForce;
  /** Descriptors that the host allows this process. */
  readonly maxDescriptors: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Rejects when the address cannot be bound. */
export async function openCallersServer(
  options: CallersServerOptions,
): Promise<CallersServer> {
  const {clock, handler, limits, maxDescriptors} = options;
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    requestTimeout: 0,
    // Node's own refusal closes the connection, also where a request behind it
    // is served already; `admitRequest` refuses such requests in their turn.
    requireHostHeader: false,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  });
  const connections = createCallerConnections(clock.now);
  const unlimitedHeads = createUnlimitedHeads(connections);
  const ends = createConnectionEnds(clock);
  const descriptorUse = () => ({
    connections: connections.count(),
    busy: connections.busyCount(),
    maxDescriptors,
  });
  /** New connections that were closed unread since the latest check. */
  let unaccepted = 0;
  const reportClosing = createClosingReports(options.log, options.metrics);
  const report = (socket: Socket, cause: CloseCause, limitMs?: number) =>
    reportClosing(socket, {
      cause,
      idleMs: connections.quietMs(socket),
      limitMs,
      isUnanswered: connections.hasUnanswered(socket),
    });
  const endQuiet = (socket: Socket, cause: CloseCause, limitMs?: number) => {
    const idleMs = connections.quietMs(socket);
    const isUnanswered = connections.hasUnanswered(socket);
    ends.end(socket, 'leave', hasLateBytes =>
      reportClosing(socket, {
        cause,
        idleMs,
        limitMs,
        isUnanswered: isUnanswered || hasLateBytes,
      }),
    );
  };
  const endAnswered = (socket: Socket) => {
    const lateBytes = connections.isLast(socket) ? 'discard' : 'leave';
    ends.end(socket, lateBytes, hasLateBytes =>
      reportClosing(socket, {
        cause: 'answer',
        idleMs: 0,
        isUnanswered: hasLateBytes,
      }),
    );
  };
  const endLast = (socket: Socket) => {
    if (ends.isEnding(socket)) return;
    if (connections.hasUnanswered(socket)) {
      report(socket, 'service ended');
      socket.destroy();
    } else endQuiet(socket, 'service ended');
  };
  const endIfIdle = (socket: Socket) => {
    if (connections.isIdle(socket)) endQuiet(socket, 'drain');
  };
  // Called by `server.close` too. The method of Node also closes connections
  // whose answer has ended but has not been handed to the kernel completely.
  server.closeIdleConnections = () => {
    afterPoll(() => [...connections.all()].forEach(endIfIdle));
  };
  const handle: RequestHandler = (req, res) => {
    // Node fixes what the answer states when the request has come.
    connections.began(req, res, server.keepAliveTimeout);
    handler(req, res);
  };
  server.on('request', handle);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    res.writeContinue();
    handle(req, res);
  });
  server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
    connections.began(req, res, server.keepAliveTimeout);
    res.writeHead(EXPECTATION_FAILED);
    res.end();
  });
  // Without a listener, Node closes the connection without an answer. It does
  // not handle the socket's errors any more.
  server.on('connect', (_req, duplex) => {
    const socket = duplex as Socket;
    socket.on('error', () => socket.destroy());
    // Node reads nothing any more, also not that the caller leaves.
    socket.once('end', () => socket.end());
    socket.resume();
    onParserError(new Error('tunnels are not served'), socket);
  });
  server.on('connection', socket => {
    if (!options.admit()) {
      socket.destroy();
      return;
    }
    if (!mayAccept(descriptorUse())) {
      unaccepted++;
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    connections.add(socket);
    // Called by Node after an answer that closes the connection. The method of
    // Node closes it at once.
    socket.destroySoon = () => endAnswered(socket);
  });
  // Node closes by the limit that was in force when the last answer ended; with
  // a listener, it closes nothing.
  server.on('timeout', () => undefined);
  const closeIdle = () => {
    const current = limits.current();
    if (current === undefined) return;
    const marginMs = idleMarginMs(descriptorUse(), limits.knownWithinMs);
    const dueMs = new Map<Socket, number>();
    connections.visitQuiet(current.idleTimeoutMs, (socket, connection) => {
      const limitMs = idleTimeMs(connection, current, marginMs);
      if (connections.quietMs(socket) >= limitMs) dueMs.set(socket, limitMs);
    });
    if (dueMs.size === 0) return;
    afterPoll(() => {
      for (const [socket, limitMs] of dueMs) {
        if (connections.quietMs(socket) < limitMs) continue;
        endQuiet(socket, 'idle', limitMs);
      }
    });
  };
  const freeDescriptors = () => {
    const use = descriptorUse();
    const surplus = surplusOf(use);
    const idleMs = new Map<Socket, number>();
    if (surplus > 0) {
      connections.visitQuiet(FIRST_REQUEST_MS, (socket, {awaitsHeaders}) => {
        if (awaitsHeaders && !connections.isUnused(socket)) return;
        idleMs.set(socket, connections.quietMs(socket));
      });
    }
    // Those that are ending already are among the surplus.
    const due = longestIdle(idleMs, surplus).filter(it => !ends.isEnding(it));
    if (due.length > 0) {
      afterPoll(() => {
        for (const socket of due) {
          if (connections.quietMs(socket) < FIRST_REQUEST_MS) continue;
          endQuiet(socket, 'descriptors');
        }
      });
    }
    if (unaccepted === 0 && due.length === 0) return;
    options.log(DIRECT_EVENTS.descriptorsShort, {
      ...use,
      ended: due.length,
      unaccepted,
    });
    unaccepted = 0;
  };
  const refuseStalled = () => {
    const current = limits.current();
    if (current === undefined) return;
    const limitMs = stalledTimeMs(current);
    connections.visitBodies((socket, res) => {
      if (connections.bodyQuietMs(socket) < limitMs) return;
      afterPoll(() => {
        if (connections.bodyQuietMs(socket) < limitMs || res.headersSent)
          return;
        report(socket, 'body late', limitMs);
        const message = 'the body did not come in time';
        sendLocalAnswer(res, {status: 408, message, close: true});
      });
    });
  };
  const applyLimits = () => {
    const newest = limits.newest();
    if (newest === undefined) return;
    const headersTimeoutMs = limits.headersTimeoutMs();
    const becomesLimited = server.headersTimeout === 0 && headersTimeoutMs > 0;
    if (becomesLimited) unlimitedHeads.note();
    server.headersTimeout = headersTimeoutMs;
    server.keepAliveTimeout = statedIdleMs(newest);
  };
  const onParserError = createParserErrors({
    connections,
    ends,
    report,
    headersTimeoutMs: () => server.headersTimeout,
    isUnlimited: unlimitedHeads.has,
  });
  server.on('clientError', (err, socket) =>
    onParserError(err, socket as Socket),
  );
  applyLimits();
  await listen(server, options.address);
  // Connections that wait in the kernel to be accepted are reset with the
  // listening socket, also those with whole requests.
  const closeListener = (whenClosed: () => void) =>
    afterPoll(() => {
      server.close();
      whenClosed();
    });
  const cancelChecks = clock.every(TIMEOUT_CHECK_MS, () => {
    applyLimits();
    closeIdle();
    freeDescriptors();
    refuseStalled();
  });
  let cancelStop: Cancel = () => undefined;
  return {
    applyLimits,
    stopAccepting: () =>
      new Promise(resolve => {
        closeListener(() => {
          const {isEnding} = ends;
          const end = (socket: Socket) => endQuiet(socket, 'drain');
          const options = {clock, connections, isEnding, end};
          cancelStop = endOpenedAhead(options, resolve);
        });
      }),
    endWhenIdle: socket => afterPoll(() => endIfIdle(socket)),
    close: () =>
      new Promise(resolve => {
        cancelChecks();
        cancelStop();
        closeListener(() =>
          afterPoll(() => {
            for (const socket of connections.all()) endLast(socket);
            resolve();
          }),
        );
      }),
  };
}

function listen(server: Server, address: string): Promise<void> {
  const endpoint = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint?.port, endpoint?.ip, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
