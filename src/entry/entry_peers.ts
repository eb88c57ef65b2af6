/**
 * The `entryPeers` service. It owns the entry's listener for calls of other
 * processes and forwards each call as a message to the service that answers it.
 */
import type {Address} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {
  EntryHeartbeatRes,
  FetchConfigRes,
  GrantRes,
  LocateRes,
} from '../types/peer_messages.js';
import type {EntryPeersMessage, RequestState} from '../types/services.js';
import type {Listener, PeerHandlers, Transport} from '../types/transport.js';

export interface EntryPeersOptions {
  readonly transport: Transport;
  /** Address to listen on; port 0 selects a free port. */
  readonly address: Address;
  /**
   * Called with the actual address once the listener is open. @default no call
   */
  readonly onListening?: (address: Address) => void;
}

export function createEntryPeersService(
  options: EntryPeersOptions,
): ServiceSpec<'entryPeers'> {
  return {
    name: 'entryPeers',
    start: async ctx => {
      const handlers = createPeerHandlers(ctx);
      const listener: Listener = await options.transport.listen(
        options.address,
        handlers,
      );
      ctx.own(() => listener.close());
      options.onListening?.(listener.address);
      void ctx.mailbox.observe((message: EntryPeersMessage) =>
        message.reply(listener.address),
      );
    },
  };
}

/** Forwards each kind of peer call to the service that answers it. */
function createPeerHandlers(ctx: ServiceContext<'entryPeers'>): PeerHandlers {
  return {
    entryHeartbeat: req =>
      ctx.ask('membership', (reply: (res: EntryHeartbeatRes) => void) => ({
        kind: 'entry-heartbeat',
        req,
        reply,
      })),
    fetchConfig: req =>
      ctx.ask('config', (reply: (res: FetchConfigRes) => void) => ({
        kind: 'fetch',
        req,
        reply,
      })),
    grant: req =>
      ctx.ask('limits', (reply: (res: GrantRes) => void) => ({
        kind: 'grant',
        req,
        reply,
      })),
    locate: async ({requestId, organisation}) => {
      const state = await ctx.ask(
        'requests',
        (reply: (state: RequestState) => void) => ({
          kind: 'local-state',
          id: requestId,
          organisation,
          reply,
        }),
      );
      return toLocateRes(state);
    },
  };
}

function toLocateRes(state: RequestState): LocateRes {
  return {
    state: state.state,
    dispatchId: state.dispatchId,
    nextSeq: state.nextSeq,
    kind: state.kind,
    model: state.model,
    promptTokens: state.promptTokens,
  };
}
