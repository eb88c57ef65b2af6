/** Converts calls and channels from peers into messages to `runs`. */
import type {ServiceContext, ServiceName} from '../types/kernel.js';
import type {PeerHandlers} from '../types/transport.js';
import './messages.js';

/** The methods of a service context or kernel that the handlers need. */
export type PeerHandlerContext = Pick<
  ServiceContext<ServiceName>,
  'ask' | 'send'
>;

/** Creates the handlers of all peer calls that `runs` answers. */
export function createSidePeerHandlers(ctx: PeerHandlerContext): PeerHandlers {
  return {
    offer: req => ctx.ask('runs', reply => ({kind: 'offer', req, reply})),
    abandon: req => ctx.ask('runs', reply => ({kind: 'abandon', req, reply})),
    locate: req => ctx.ask('runs', reply => ({kind: 'locate', req, reply})),
    sideHeartbeat: req =>
      ctx.ask('runs', reply => ({kind: 'heartbeat', req, reply})),
    order: req => ctx.ask('runs', reply => ({kind: 'order', req, reply})),
    run: channel => ctx.send('runs', {kind: 'channel', channel}),
  };
}
