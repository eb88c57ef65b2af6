/**
 * Orders under way and what became of earlier ones. An order is done when a
 * heartbeat shows its effect, whatever its answer said: an answer may be lost
 * after the effect, and an engine may take an order and not carry it out.
 */
import type {Address} from '../types/ids.js';
import type {OrderReq} from '../types/peer_messages.js';
import type {PlacementDecision, Replica} from '../types/services.js';
import type {PendingOrder} from './engine_view.js';
import type {PlannedOrder} from './plan_types.js';

/** Decisions kept for status. */
const MAX_KEPT_DECISIONS = 200;
/** Pause before an engine that refused an order gets another one. */
const REFUSED_PAUSE_MS = 5_000;

export type OrderOutcome =
  | 'sent'
  | 'not-sent'
  | 'accepted'
  | 'unanswered'
  | 'refused'
  | 'in-effect'
  | 'no-effect';

interface TrackedOrder extends PendingOrder {
  readonly addedAt: number;
  readonly expiresAt: number;
  readonly isRefused: boolean;
}

/** An order that was under way and is no longer. */
export interface ClosedOrder {
  readonly order: OrderReq;
  readonly address: Address;
  readonly outcome: OrderOutcome;
  readonly tookMs: number;
}

export interface OrderTracker {
  pending(): readonly PendingOrder[];
  decisions(): readonly PlacementDecision[];
  add(planned: PlannedOrder, order: OrderReq, now: number): void;
  setOutcome(orderId: string, outcome: OrderOutcome, reason?: string): void;
  /** It has no effect; the engine gets another order after a pause. */
  markRefused(orderId: string, now: number): void;
  /** Compares with the heartbeats; closes what took effect or lapsed. */
  closeSettled(
    replicas: readonly Replica[],
    now: number,
  ): readonly ClosedOrder[];
  /** Forgets what is under way: another placer has taken over. */
  clear(): void;
}

/**
 * `holdMs`: how long an order without a visible effect is taken as under way.
 * It must be longer than an order can be on its way.
 */
export function createOrderTracker(effectTimeoutMs: number): OrderTracker {
  const tracked = new Map<string, TrackedOrder>();
  let decisions: readonly PlacementDecision[] = [];

  const setOutcome = (orderId: string, outcome: OrderOutcome, reason = '') => {
    const text = reason === '' ? outcome : `${outcome}: ${reason}`;
    decisions = decisions.map(decision =>
      decision.orderId === orderId ? {...decision, outcome: text} : decision,
    );
  };

  const close = (
    {order, address, addedAt: bookedAt}: TrackedOrder,
    outcome: OrderOutcome,
    now: number,
  ): ClosedOrder => {
    tracked.delete(order.orderId);
    if (outcome !== 'refused') setOutcome(order.orderId, outcome);
    return {order, address, outcome, tookMs: now - bookedAt};
  };

  const closeIfSettled = (
    item: TrackedOrder,
    replicas: readonly Replica[],
    now: number,
  ): readonly ClosedOrder[] => {
    const replica = replicas.find(({address}) => address === item.address);
    // A report from before the order says nothing of it.
    const isNewerReport =
      replica !== undefined && replica.loadAt > item.addedAt;
    if (isNewerReport && isInEffect(replica, item.order)) {
      return [close(item, 'in-effect', now)];
    }
    if (now < item.expiresAt) return [];
    return [close(item, item.isRefused ? 'refused' : 'no-effect', now)];
  };

  return {
    pending: () => [...tracked.values()],
    decisions: () => decisions,
    add: (planned, order, now) => {
      const {address, reason} = planned;
      tracked.set(order.orderId, {
        address,
        order,
        addedAt: now,
        expiresAt: now + effectTimeoutMs,
        isRefused: false,
      });
      const {orderId, fence, action, model, version} = order;
      const decision: PlacementDecision = {
        orderId,
        fence,
        address,
        action,
        model,
        version,
        reason,
        outcome: 'sent',
      };
      decisions = [...decisions, decision].slice(-MAX_KEPT_DECISIONS);
    },
    setOutcome,
    markRefused: (orderId, now) => {
      const item = tracked.get(orderId);
      if (item === undefined) return;
      const expiresAt = now + REFUSED_PAUSE_MS;
      tracked.set(orderId, {...item, expiresAt, isRefused: true});
    },
    closeSettled: (replicas, now) =>
      [...tracked.values()].flatMap(item =>
        closeIfSettled(item, replicas, now),
      ),
    clear: () => tracked.clear(),
  };
}

/** True when the report shows what the order asked for. */
function isInEffect(replica: Replica, order: OrderReq): boolean {
  const state = replica.models.find(
    ({model, version}) => model === order.model && version === order.version,
  );
  switch (order.action) {
    case 'load':
      return state !== undefined;
    case 'unload':
      return state === undefined;
    case 'load-adapter':
      return state?.adapters.includes(order.adapter) ?? false;
    case 'set-role':
      return replica.models.every(({role}) => role === order.role);
  }
}
