/** What operators and probes can ask of a side. */
import type {OperatorHandlers} from '../types/operators.js';
import type {NodeId} from '../types/ids.js';
import type {ServiceContext} from '../types/kernel.js';
import type {SideStatus} from './messages.js';

export interface SideOperatorHandlersOptions {
  readonly node: NodeId;
  /** Starts the drain of the process and returns at once. */
  readonly drain: () => void;
}

export function createSideOperatorHandlers(
  ctx: Pick<ServiceContext<'operators'>, 'ask'>,
  options: SideOperatorHandlersOptions,
): OperatorHandlers {
  const runs = () =>
    ctx.ask('runs', (reply: (status: SideStatus) => void) => ({
      kind: 'status',
      reply,
    }));
  return {
    // While its upstream is down a side refuses every offer: called ready, it
    // would be counted on by whoever started it.
    ready: async () => {
      const {leaving, upstreamUp} = await runs();
      return !leaving && upstreamUp;
    },
    status: async () => ({
      node: options.node,
      role: 'side',
      ...(await runs()),
    }),
    drain: options.drain,
  };
}
