/** Keeps a service of an entry told of the membership. */
import type {ServiceContext, ServiceName} from '../types/kernel.js';
import type {MembershipView} from '../types/services.js';

const RESUBSCRIBE_INTERVAL_MS = 5_000;

/**
 * Subscribes, and again each few seconds. A membership that failed and was
 * restarted has lost its subscribers: without this the service would go on
 * with the last view for good, and `/readyz` with it. A listener that is still
 * known is kept once only.
 */
export function followMembership<N extends ServiceName>(
  ctx: ServiceContext<N>,
  listener: (view: MembershipView) => void,
): void {
  const subscribe = () => ctx.send('membership', {kind: 'subscribe', listener});
  subscribe();
  ctx.own(ctx.clock.every(RESUBSCRIBE_INTERVAL_MS, subscribe));
}
