/**
 * Sets the time limits of Node's HTTP server by those of the configuration, and
 * by the initial ones before the first configuration.
 */
import type {Server} from 'node:http';
import {statedIdleMs} from './idle_time.js';
import {INITIAL_TIME_LIMITS} from './limits_in_force.js';
import type {LimitsInForce} from './limits_in_force.js';

/** `onHeadsLimited` is called before the time for headers becomes limited. */
export function applyServerLimits(
  server: Pick<Server, 'headersTimeout' | 'keepAliveTimeout'>,
  limits: Pick<LimitsInForce, 'headersTimeoutMs' | 'newest'>,
  onHeadsLimited: () => void,
): void {
  const headersTimeoutMs = limits.headersTimeoutMs();
  const becomesLimited = server.headersTimeout === 0 && headersTimeoutMs > 0;
  if (becomesLimited) onHeadsLimited();
  server.headersTimeout = headersTimeoutMs;
  server.keepAliveTimeout = statedIdleMs(
    limits.newest() ?? INITIAL_TIME_LIMITS,
  );
}
