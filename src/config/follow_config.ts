/** Keeps a service told of the configuration in force. */
import type {NumberedDeclarations} from '../types/config.js';
import type {ServiceContext, ServiceName} from '../types/kernel.js';

const RESUBSCRIBE_INTERVAL_MS = 5_000;

/**
 * Subscribes, and again each few seconds. A subscription that is sent while
 * the configuration's service is between two starts is dropped: without a
 * repeat the limits would refuse every organisation as unknown for good, and a
 * front every key. The listener hears each number once.
 */
export function followConfig<N extends ServiceName>(
  ctx: ServiceContext<N>,
  listener: (config: NumberedDeclarations) => void,
): void {
  let lastDelivered = -1;
  const deliverOnce = (config: NumberedDeclarations) => {
    if (config.number <= lastDelivered) return;
    lastDelivered = config.number;
    listener(config);
  };
  const subscribe = () =>
    ctx.send('config', {kind: 'subscribe', listener: deliverOnce});
  subscribe();
  ctx.own(ctx.clock.every(RESUBSCRIBE_INTERVAL_MS, subscribe));
}
