/** The `peers` service of a side: owns the socket on which peers call. */
import type {Address} from '../types/ids.js';
import type {ServiceSpec} from '../types/kernel.js';
import type {PeerHandlers, Transport} from '../types/transport.js';
import {createSidePeerHandlers} from './peer_handlers.js';

export interface SidePeersOptions {
  readonly transport: Transport;
  /** Port 0 for any free one. */
  readonly address: Address;
  /** Told the address in use once it listens. */
  readonly onListening?: (address: Address) => void;
  /** Handlers beyond those of `runs`, for example of the configuration. */
  readonly extraHandlers?: PeerHandlers;
}

export function createSidePeersService(
  options: SidePeersOptions,
): ServiceSpec<'peers'> {
  let address = options.address;
  return {
    name: 'peers',
    start: async ctx => {
      const handlers = {
        ...options.extraHandlers,
        ...createSidePeerHandlers(ctx),
      };
      const listener = await options.transport.listen(address, handlers);
      ctx.own(() => listener.close());
      // Peers know this address: a restart listens where the first one did.
      address = listener.address;
      options.onListening?.(address);
    },
  };
}
