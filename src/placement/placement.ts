/**
 * The placement service, which runs on each entry. The entry that holds the
 * lease is the placer: it plans once a second by default, and sends orders to
 * sides under its fencing number. An entry that was paused or cut off may
 * wrongly believe that it holds the lease. Sides refuse its orders once they
 * have seen a higher fencing number. A new placer waits for that, but not
 * without limit; see `isHandoverComplete`.
 */
import type {NumberedDeclarations} from '../types/config.js';
import type {Address, FencingNumber, NodeId} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {OrderReq, OrderRes} from '../types/peer_messages.js';
import type {
  ObjectStore,
  WeightStore,
  WeightStoreStatus,
} from '../types/platform.js';
import type {
  MembershipView,
  PlacementMessage,
  PlacementStatus,
  Replica,
} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import {followConfig} from '../config/follow_config.js';
import {followMembership} from '../membership/follow_membership.js';
import {createLease} from '../stores/lease.js';
import type {Lease} from '../stores/lease.js';
import {PLACEMENT_EVENTS} from '../utils/events.js';
import {isLeaseCandidate} from './lease_candidates.js';
import {createOrderTracker} from './order_tracker.js';
import type {OrderTracker} from './order_tracker.js';
import {createRoleHistory} from './plan_roles.js';
import {DEFAULT_PLANNER_LIMITS} from './plan_types.js';
import type {
  Plan,
  PlannedOrder,
  PlannerLimits,
  RoleHistory,
  UnmetWish,
} from './plan_types.js';
import {PLACER_LEASE_KEY} from './placement_lease.js';
import {planPlacement} from './planner.js';
import {createSidePoller} from './side_poller.js';
import type {SidePoller, PollerIdentity} from './side_poller.js';

/** Random bytes in an order's id. */
const ORDER_ID_BYTES = 8;
/** Default of `leaseTtlMs` and of `leaseCreateAfterMs`. */
const LEASE_TTL_MS = 10_000;
/**
 * Longest time that a new placer waits for the sides to know its fencing
 * number; see `isHandoverComplete`. Heartbeats and polls deliver the number
 * within seconds. After this time the placer goes on without the missing sides,
 * because a side that stays cut off must not stop placement.
 */
const HANDOVER_TIMEOUT_MS = 10_000;

/**
 * This entry, and its access to the platform and the sides. Times are in
 * milliseconds.
 */
export interface PlacementServiceOptions {
  /** Name of this entry, as written in the lease. */
  readonly node: NodeId;
  /** Holds the lease. */
  readonly store: ObjectStore;
  readonly transport: Transport;
  /**
   * Asked for its status before each plan. Without it, loads run one at a time.
   */
  readonly weightStore?: WeightStore;
  /** Duration of the lease. @default 10000 */
  readonly leaseTtlMs?: number;
  /** A missing lease is created after this time. @default 10000 */
  readonly leaseCreateAfterMs?: number;
  /** The placer stops this long before its lease ends. @default 2000 */
  readonly leaseMarginMs?: number;
  /**
   * Time between two ticks. A tick starts a plan if this entry is the placer
   * and no plan is being made. @default 1000
   */
  readonly tickMs?: number;
  /** Timeout of an order's answer. @default 5000 */
  readonly orderTimeoutMs?: number;
  /**
   * How long an order without a visible effect stays pending. @default 30000
   */
  readonly orderEffectTimeoutMs?: number;
  /** Bounds of the planner that differ from the defaults. */
  readonly limits?: Partial<PlannerLimits>;
  /**
   * Identity that this entry sends to the sides that it does not follow when it
   * polls them as the placer. Without it, these sides are not polled, and
   * models are placed only on followed sides.
   */
  readonly pollerIdentity?: Pick<PollerIdentity, 'address' | 'incarnation'>;
}

/** Creates the service. */
export function createPlacementService(
  options: PlacementServiceOptions,
): ServiceSpec<'placement'> {
  return {
    name: 'placement',
    start: ctx => new PlacementTask(ctx, options).start(),
  };
}

