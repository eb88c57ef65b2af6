/** Keeps requests from replicas that can't serve them before this entry ends. */
import {mayBeginAtStop} from '../decide/begin_at_stop.js';
import type {Exchange} from '../exchange.js';
import {createWorkTimes} from './work_times.js';

/** Reason of the refusal, which tells callers to go elsewhere. */
export const STOPPING_REASON = 'the entry is stopping';
/** Callers are to come back at once, to another entry, in milliseconds. */
export const STOPPING_RETRY_MS = 100;

/** How far the stop of this entry is. */
export interface StopProgress {
  /** Until open requests are ended; infinite before the stop. */
  leftMs(): number;
  /** Since the begin of the stop; 0 before it. */
  stoppingMs(): number;
}

export const NO_STOP: StopProgress = {
  leftMs: () => Infinity,
  stoppingMs: () => 0,
};

export interface StopGuard {
  /** Whether a request that no replica has run is to be refused now. */
  refuses(exchange: Exchange): boolean;
  began(exchange: Exchange): void;
  /** Learns from a request that has ended. */
  ended(exchange: Exchange): void;
}

export function createStopGuard({leftMs, stoppingMs}: StopProgress): StopGuard {
  const times = createWorkTimes();
  const open = new Set<Exchange>();
  const isSent = ({attempts}: Exchange) => attempts > 0;
  return {
    began: exchange => void open.add(exchange),
    refuses: exchange => {
      const left = leftMs();
      if (left === Infinity) return false;
      return !mayBeginAtStop({
        leftMs: left,
        stoppingMs: stoppingMs(),
        limitMs: exchange.timeLeftMs(),
        kind: exchange.route.kind,
        expected: times.expected(exchange, [...open].filter(isSent)),
      });
    },
    ended: exchange => {
      open.delete(exchange);
      const {statusCode, writableEnded} = exchange.res;
      if (!writableEnded || statusCode >= 300) return;
      times.ended(exchange, exchange.elapsedMs());
    },
  };
}
