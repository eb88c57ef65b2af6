/** Delivers membership views to another service of the same entry. */
import type {ServiceContext, ServiceName} from '../types/kernel.js';
import type {MembershipView} from '../types/services.js';

/** How often a service subscribes again. */
const RESUBSCRIBE_INTERVAL_MS = 5_000;

/**
 * Subscribes at once and then periodically. A membership service that failed
 * and was restarted has lost its subscribers; without the repetition the other
 * service would use its last view forever, and `/readyz` would report that
 * view. The membership service keeps a listener that it already knows only
 * once.
 */
export function followMembership<N extends ServiceName>(
  ctx: ServiceContext<N>,
  listener: (view: MembershipView) => void,
): void {
  const subscribe = () => ctx.send('membership', {kind: 'subscribe', listener});
  subscribe();
  ctx.own(ctx.clock.every(RESUBSCRIBE_INTERVAL_MS, subscribe));
}
