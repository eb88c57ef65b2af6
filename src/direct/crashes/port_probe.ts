/** Checks whether a process listens at an address. */
import {connect} from 'node:net';
import {untilSocketsRead} from '../../utils/event_loop.js';
import {splitAddress} from '../settings.js';

/**
 * Timeout of a connection attempt, in milliseconds; beyond it the address
 * counts as silent. Hosts of one region answer within a few milliseconds.
 */
const CONNECT_TIMEOUT_MS = 300;

/**
 * `open`: a process listens. `refused`: the host answers that nothing listens.
 * `silent`: no answer came.
 */
export type PortState = 'open' | 'refused' | 'silent';

export type ProbePort = (address: string) => Promise<PortState>;

/** Opens a TCP connection to the address and closes it again. */
export const probePort: ProbePort = address => {
  const endpoint = splitAddress(address);
  if (endpoint === undefined) return Promise.resolve('silent');
  return new Promise(resolve => {
    const socket = connect({
      host: endpoint.ip,
      port: endpoint.port,
      timeout: CONNECT_TIMEOUT_MS,
    });
    const finish = (state: PortState) => {
      socket.destroy();
      resolve(state);
    };
    socket.once('connect', () => finish('open'));
    // After a stall of this process, its timers run before the sockets are read.
    socket.once('timeout', () => {
      void untilSocketsRead().then(() => finish('silent'));
    });
    socket.on('error', err => {
      const isRefused = 'code' in err && err.code === 'ECONNREFUSED';
      finish(isRefused ? 'refused' : 'silent');
    });
  });
};
