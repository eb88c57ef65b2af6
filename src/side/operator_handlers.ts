/** Answers readiness probes and operators' requests at a side. */
import type {OperatorHandlers} from '../types/operators.js';
import type {NodeId} from '../types/ids.js';
import type {ServiceContext} from '../types/kernel.js';
import type {SideStatus} from './messages.js';

/** Options of a side's operator handlers. */
export interface SideOperatorHandlersOptions {
  readonly node: NodeId;
  /** Starts the drain of the process and returns at once. */
  readonly drain: () => void;
}

/** Creates the operator handlers of a side. */
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
    // A side refuses every offer while its upstream is down. Reporting it as
    // ready would send requests to it that it cannot serve.
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
