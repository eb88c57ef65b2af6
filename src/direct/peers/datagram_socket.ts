/** The socket for datagrams between entries. */
import {createSocket} from 'node:dgram';
import {bindAddress} from '../listening/bound_address.js';
import type {AddressOptions} from '../listening/bound_address.js';
import type {EntryAddress} from '../types.js';

/** Sends one datagram. */
export interface DatagramSender {
  send(bytes: Buffer, port: number, ip: string, done: () => void): void;
}

/** Where a datagram came from: the address of the peer that sent it. */
export type DatagramSource = Pick<EntryAddress, 'ip' | 'port'>;

export interface DatagramSocket extends DatagramSender {
  onDatagram(handler: (bytes: Buffer, source: DatagramSource) => void): void;
  close(): void;
}

/**
 * Opens a socket at the address of this entry, after the first attempt to bind
 * it. While it is not bound, nothing is sent: peers answer to this address, and
 * Node would send from a port of its own choice.
 */
export async function openSocket(
  self: EntryAddress,
  runtime: Pick<AddressOptions, 'clock' | 'log' | 'metrics'>,
): Promise<DatagramSocket> {
  const socket = createSocket('udp4');
  // An unreachable peer shows up as silence, and an attempt to bind reports its
  // own error.
  socket.on('error', () => undefined);
  const address = bindAddress(
    {
      ...runtime,
      part: 'peers-udp',
      address: `${self.ip}:${self.port}`,
    },
    () =>
      new Promise((resolve, reject) => {
        const onBound = () => {
          socket.removeListener('error', onError);
          resolve();
        };
        const onError = (err: Error) => {
          socket.removeListener('listening', onBound);
          reject(err);
        };
        socket.once('listening', onBound);
        socket.once('error', onError);
        socket.bind(self.port, self.ip);
      }),
  );
  await address.attempted;
  return {
    send: (bytes, port, ip, done) => {
      if (address.isBound()) socket.send(bytes, port, ip, done);
    },
    onDatagram: handler => {
      socket.on('message', (bytes, {address: ip, port}) => {
        handler(bytes, {ip, port});
      });
    },
    close: () => {
      address.stop();
      socket.close();
    },
  };
}