/** One start of the service. */
class PlacementTask {
  private readonly lease: Lease;
  private readonly orders: OrderTracker;
  private readonly sidePoller: SidePoller;
  private readonly limits: PlannerLimits;
  private config: NumberedDeclarations | undefined;
  private view: MembershipView | undefined;
  private roleHistory: RoleHistory;
  /** Highest fencing number received from any side or entry. */
  private highestFence: FencingNumber = 0;
  /**
   * Fencing number under which this process was the placer at the last tick; 0
   * when it was not. `isPlacer` tells whether it is the placer now.
   */
  private placerFence: FencingNumber = 0;
  /** When this process became the placer. */
  private placerStartedAt = 0;
  /**
   * Wishes that were unmet at the last plan, as `pool/model`. A wish is a model
   * that the declarations place in a pool.
   */
  private unmetWishes: ReadonlySet<string> = new Set();
  /** True while a plan is being made. Plans never overlap. */
  private isPlanning = false;

  constructor(
    private readonly ctx: ServiceContext<'placement'>,
    private readonly options: PlacementServiceOptions,
  ) {
    this.lease = createLease({
      store: options.store,
      key: PLACER_LEASE_KEY,
      ttlMs: options.leaseTtlMs ?? LEASE_TTL_MS,
      createAfterMs: options.leaseCreateAfterMs ?? LEASE_TTL_MS,
      marginMs: options.leaseMarginMs ?? 2_000,
      holder: options.node,
      runtime: ctx,
      fenceFloor: () => this.highestFence,
      isCandidate: () => isLeaseCandidate(options.node, this.view),
    });
    this.orders = createOrderTracker(options.orderEffectTimeoutMs ?? 30_000);
    this.limits = {...DEFAULT_PLANNER_LIMITS, ...options.limits};
    this.roleHistory = createRoleHistory(ctx.clock.now());
    this.sidePoller = createSidePoller({
      self: {
        address: '',
        incarnation: '',
        ...options.pollerIdentity,
        node: options.node,
      },
      clock: ctx.clock,
      transport: options.transport,
      fence: () => this.placerFence,
      configNumber: () => this.config?.number ?? 0,
      sides: () => this.unfollowedSides(),
      onError: cause => ctx.fail(cause),
    });
  }

  start(): void {
    const {ctx, options} = this;
    this.lease.run(ctx);
    this.subscribe();
    ctx.own(() => this.sidePoller.stop());
    ctx.own(ctx.clock.every(options.tickMs ?? 1_000, () => this.tick()));
    void ctx.mailbox.observe(message => this.handle(message));
  }

  /**
   * Subscribes to views and configurations. `followMembership` and
   * `followConfig` repeat the subscriptions, because the services behind them
   * may be restarted.
   */
  private subscribe(): void {
    followMembership(this.ctx, view => {
      this.view = view;
      const fences = [...view.replicas, ...view.entries].map(p => p.fence);
      this.observeFence(Math.max(0, ...fences));
    });
    followConfig(this.ctx, config => {
      this.config = config;
    });
  }

  /** Handles a message to the service. */
  private handle(message: PlacementMessage): void {
    if (message.kind === 'fence-seen') return this.observeFence(message.fence);
    message.reply(this.status());
  }

  private status(): PlacementStatus {
    return {
      placer: this.isPlacer(),
      holder: this.lease.holder(),
      fence: Math.max(this.lease.fence(), this.highestFence),
      decisions: this.orders.decisions(),
    };
  }

  /**
   * Sides that get no heartbeats from this entry. Empty without a
   * `pollerIdentity`.
   */
  private unfollowedSides(): readonly Address[] {
    const {view} = this;
    if (view === undefined || this.options.pollerIdentity === undefined)
      return [];
    const followed = new Set(view.replicas.map(({address}) => address));
    return view.allSides.filter(address => !followed.has(address));
  }

