/** Keeps a service told of the configuration in force. */
import type {NumberedDeclarations} from '../types/config.js';
import type {ServiceContext, ServiceName} from '../types/kernel.js';

const SUBSCRIBE_EVERY_MS = 5_000;

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
  let newest = -1;
  const hear = (config: NumberedDeclarations) => {
    if (config.number <= newest) return;
    newest = config.number;
    listener(config);
  };
  const subscribe = () =>
    ctx.send('config', {kind: 'subscribe', listener: hear});
  subscribe();
  ctx.own(ctx.clock.every(SUBSCRIBE_EVERY_MS, subscribe));
}
