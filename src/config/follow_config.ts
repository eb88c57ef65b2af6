/**
 * Subscribes a service to the configuration in force. The subscription is
 * repeated, so that it survives a restart of the service `config`.
 */
import type {NumberedDeclarations} from '../types/config.js';
import type {ServiceContext, ServiceName} from '../types/kernel.js';

/** Interval at which the subscription is sent again, in milliseconds. */
const RESUBSCRIBE_INTERVAL_MS = 5_000;

/**
 * Calls the listener once for each configuration number that comes into force.
 * The subscription is sent again every few seconds, because a message sent
 * while the service `config` is between two starts is dropped. Without the
 * repeat, the service `limits` would refuse every organisation as unknown until
 * its next start, and an HTTP front end would refuse every key.
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
