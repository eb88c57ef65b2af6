/**
 * Lets a TCP server listen at an address of the process, see `bindAddress`. An
 * error of the server never ends the process: a connection that can't be
 * accepted, for want of memory or of descriptors, is logged and counted.
 */
import {once} from 'node:events';
import type {Server} from 'node:net';
import {KERNEL_EVENTS} from '../../utils/events.js';
import {splitAddress} from '../settings.js';
import {bindAddress} from './bound_address.js';
import type {AddressOptions, BoundAddress} from './bound_address.js';

/** Shortest time between two lines about accepts, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/** Counter by part. */
const ACCEPT_FAILED_METRIC = 'onyxloft_accept_failed_total';
/**
 * Connections that wait to be accepted. More than Node's 511 come within the
 * second for which callers wait, and the kernel resets those beyond it.
 */
const MAX_WAITING_CONNECTIONS = 2_048;

export function listenAt(
  server: Server,
  options: AddressOptions,
): BoundAddress {
  const {part, address, clock, log, metrics} = options;
  let loggedAt = -Infinity;
  server.on('error', err => {
    // The attempt to listen reports its own error.
    if (!server.listening) return;
    metrics.count(ACCEPT_FAILED_METRIC, {part});
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = clock.now();
    log(KERNEL_EVENTS.acceptFailed, {part, address, reason: String(err)});
  });
  const endpoint = splitAddress(address);
  const bound = bindAddress(options, async () => {
    server.listen(endpoint?.port, endpoint?.ip, MAX_WAITING_CONNECTIONS);
    // Rejects at the event `error`.
    await once(server, 'listening');
  });
  return {
    ...bound,
    stop: () => {
      const wasBound = bound.isBound();
      bound.stop();
      // An attempt under way would leave a server that nobody closes.
      if (!wasBound) void bound.bound.then(() => server.close());
    },
  };
}
