/**
 * Decides which new connections of callers are taken. A load balancer may hand
 * most of a region's connections to one entry for a while. An entry that reads
 * them all falls behind on every request, and on the talk with its peers; a
 * caller that is refused at once can retry at another entry.
 *
 * Both signs are needed: far more connections than usual, and an event loop
 * that is behind. A stall alone, as at a large configuration, is over before
 * callers could come back.
 */
import type {Cancel, Clock} from '../../types/runtime.js';

/** Interval of the measurements, in milliseconds. */
const INTERVAL_MS = 50;
/** The delay of the event loop is averaged over about this time. */
const DELAY_WINDOW_MS = 250;
/** Average delay of the event loop, in milliseconds, from which on it is late. */
const LATE_MS = 30;
/** The present rate of connections is averaged over about this time. */
const PRESENT_WINDOW_MS = 500;
/** The usual rate of connections is averaged over about this time. */
const USUAL_WINDOW_MS = 20_000;
/**
 * A usual rate is forgotten over about this time, so that callers that come back
 * after some quiet minutes are no flood.
 */
const FORGETTING_MS = 600_000;
/** Until then the usual rate is not known. */
const LEARNING_MS = 3_000;
/** A flood has at least this many times the usual connections. */
const FLOOD_FACTOR = 2;
/** Fewer new connections a second are never a flood. */
const LEAST_FLOOD_PER_S = 20;

export interface ConnectionGate {
  /** Counts a new connection and returns whether to take it. */
  admit(): boolean;
  stop: Cancel;
}

/**
 * `onClosed` is called with the number of connections closed in an interval.
 * `piecesMs` is the time that went into bytes in many pieces so far: a loop that
 * is late by these has no flood of connections.
 */
export function createConnectionGate(
  clock: Clock,
  onClosed: (count: number) => void,
  piecesMs: () => number = () => 0,
): ConnectionGate {
  let measuredAt = clock.now();
  let measuredPiecesMs = piecesMs();
  /** Of the first connection. The usual rate is learnt from then on. */
  let firstAt: number | undefined;
  let arrived = 0;
  let closed = 0;
  let delayMs = 0;
  let presentPerS = 0;
  let usualPerS = 0;
  /** The highest usual rate, as far as it is not forgotten. */
  let rememberedPerS = 0;
  let isFlooded = false;

  const measure = (): void => {
    // An error below leaves the gate open until the next measurement.
    isFlooded = false;
    const now = clock.now();
    const elapsedMs = now - measuredAt;
    const counted = arrived;
    const refused = closed;
    measuredAt = now;
    arrived = 0;
    closed = 0;
    const inPiecesMs = piecesMs() - measuredPiecesMs;
    measuredPiecesMs += inPiecesMs;
    const lateMs = Math.max(0, elapsedMs - INTERVAL_MS - inPiecesMs);
    const perS = (counted / elapsedMs) * 1_000;
    delayMs = average(delayMs, lateMs, elapsedMs, DELAY_WINDOW_MS);
    presentPerS = average(presentPerS, perS, elapsedMs, PRESENT_WINDOW_MS);
    rememberedPerS = average(rememberedPerS, 0, elapsedMs, FORGETTING_MS);
    const knownPerS = Math.max(usualPerS, rememberedPerS);
    const learntMs = now - (firstAt ?? now);
    isFlooded =
      learntMs > LEARNING_MS &&
      delayMs > LATE_MS &&
      presentPerS > Math.max(LEAST_FLOOD_PER_S, FLOOD_FACTOR * knownPerS);
    // A flood does not become usual while it lasts.
    if (!isFlooded) {
      const windowMs = Math.min(USUAL_WINDOW_MS, learntMs);
      usualPerS = average(usualPerS, perS, elapsedMs, windowMs);
      // A shorter average may be that of a single burst.
      if (learntMs >= USUAL_WINDOW_MS) {
        rememberedPerS = Math.max(rememberedPerS, usualPerS);
      }
    }
    if (refused > 0) onClosed(refused);
  };
  const stop = clock.every(INTERVAL_MS, measure, 'rate of connections');
  return {
    admit: () => {
      firstAt ??= clock.now();
      arrived++;
      if (isFlooded) closed++;
      return !isFlooded;
    },
    stop,
  };
}

/** Exponential average over a time window. */
function average(
  known: number,
  next: number,
  elapsedMs: number,
  windowMs: number,
): number {
  const share = 1 - Math.exp(-elapsedMs / Math.max(1, windowMs));
  return known + share * (next - known);
}
