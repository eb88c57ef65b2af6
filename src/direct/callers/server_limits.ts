/** Sets the time limits of Node's HTTP server by those of the configuration. */
import type {Server} from 'node:http';
import {statedIdleMs} from './idle_time.js';
import type {LimitsInForce} from './limits_in_force.js';

/**
 * `onHeadsLimited` is called before the time for headers becomes limited. Does
 * nothing before the first configuration.
 */
export function applyServerLimits(
  server: Pick<Server, 'headersTimeout' | 'keepAliveTimeout'>,
  limits: Pick<LimitsInForce, 'headersTimeoutMs' | 'newest'>,
  onHeadsLimited: () => void,
): void {
  const newest = limits.newest();
  if (newest === undefined) return;
  const headersTimeoutMs = limits.headersTimeoutMs();
  const becomesLimited = server.headersTimeout === 0 && headersTimeoutMs > 0;
  if (becomesLimited) onHeadsLimited();
  server.headersTimeout = headersTimeoutMs;
  server.keepAliveTimeout = statedIdleMs(newest);
}
