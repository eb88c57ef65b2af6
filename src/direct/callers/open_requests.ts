/** The requests of callers that have no final answer yet. */
import type {Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';
import {connectionOf} from './connection_name.js';

export interface OpenRequests {
  add(exchange: Exchange): void;
  delete(exchange: Exchange): void;
  count(): number;
  /** Logs one whose caller has closed the connection. */
  logCallerLeft(exchange: Exchange): void;
  /** Logs those that end without an answer when this process ends now. */
  logCutAtStop(): void;
}

export function createOpenRequests(log: Log): OpenRequests {
  const open = new Set<Exchange>();
  return {
    add: exchange => void open.add(exchange),
    delete: exchange => void open.delete(exchange),
    count: () => open.size,
    logCallerLeft: ({id, req, elapsedMs}) =>
      log(DIRECT_EVENTS.callerLeft, {
        requestId: id,
        connection: connectionOf(req.socket),
        waitedMs: Math.round(elapsedMs()),
      }),
    logCutAtStop: () => {
      for (const {id, req, attempts, elapsedMs} of open) {
        log(DIRECT_EVENTS.cutAtStop, {
          requestId: id,
          connection: connectionOf(req.socket),
          sent: attempts,
          elapsedMs: Math.round(elapsedMs()),
        });
      }
    },
  };
}
