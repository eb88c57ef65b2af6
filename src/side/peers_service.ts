/** The `peers` service of a side: owns the socket that accepts peers' calls. */
import type {Address} from '../types/ids.js';
import type {ServiceSpec} from '../types/kernel.js';
import type {PeerHandlers, Transport} from '../types/transport.js';
import {createSidePeerHandlers} from './peer_handlers.js';

/** Options of the `peers` service. */
export interface SidePeersOptions {
  readonly transport: Transport;
  /** Address to listen on; port 0 selects any free port. */
  readonly address: Address;
  /** Called with the actual address once the socket listens. */
  readonly onListening?: (address: Address) => void;
  /** Handlers in addition to those of `runs`, such as the configuration's. */
  readonly extraHandlers?: PeerHandlers;
}

/** Declares the service; a restart listens on the same address. */
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
      // Peers know this address, so a restarted service must listen on it too.
      address = listener.address;
      options.onListening?.(address);
    },
  };
}
