/** The requests of callers that have no final answer yet. */
import type {Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {runTwice, visitAll} from '../../utils/run_each.js';
import type {Exchange} from '../exchange.js';
import {connectionOf} from './connection_name.js';

export interface OpenRequests {
  add(exchange: Exchange): void;
  delete(exchange: Exchange): void;
  count(): number;
  /** Logs one whose caller has closed the connection. */
  logCallerLeft(exchange: Exchange): void;
  /**
   * Refuses those for which no replica is found yet and which would not end
   * before this entry does.
   */
  refuseLate(): void;
  /** Ends all of them, since their connections close. */
  giveUpAll(reason: string): void;
  /** Logs those that end without an answer when this process ends now. */
  logCutAtStop(): void;
}

export interface OpenRequestsOptions {
  readonly log: Log;
  giveUp(exchange: Exchange, reason: string): void;
  /** See `isTooLateToBegin`. */
  isTooLate(exchange: Exchange): boolean;
  /** See `refuseAtStop`. */
  refuse(exchange: Exchange): void;
}

export function createOpenRequests({
  log,
  giveUp,
  isTooLate,
  refuse,
}: OpenRequestsOptions): OpenRequests {
  const open = new Set<Exchange>();
  return {
    add: exchange => void open.add(exchange),
    delete: exchange => runTwice(() => open.delete(exchange)),
    count: () => open.size,
    refuseLate: () => {
      for (const exchange of [...open]) {
        const refuseIfLate = exchange.guard('refusal at a stop', () => {
          const isWaiting = exchange.attempts === 0 && !exchange.signal.aborted;
          if (isWaiting && isTooLate(exchange)) refuse(exchange);
        });
        refuseIfLate();
      }
    },
    giveUpAll: reason => {
      for (const exchange of [...open]) {
        const end = exchange.guard('end of the entry', () => {
          // Tells whether a replica has it.
          exchange.end('answered');
          giveUp(exchange, reason);
        });
        end();
      }
    },
    logCallerLeft: ({id, req, elapsedMs}) =>
      log(DIRECT_EVENTS.callerLeft, {
        requestId: id,
        connection: connectionOf(req.socket),
        waitedMs: Math.round(elapsedMs()),
      }),
    logCutAtStop: () => {
      visitAll(open, ({id, req, attempts, elapsedMs}) =>
        log(DIRECT_EVENTS.cutAtStop, {
          requestId: id,
          connection: connectionOf(req.socket),
          sent: attempts,
          elapsedMs: Math.round(elapsedMs()),
        }),
      );
    },
  };
}
