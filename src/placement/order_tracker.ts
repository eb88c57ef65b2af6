/**
 * Tracks pending orders, and the outcomes of earlier ones. An order is done
 * when a heartbeat shows its effect, whatever the side answered: an answer may
 * be lost after the effect, and an engine may accept an order and not carry it
 * out.
 */
import type {Address} from '../types/ids.js';
import type {OrderReq} from '../types/peer_messages.js';
import type {PlacementDecision, Replica} from '../types/services.js';
import type {PendingOrder} from './engine_view.js';
import type {PlannedOrder} from './plan_types.js';

/** Decisions kept for the status API. Older ones are dropped. */
const MAX_KEPT_DECISIONS = 200;
/** Pause before an engine that refused an order gets another one. */
const REFUSED_PAUSE_MS = 5_000;

/** What became of an order, as shown in logs and in the status API. */
export type OrderOutcome =
  | 'sent'
  | 'not-sent'
  | 'accepted'
  | 'unanswered'
  | 'refused'
  | 'in-effect'
  | 'no-effect';

/** A pending order. Times are in milliseconds on this process's clock. */
interface TrackedOrder extends PendingOrder {
  readonly addedAt: number;
  /** When the order is given up if no effect has shown. */
  readonly expiresAt: number;
  /**
   * True when the side refused the order. It stays pending until `expiresAt`,
   * so that the engine gets no other order before.
   */
  readonly isRefused: boolean;
}

/** An order that is no longer pending. */
export interface ClosedOrder {
  readonly order: OrderReq;
  readonly address: Address;
  readonly outcome: OrderOutcome;
  /** Time from adding the order to closing it. */
  readonly tookMs: number;
}

/** Pending orders and recent decisions. */
export interface OrderTracker {
  /** Orders whose effect has not shown yet. */
  pending(): readonly PendingOrder[];
  /** Recent decisions with their outcomes, oldest first. */
  decisions(): readonly PlacementDecision[];
  /** Adds an order that is about to be sent. */
  add(planned: PlannedOrder, order: OrderReq, now: number): void;
  /** Sets the outcome of a decision. */
  setOutcome(orderId: string, outcome: OrderOutcome, reason?: string): void;
  /**
   * Marks an order as refused. It has no effect, and the engine gets another
   * order after a pause.
   */
  markRefused(orderId: string, now: number): void;
  /**
   * Compares pending orders with the heartbeats. Closes and returns those that
   * took effect or expired.
   */
  closeSettled(
    replicas: readonly Replica[],
    now: number,
  ): readonly ClosedOrder[];
  /**
   * Drops all pending orders, because they were sent under an earlier lease.
   */
  clear(): void;
}

/**
 * Creates a tracker without orders. `effectTimeoutMs` is how long an order
 * without a visible effect stays pending. It must be longer than an order can
 * take to arrive, because otherwise a late order could take effect after the
 * next one.
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

  /** Removes the order and records its outcome. */
  const close = (
    {order, address, addedAt}: TrackedOrder,
    outcome: OrderOutcome,
    now: number,
  ): ClosedOrder => {
    tracked.delete(order.orderId);
    if (outcome !== 'refused') setOutcome(order.orderId, outcome);
    return {order, address, outcome, tookMs: now - addedAt};
  };

  /** Closes the order if it took effect or expired. */
  const closeIfSettled = (
    item: TrackedOrder,
    replicas: readonly Replica[],
    now: number,
  ): readonly ClosedOrder[] => {
    const replica = replicas.find(({address}) => address === item.address);
    // A report from before the order does not show its effect.
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

/** True when the report shows the effect of the order. */
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
