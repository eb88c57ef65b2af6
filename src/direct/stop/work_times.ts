/**
 * Learns how long requests last, by route and service, from those that ended
 * well. A stream's time is compared with what the engine's figures and the
 * announced tokens predict, so that streams of other lengths can be predicted.
 */
import {createRecentMap} from '../../utils/recent_map.js';
import type {ExpectedWork} from '../decide/begin_at_stop.js';
import {passMs, prefillMs} from '../decide/engine_timing.js';
import {answerTokens} from '../exchange.js';
import type {Exchange} from '../exchange.js';

/** Newest answers of a route that are kept. */
const KEPT_TIMES = 64;
/** Answers from which the longest time of a route is known. */
const MIN_TIMES = 10;
/** An open request is expected to last as long again as it has so far. */
const OPEN_FACTOR = 2;
/** Routes that are kept. */
const MAX_ROUTES = 200;

/** What the time of a request depends on. */
export type TimedRequest = Pick<
  Exchange,
  'route' | 'service' | 'config' | 'facts'
>;

/** A request that a replica has. */
export interface OpenRequest extends TimedRequest {
  elapsedMs(): number;
}

export interface WorkTimes {
  /** Records the time of a request from its arrival to its whole answer. */
  ended(req: TimedRequest, tookMs: number): void;
  /**
   * Undefined where nothing is known of such requests. Long ones are known by
   * those that are still open, before any of them has ended.
   */
  expected(
    req: TimedRequest,
    open: Iterable<OpenRequest>,
  ): ExpectedWork | undefined;
}

export function createWorkTimes(): WorkTimes {
  /** Times by route, as multiples of the request's size. */
  const times = createRecentMap<readonly number[]>(MAX_ROUTES);
  return {
    ended: (req, tookMs) => {
      // It got only a part of its answer here.
      if (req.facts.lastEventId !== undefined) return;
      const before = times.get(keyOf(req)) ?? [];
      const newest = tookMs / sizeOf(req);
      times.set(keyOf(req), [...before, newest].slice(-KEPT_TIMES));
    },
    expected: (req, open) => {
      const known = times.get(keyOf(req));
      const size = sizeOf(req);
      if (known === undefined) {
        if (figuresOf(req) === undefined) return undefined;
        return {usualMs: size, longestMs: Infinity};
      }
      const longest =
        known.length < MIN_TIMES
          ? Infinity
          : Math.max(...known, OPEN_FACTOR * longestOpen(req, open));
      return {usualMs: median(known) * size, longestMs: longest * size};
    },
  };
}

/** The longest time so far, as a multiple of the request's size. */
function longestOpen(req: TimedRequest, open: Iterable<OpenRequest>): number {
  let longest = 0;
  for (const other of open) {
    if (keyOf(other) !== keyOf(req)) continue;
    longest = Math.max(longest, other.elapsedMs() / sizeOf(other));
  }
  return longest;
}

function keyOf({route, service}: TimedRequest): string {
  return `${service} ${route.name}`;
}

function figuresOf({route, service, config}: TimedRequest) {
  return route.streaming ? config.services.get(service)?.engine : undefined;
}

/**
 * The predicted milliseconds of a stream at an idle engine; the tokens of one
 * without published figures; 1 for a call.
 */
function sizeOf(req: TimedRequest): number {
  const {facts, route} = req;
  if (!route.streaming) return 1;
  const tokens = facts.expectedTokens || answerTokens(facts);
  const figures = figuresOf(req);
  if (figures === undefined) return tokens;
  const stepMs = passMs(figures, 1, facts.promptTokens) / figures.stepsPerPass;
  return Math.max(
    1,
    prefillMs(figures, facts.promptTokens, 1) + tokens * stepMs,
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
