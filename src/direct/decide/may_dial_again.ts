/**
 * Decides whether a replica whose host accepted no connection in time is dialled
 * again when no other replica is left. The load that it answers: requests to a
 * service with few replicas while one of them is paused, so that its host's
 * queue of connections is full. Nothing was sent, so any request may be repeated.
 */

/** A paused replica goes on within this time, in milliseconds. */
const MAX_PAUSE_MS = 3_000;

/**
 * `sinceFirstMs` is the time since the first connection attempt began. A request
 * waits no longer than the time that is left then, so that its caller can still
 * ask elsewhere.
 */
export function mayDialAgain(
  sinceFirstMs: number,
  timeLeftMs: number,
): boolean {
  return sinceFirstMs < Math.min(MAX_PAUSE_MS, timeLeftMs);
}
