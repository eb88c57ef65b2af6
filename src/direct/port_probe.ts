/** Whether anything listens at an address. */
import {connect} from 'node:net';
import {splitAddress} from './settings.js';

/** Hosts of one region answer a dial within a few milliseconds. */
const DIAL_MS = 300;

/** `refused` where a host answers that nothing listens there. */
export type PortState = 'open' | 'refused' | 'silent';

export type ProbePort = (address: string) => Promise<PortState>;

/** Opens a connection and closes it again. */
export const probePort: ProbePort = address => {
  const to = splitAddress(address);
  if (to === undefined) return Promise.resolve('silent');
  return new Promise(resolve => {
    const socket = connect({host: to.ip, port: to.port, timeout: DIAL_MS});
    const end = (answer: PortState) => {
      socket.destroy();
      resolve(answer);
    };
    socket.once('connect', () => end('open'));
    socket.once('timeout', () => end('silent'));
    socket.on('error', err => {
      const isRefused = 'code' in err && err.code === 'ECONNREFUSED';
      end(isRefused ? 'refused' : 'silent');
    });
  });
};
