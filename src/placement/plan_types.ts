/**
 * Input and output of the planner. They are plain data, so that a plan can be
 * computed again from recorded input.
 */
import type {Declarations} from '../types/config.js';
import type {Address, FencingNumber, ModelId, PoolId} from '../types/ids.js';
import type {EngineRole, OrderReq} from '../types/peer_messages.js';
import type {WeightStoreStatus} from '../types/platform.js';
import type {LogFields} from '../types/runtime.js';
import type {Replica} from '../types/services.js';
import type {PendingOrder} from './engine_view.js';

/** Bounds of the planner. Times are in milliseconds. */
export interface PlannerLimits {
  /**
   * When an unload is planned, other replicas count as ready only if their
   * reports are no older. @default 10000
   */
  readonly maxReliableAgeMs: number;
  /**
   * Engines with an older report are left out of the plan. Covers two passes of
   * the side poller over all sides, and some delay. @default 70000
   */
  readonly maxReportAgeMs: number;
  /**
   * Time within which a load should end. It limits how many loads run at once.
   * @default 180000
   */
  readonly targetLoadMs: number;
  /**
   * Loads that may run at once, whatever the weight store's rate. @default 4
   */
  readonly maxLoads: number;
  /** An engine keeps its role for at least this time. @default 120000 */
  readonly roleDwellMs: number;
  /** Minimum time between two role changes in one pool. @default 15000 */
  readonly roleIntervalMs: number;
  /** Time constant of the average of the workload mix. @default 60000 */
  readonly mixTimeConstantMs: number;
  /**
   * Engines by which the number with a role must differ from its target before
   * one is changed. Must be above 0.5; otherwise an engine would change back
   * and forth when the target is halfway between two numbers. @default 0.75
   */
  readonly roleHysteresis: number;
  /**
   * Waiting prompt tokens per engine below which no engine is assigned a role.
   * @default 2000
   */
  readonly minBacklogTokens: number;
}

/** Bounds of a deployment that sets nothing else. */
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

/** Workload mix of one pool, averaged over time. */
export interface PoolMix {
  /**
   * Share of the waiting prompt tokens that belongs to prompts beyond the
   * shortest length class.
   */
  readonly longShare: number;
  /** Waiting prompt tokens per engine. */
  readonly backlogTokens: number;
  /** When the average was last updated. */
  readonly updatedAt: number;
  /** When the last role change in the pool was planned. */
  readonly lastChangeAt: number;
}

/** State that damps role changes, passed from each plan to the next. */
export interface RoleHistory {
  readonly mixes: ReadonlyMap<PoolId, PoolMix>;
  /** When the role of each engine was last changed. */
  readonly changedAt: ReadonlyMap<Address, number>;
  /**
   * When the history starts. Earlier changes are unknown; all count as made at
   * this time.
   */
  readonly startedAt: number;
}

/** Everything that a plan depends on. */
export interface PlanInput {
  /** Time of the plan, in milliseconds. */
  readonly now: number;
  /** Fencing number of the placer. */
  readonly fence: FencingNumber;
  readonly declarations: Declarations;
  readonly replicas: readonly Replica[];
  readonly pending: readonly PendingOrder[];
  /** Undefined while the weight store gives no answer. */
  readonly weightStore: WeightStoreStatus | undefined;
  readonly limits: PlannerLimits;
  readonly roles: RoleHistory;
}

/** An order from the planner, with its reason. */
export interface PlannedOrder extends Omit<OrderReq, 'orderId' | 'fence'> {
  readonly address: Address;
  /** Why the order was planned, for operators. */
  readonly reason: string;
  /** Figures that the decision was based on. */
  readonly figures: LogFields;
}

/**
 * A wish of the configuration that too few engines fulfil. `wanted` replicas
 * are wished, `ready` are ready, and `engines` can be used.
 */
export interface UnmetWish {
  readonly pool: PoolId;
  readonly model: ModelId;
  readonly wanted: number;
  readonly ready: number;
  readonly engines: number;
}

/** Outcome of one run of the planner. */
export interface Plan {
  readonly orders: readonly PlannedOrder[];
  readonly unmet: readonly UnmetWish[];
  readonly roles: RoleHistory;
}

/** Creates an order. Fields that its action does not use are empty. */
export function plannedOrder(
  fields: Pick<PlannedOrder, 'action' | 'address' | 'reason' | 'figures'> &
    Partial<PlannedOrder>,
): PlannedOrder {
  const role: EngineRole = 'mixed';
  return {model: '', version: '', adapter: '', role, ...fields};
}
