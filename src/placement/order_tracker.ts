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
const KEPT_DECISIONS = 200;
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

interface BookedOrder extends PendingOrder {
  readonly bookedAt: number;
  readonly lapsesAt: number;
  readonly isRefused: boolean;
}

/** An order that was under way and is no longer. */
export interface ClosedOrder {
  readonly order: OrderReq;
  readonly address: Address;
  readonly outcome: OrderOutcome;
  readonly tookMs: number;
}

export interface OrderBook {
  pending(): readonly PendingOrder[];
  decisions(): readonly PlacementDecision[];
  book(planned: PlannedOrder, order: OrderReq, now: number): void;
  note(orderId: string, outcome: OrderOutcome, reason?: string): void;
  /** It has no effect; the engine gets another order after a pause. */
  refuse(orderId: string, now: number): void;
  /** Compares with the heartbeats; closes what took effect or lapsed. */
  readBack(replicas: readonly Replica[], now: number): readonly ClosedOrder[];
  /** Forgets what is under way: another placer has taken over. */
  clear(): void;
}

/**
 * `holdMs`: how long an order without a visible effect is taken as under way.
 * It must be longer than an order can be on its way.
 */
export function createOrderBook(holdMs: number): OrderBook {
  const booked = new Map<string, BookedOrder>();
  let decisions: readonly PlacementDecision[] = [];

  const note = (orderId: string, outcome: OrderOutcome, reason = '') => {
    const text = reason === '' ? outcome : `${outcome}: ${reason}`;
    decisions = decisions.map(decision =>
      decision.orderId === orderId ? {...decision, outcome: text} : decision,
    );
  };

  const close = (
    {order, address, bookedAt}: BookedOrder,
    outcome: OrderOutcome,
    now: number,
  ): ClosedOrder => {
    booked.delete(order.orderId);
    if (outcome !== 'refused') note(order.orderId, outcome);
    return {order, address, outcome, tookMs: now - bookedAt};
  };

  const review = (
    entry: BookedOrder,
    replicas: readonly Replica[],
    now: number,
  ): readonly ClosedOrder[] => {
    const replica = replicas.find(({address}) => address === entry.address);
    // A report from before the order says nothing of it.
    const isNews = replica !== undefined && replica.loadAt > entry.bookedAt;
    if (isNews && isInEffect(replica, entry.order)) {
      return [close(entry, 'in-effect', now)];
    }
    if (now < entry.lapsesAt) return [];
    return [close(entry, entry.isRefused ? 'refused' : 'no-effect', now)];
  };

  return {
    pending: () => [...booked.values()],
    decisions: () => decisions,
    book: (planned, order, now) => {
      const {address, reason} = planned;
      booked.set(order.orderId, {
        address,
        order,
        bookedAt: now,
        lapsesAt: now + holdMs,
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
      decisions = [...decisions, decision].slice(-KEPT_DECISIONS);
    },
    note,
    refuse: (orderId, now) => {
      const entry = booked.get(orderId);
      if (entry === undefined) return;
      const lapsesAt = now + REFUSED_PAUSE_MS;
      booked.set(orderId, {...entry, lapsesAt, isRefused: true});
    },
    readBack: (replicas, now) =>
      [...booked.values()].flatMap(entry => review(entry, replicas, now)),
    clear: () => booked.clear(),
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
