/** Refuses requests of whose body no further byte comes in time. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {guardUnsent} from '../boundary/connection_guard.js';
import type {RequestErrors} from '../boundary/connection_guard.js';
import {sendLocalAnswer} from '../local_answers.js';
import type {CallerConnections} from './caller_connections.js';
import type {ConnectionCloser} from './connection_closer.js';
import {afterPoll} from './connection_end.js';
import {stalledTimeMs} from './idle_time.js';
import type {LimitsInForce} from './limits_in_force.js';

export interface StalledBodyCheckOptions {
  readonly connections: Pick<CallerConnections, 'bodyQuietMs' | 'visitBodies'>;
  readonly limits: Pick<LimitsInForce, 'times'>;
  readonly report: ConnectionCloser['report'];
  readonly onRequestError: RequestErrors;
}

/** Returns the check, which is to run at intervals. */
export function createStalledBodyCheck({
  connections,
  limits,
  report,
  onRequestError,
}: StalledBodyCheckOptions): () => void {
  const refuse = (socket: Socket, res: ServerResponse, limitMs: number) => {
    report(socket, 'body late', limitMs);
    const message = 'the body did not come in time';
    sendLocalAnswer(res, {status: 408, message, close: true});
  };

  return () => {
    const limitMs = stalledTimeMs(limits.times());
    const isLate = (socket: Socket) =>
      connections.bodyQuietMs(socket) >= limitMs;
    connections.visitBodies((socket, res) => {
      const guard = guardUnsent(onRequestError, res);
      const refuseIfLate = guard('body late', () => {
        if (isLate(socket) && !res.headersSent) refuse(socket, res, limitMs);
      });
      const check = guard('body check', () => {
        if (isLate(socket)) afterPoll(refuseIfLate);
      });
      check();
    });
  };
}
