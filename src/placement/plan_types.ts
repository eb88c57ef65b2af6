/** Input and output of the planner: plain data, so that it can be replayed. */
import type {Declarations} from '../types/config.js';
import type {Address, FencingNumber, ModelId, PoolId} from '../types/ids.js';
import type {EngineRole, OrderReq} from '../types/peer_messages.js';
import type {WeightStoreStatus} from '../types/platform.js';
import type {LogFields} from '../types/runtime.js';
import type {Replica} from '../types/services.js';
import type {PendingOrder} from './engine_view.js';

/** Bounds of the planner; all times in milliseconds. */
export interface PlannerLimits {
  /** A report no older is relied on to take a version away. @default 10000 */
  readonly maxReliableAgeMs: number;
  /**
   * An engine counts while its report is no older: two passes of the survey
   * over all sides and some delay. @default 70000
   */
  readonly maxReportAgeMs: number;
  /** A load should end within this; sets how many run at once. @default 180000 */
  readonly targetLoadMs: number;
  /** Most loads at once, whatever the weight store's rate. @default 4 */
  readonly maxLoads: number;
  /** An engine keeps its role at least so long. @default 120000 */
  readonly roleDwellMs: number;
  /** Pause between two role changes in one pool. @default 15000 */
  readonly roleIntervalMs: number;
  /** Time constant over which the mix of work is averaged. @default 60000 */
  readonly mixTimeConstantMs: number;
  /**
   * Engines by which the wished number must be off before one is changed; over
   * a half, else one flips to and fro at the rounding. @default 0.75
   */
  readonly roleHysteresis: number;
  /** Backlog per engine below which no engine is set aside. @default 2000 */
  readonly minBacklogTokens: number;
}

export const DEFAULT_PLANNER_LIMITS: PlannerLimits = {
  maxReliableAgeMs: 10_000,
  maxReportAgeMs: 70_000,
  targetLoadMs: 180_000,
  maxLoads: 4,
  roleDwellMs: 120_000,
  roleIntervalMs: 15_000,
  mixTimeConstantMs: 60_000,
  roleHysteresis: 0.75,
  minBacklogTokens: 2_000,
};

/** Mix of work in one pool, averaged over time. */
export interface PoolMix {
  /** Share of waiting prompt tokens in prompts beyond the shortest class. */
  readonly longShare: number;
  /** Waiting prompt tokens per engine. */
  readonly backlogTokens: number;
  readonly updatedAt: number;
  readonly lastChangeAt: number;
}

/** What role changes are damped by; carried from plan to plan. */
export interface RoleHistory {
  readonly mixes: ReadonlyMap<PoolId, PoolMix>;
  /** When an engine's role was last changed. */
  readonly changedAt: ReadonlyMap<Address, number>;
  /** Nothing is known of earlier changes: all count as made then. */
  readonly startedAt: number;
}

export interface PlanInput {
  readonly now: number;
  /** The placer's number. */
  readonly fence: FencingNumber;
  readonly declarations: Declarations;
  readonly replicas: readonly Replica[];
  readonly pending: readonly PendingOrder[];
  /** Undefined while the weight store gives no answer. */
  readonly weightStore: WeightStoreStatus | undefined;
  readonly limits: PlannerLimits;
  readonly roles: RoleHistory;
}

/** An order that the planner asks for, with why. */
export interface PlannedOrder extends Omit<OrderReq, 'orderId' | 'fence'> {
  readonly address: Address;
  readonly reason: string;
  /** What the decision was made on. */
  readonly figures: LogFields;
}

/** A wish that no order can meet now. */
export interface UnmetWish {
  readonly pool: PoolId;
  readonly model: ModelId;
  readonly wanted: number;
  readonly ready: number;
  readonly engines: number;
}

export interface Plan {
  readonly orders: readonly PlannedOrder[];
  readonly unmet: readonly UnmetWish[];
  readonly roles: RoleHistory;
}

/** An order with the fields that its action does not use left empty. */
export function plannedOrder(
  fields: Pick<PlannedOrder, 'action' | 'address' | 'reason' | 'figures'> &
    Partial<PlannedOrder>,
): PlannedOrder {
  const role: EngineRole = 'mixed';
  return {model: '', version: '', adapter: '', role, ...fields};
}