  /** The followed sides, and the polled sides that have answered. */
  private allReplicas(view: MembershipView): readonly Replica[] {
    const followed = new Set(view.replicas.map(({address}) => address));
    const others = this.sidePoller.replicas();
    return [
      ...view.replicas,
      ...others.filter(({address}) => !followed.has(address)),
    ];
  }

  /** Records a fencing number that a side or an entry has reported. */
  private observeFence(fence: FencingNumber): void {
    this.highestFence = Math.max(this.highestFence, fence);
  }

  /**
   * True when this process may act as the placer. This is checked before each
   * order and not only once for each plan, because the process may have been
   * paused in between and another entry may hold the lease. A higher fencing
   * number from any side or entry shows the loss of the lease before the store
   * does.
   */
  private isPlacer(): boolean {
    return this.lease.valid() && this.lease.fence() >= this.highestFence;
  }

  /** Starts a plan if this process is the placer and no plan is being made. */
  private tick(): void {
    this.updatePlacerFence();
    if (this.placerFence === 0 || this.isPlanning) return;
    this.isPlanning = true;
    this.runPlan()
      .catch(cause => this.ctx.fail(cause))
      .finally(() => {
        this.isPlanning = false;
      });
  }

  /**
   * Follows changes of the lease. Each time that this process becomes the
   * placer, it starts with no pending orders and no role history, also when it
   * was the placer before, because earlier orders may be another placer's.
   */
  private updatePlacerFence(): void {
    const fence = this.isPlacer() ? this.lease.fence() : 0;
    if (fence === this.placerFence) return;
    const before = this.placerFence;
    this.placerFence = fence;
    this.ctx.metrics.gauge('onyxloft_placer', {}, fence === 0 ? 0 : 1);
    if (before !== 0) {
      this.ctx.log(PLACEMENT_EVENTS.placerStopped, {
        fence: before,
        seen: this.highestFence,
      });
    }
    if (fence === 0) return this.sidePoller.stop();
    this.orders.clear();
    this.placerStartedAt = this.ctx.clock.now();
    this.roleHistory = createRoleHistory(this.placerStartedAt);
    this.sidePoller.start();
    this.ctx.log(PLACEMENT_EVENTS.placerStarted, {fence});
  }

  /** Makes a plan and sends its orders. */
  private async runPlan(): Promise<void> {
    const status = await this.fetchWeightStoreStatus();
    const {config, view, placerFence: fence} = this;
    // Configuration 0 is the one before the first. It declares no models, so a
    // plan would unload all of them.
    if (config === undefined || config.number === 0) return;
    if (view === undefined || fence === 0) return;
    const now = this.ctx.clock.now();
    const replicas = this.allReplicas(view);
    if (!this.isHandoverComplete(replicas, now)) return;
    this.pollAndCloseOrders(replicas, now);
    const plan = planPlacement({
      now,
      fence,
      declarations: config.declarations,
      replicas,
      pending: this.orders.pending(),
      weightStore: status,
      limits: this.limits,
      roles: this.roleHistory,
    });
    this.roleHistory = plan.roles;
    this.reportUnmetWishes(plan);
    for (const planned of plan.orders) this.sendOrder(planned, fence);
  }

  /**
   * True when the first order may be sent. A new placer waits until every live
   * side with capacity knows its fencing number, but no longer than
   * `HANDOVER_TIMEOUT_MS`. Without the wait, a late order of the previous
   * placer could take effect at a side that this placer has not sent an order
   * to yet, and the plans of two placers would be mixed. Heartbeats deliver the
   * number to followed sides, and polls deliver it to the others.
   */
  private isHandoverComplete(
    replicas: readonly Replica[],
    now: number,
  ): boolean {
    if (now - this.placerStartedAt >= HANDOVER_TIMEOUT_MS) return true;
    if (!this.sidePoller.hasPolledAll()) return false;
    return replicas
      .filter(({state, load}) => state === 'live' && load.capacityTokens > 0)
      .every(({fence}) => fence >= this.placerFence);
  }

