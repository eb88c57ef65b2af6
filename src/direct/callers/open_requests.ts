/** The requests of callers that have no final answer yet. */
import type {Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';

export interface OpenRequests {
  add(exchange: Exchange): void;
  delete(exchange: Exchange): void;
  count(): number;
  /** Logs those that end without an answer when this process ends now. */
  logCutAtStop(): void;
}

export function createOpenRequests(log: Log): OpenRequests {
  const open = new Set<Exchange>();
  return {
    add: exchange => void open.add(exchange),
    delete: exchange => void open.delete(exchange),
    count: () => open.size,
    logCutAtStop: () => {
      for (const {id, attempts, elapsedMs} of open) {
        log(DIRECT_EVENTS.cutAtStop, {
          requestId: id,
          sent: attempts,
          elapsedMs: Math.round(elapsedMs()),
        });
      }
    },
  };
}
