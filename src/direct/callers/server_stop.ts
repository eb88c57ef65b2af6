/**
 * Stops the server for callers in two steps: first it accepts no connections any
 * more, while open requests still get their answers, and later it ends all.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Cancel, Clock} from '../../types/runtime.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import type {ConnectionCloser} from './connection_closer.js';
import {afterPoll} from './connection_end.js';
import {endOpenedAhead} from './opened_ahead.js';

/**
 * Longest wait for connections that are still to be accepted, in milliseconds.
 * New ones may come all the while.
 */
const MAX_ACCEPTING_MS = 200;

export interface ServerStop {
  /** Resolves when requests that had come on ended connections are taken. */
  stopAccepting(): Promise<void>;
  /** Resolves when the end of all connections has begun. */
  close(): Promise<void>;
}

export interface ServerStopOptions {
  readonly server: Pick<Server, 'close' | 'on' | 'off'>;
  readonly clock: Clock;
  readonly connections: Pick<CallerConnections, 'all' | 'isUnused' | 'quietMs'>;
  readonly closer: Pick<ConnectionCloser, 'endAll' | 'endQuiet'>;
  readonly isEnding: (socket: Socket) => boolean;
  readonly guards: Pick<ConnectionGuards, 'each'>;
  /** Cancels the checks at intervals. */
  readonly cancelChecks: Cancel;
}

export function createServerStop({
  server,
  clock,
  connections,
  closer,
  isEnding,
  guards,
  cancelChecks,
}: ServerStopOptions): ServerStop {
  let cancelStop: Cancel = () => undefined;

  // Connections that wait in the kernel to be accepted are reset with the
  // listening socket, also those with whole requests. Node accepts one of them in
  // a turn of the event loop, so the socket closes after a turn without any.
  const closeListener = (whenClosed: () => void) => {
    const endsAt = clock.now() + MAX_ACCEPTING_MS;
    let hasAccepted = false;
    const onConnection = () => {
      hasAccepted = true;
    };
    const closeIfQuiet = () => {
      if (hasAccepted && clock.now() < endsAt) {
        hasAccepted = false;
        afterPoll(closeIfQuiet);
        return;
      }
      try {
        server.off('connection', onConnection);
        server.close();
      } finally {
        // The end of the service waits for it.
        whenClosed();
      }
    };
    server.on('connection', onConnection);
    afterPoll(closeIfQuiet);
  };
  const end = (socket: Socket) => closer.endQuiet(socket, 'drain');

  return {
    stopAccepting: () =>
      new Promise(resolve => {
        closeListener(() => {
          const options = {clock, connections, isEnding, end, guards};
          cancelStop = endOpenedAhead(options, resolve);
        });
      }),
    close: () =>
      new Promise(resolve => {
        closeListener(() =>
          afterPoll(() => {
            // The stop of the process waits for it.
            try {
              closer.endAll();
            } finally {
              resolve();
            }
          }),
        );
        cancelChecks();
        cancelStop();
      }),
  };
}