  /** Status of the weight store; undefined without one or when it fails. */
  private async fetchWeightStoreStatus(): Promise<
    WeightStoreStatus | undefined
  > {
    const answer = await this.options.weightStore?.();
    return answer?.toMaybe().extract();
  }

  /**
   * Polls the sides with pending orders. Closes orders that took effect or
   * expired, and logs them.
   */
  private pollAndCloseOrders(replicas: readonly Replica[], now: number): void {
    this.sidePoller.pollPending(
      this.orders.pending().map(({address}) => address),
    );
    for (const closed of this.orders.closeSettled(replicas, now)) {
      const {order, address, outcome, tookMs} = closed;
      this.ctx.metrics.count('onyxloft_placement_orders_total', {
        action: order.action,
        outcome,
      });
      this.ctx.log(PLACEMENT_EVENTS.readBack, {
        orderId: order.orderId,
        address,
        action: order.action,
        model: order.model,
        version: order.version,
        outcome,
        tookMs: Math.round(tookMs),
      });
    }
  }

  /** Logs each wish when it becomes unmet, and when it is met or withdrawn. */
  private reportUnmetWishes({unmet}: Plan): void {
    const keyOf = ({pool, model}: UnmetWish) => `${pool}/${model}`;
    for (const wish of unmet) {
      if (this.unmetWishes.has(keyOf(wish))) continue;
      this.ctx.log(PLACEMENT_EVENTS.wishUnmet, {...wish});
    }
    const keys = new Set(unmet.map(keyOf));
    for (const wish of this.unmetWishes) {
      if (!keys.has(wish)) this.ctx.log(PLACEMENT_EVENTS.wishMet, {wish});
    }
    this.ctx.metrics.gauge('onyxloft_placement_unmet', {}, unmet.length);
    this.unmetWishes = keys;
  }

  /** Sends an order, unless this process has lost the lease meanwhile. */
  private sendOrder(planned: PlannedOrder, fence: FencingNumber): void {
    const {address, action, model, version, adapter, role, reason} = planned;
    const orderId = this.ctx.random.hex(ORDER_ID_BYTES);
    const order: OrderReq = {
      orderId,
      fence,
      action,
      model,
      version,
      adapter,
      role,
    };
    if (!this.isPlacer() || this.lease.fence() !== fence) {
      this.ctx.log(PLACEMENT_EVENTS.notSent, {orderId, address, action, fence});
      return;
    }
    this.orders.add(planned, order, this.ctx.clock.now());
    this.ctx.log(PLACEMENT_EVENTS.decided, {
      ...order,
      address,
      reason,
      figures: planned.figures,
    });
    this.options.transport
      .call(address, 'order', order, this.options.orderTimeoutMs ?? 5_000)
      .then(answer =>
        answer.caseOf({
          Left: err =>
            this.recordAnswer(
              order,
              'unanswered',
              `${err.code}: ${err.message}`,
            ),
          Right: res => this.handleAnswer(order, res),
        }),
      )
      .catch(cause => this.ctx.fail(cause));
  }

  /** Handles a side's answer to an order. */
  private handleAnswer(order: OrderReq, res: OrderRes): void {
    this.observeFence(res.fence);
    if (res.state === 'refused') {
      this.recordAnswer(order, 'refused', res.reason);
      this.orders.markRefused(order.orderId, this.ctx.clock.now());
    } else {
      this.recordAnswer(order, 'accepted', res.reason);
    }
  }

  /** Records and logs the answer to an order, or that there was none. */
  private recordAnswer(
    order: OrderReq,
    outcome: 'accepted' | 'refused' | 'unanswered',
    reason: string,
  ): void {
    this.orders.setOutcome(order.orderId, outcome, reason);
    this.ctx.log(PLACEMENT_EVENTS.orderAnswered, {
      orderId: order.orderId,
      action: order.action,
      outcome,
      reason,
      fence: order.fence,
      seen: this.highestFence,
    });
  }
}
