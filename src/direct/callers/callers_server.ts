/**
 * The HTTP server for callers. It applies the limits of the configuration and
 * can stop accepting connections while open requests still get their answers.
 * This module wires its parts: the listeners for Node's events, the checks at
 * intervals, and the stop.
 */
import type {Socket} from 'node:net';
import type {Cancel, Clock, Log, Metrics} from '../../types/runtime.js';
import {createGuard} from '../../utils/callback_guard.js';
import {createConnectionGuards} from '../boundary/connection_guard.js';
import type {RequestErrors} from '../boundary/connection_guard.js';
import {createStepReport} from '../boundary/contained_errors.js';
import {createCallerConnections} from './caller_connections.js';
import {createClosingReports} from './closings.js';
import {createConnectionCloser} from './connection_closer.js';
import {createConnectionRefusals} from './connection_refusals.js';
import {afterPoll, createConnectionEnds} from './connection_end.js';
import {createDescriptorGuard} from './descriptor_guard.js';
import {listenAt} from '../listening/listening_server.js';
import {createHttpServer} from './http_server.js';
import {createIdleCheck} from './idle_check.js';
import {createInputDiscards} from './input_discards.js';
import type {LimitsInForce} from './limits_in_force.js';
import {createParserErrors} from './parser_errors.js';
import {applyServerLimits} from './server_limits.js';
import {addServerListeners} from './server_listeners.js';
import type {RequestHandler} from './server_listeners.js';
import {createServerStop} from './server_stop.js';
import {createStalledBodyCheck} from './stalled_bodies.js';
import {createUnlimitedHeads} from './unlimited_heads.js';

/** Interval at which connections are checked for timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;

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

export interface CallersServerOptions {
  /** IP:PORT to listen at. */
  readonly address: string;
  readonly handler: RequestHandler;
  /** Ends a request that fails before it is served. */
  readonly onRequestError: RequestErrors;
  /** A new connection for which it returns false is refused. */
  readonly admit: () => boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly limits: LimitsInForce;
  /** Collects the buffers that were allocated lately. */
  readonly collect: () => void;
  /** Descriptors that the host allows this process. */
  readonly maxDescriptors: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Takes a function that gives up the wait for the address. */
  readonly onWait?: (stop: () => void) => void;
}

/** Resolves when the address is bound. */
export async function openCallersServer(
  options: CallersServerOptions,
): Promise<CallersServer> {
  const {clock, limits, log, maxDescriptors, metrics} = options;
  const guards = createConnectionGuards(options);
  const guard = createGuard(createStepReport(options));
  const server = createHttpServer(TIMEOUT_CHECK_MS);
  const connections = createCallerConnections(clock.now, guards);
  const unlimitedHeads = createUnlimitedHeads(connections);
  const discards = createInputDiscards({...options, guards});
  const ends = createConnectionEnds({clock, guards, discards});
  const {isEnding} = ends;
  const reportClosing = createClosingReports(log, metrics);
  const closer = createConnectionCloser({
    connections,
    ends,
    reportClosing,
    guards,
  });
  const {endAnswered, endIfIdle, endQuiet, report} = closer;
  const refusals = createConnectionRefusals({
    ...options,
    ends,
    discards,
    guards,
  });
  const descriptors = createDescriptorGuard({
    connections,
    refusedCount: refusals.count,
    maxDescriptors,
    log,
    isEnding,
    endQuiet,
    guards,
  });
  // Called by `server.close` too. The method of Node also closes connections
  // whose answer has ended but has not been handed to the kernel completely.
  server.closeIdleConnections = () =>
    afterPoll(guard('idle end', closer.endAllIdle));
  const isConfigured = () => limits.newest() !== undefined;
  addServerListeners(server, {
    ...options,
    readsBodies: isConfigured,
    connections,
    guards,
    admit: () => {
      const isAdmitted = options.admit();
      if (!descriptors.admit()) return 'close';
      return isAdmitted ? 'serve' : 'refuse';
    },
    refuse: refusals.refuse,
    endAnswered,
    onParserError: createParserErrors({
      connections,
      ends,
      report,
      headersTimeoutMs: () => server.headersTimeout,
      isUnlimited: unlimitedHeads.has,
      knowsLimits: isConfigured,
      guards,
    }),
  });
  let cancelChange: Cancel = () => undefined;
  const applyLimits = () => {
    applyServerLimits(server, limits, unlimitedHeads.note);
    cancelChange();
    // Applied at a check, a limit would not be in force for the heads that begin
    // between the time at which callers know it and that check.
    const changeInMs = limits.headersChangeInMs();
    if (changeInMs !== undefined) {
      cancelChange = clock.after(changeInMs, applyLimits, 'limits of callers');
    }
  };
  applyLimits();
  const endIdle = createIdleCheck({
    connections,
    limits,
    descriptorUse: descriptors.use,
    endQuiet,
    guards,
  });
  const refuseStalled = createStalledBodyCheck({
    ...options,
    connections,
    report,
  });
  // Each a step of its own, so that one that fails keeps no other from its turn.
  const checks = [
    guard('limits of callers', applyLimits),
    guard('idle check', endIdle),
    guard('descriptor check', descriptors.endSurplus),
    guard('body check', refuseStalled),
  ];
  const cancelEvery = clock.every(
    TIMEOUT_CHECK_MS,
    () => checks.forEach(check => check()),
    'checks of connections',
  );
  const cancelChecks = () => {
    cancelEvery();
    cancelChange();
  };
  const stop = createServerStop({
    server,
    clock,
    connections,
    closer,
    isEnding,
    guards,
    cancelChecks,
  });
  // Last: an error behind it would leave a listener that nobody closes.
  const listening = listenAt(server, {...options, part: 'callers'});
  options.onWait?.(() => {
    cancelChecks();
    listening.stop();
  });
  await listening.bound;
  return {
    applyLimits,
    stopAccepting: stop.stopAccepting,
    endWhenIdle: socket =>
      afterPoll(guards.of(socket)('idle end', () => endIfIdle(socket))),
    close: stop.close,
  };
}
