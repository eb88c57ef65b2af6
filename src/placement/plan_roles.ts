/**
 * Assigns engines to short or to long prompts according to the workload mix. A
 * change of role empties caches and queues, so changes are damped in three
 * ways: the mix is averaged over time, a change needs a difference larger than
 * rounding, and an engine keeps its role for a minimum time.
 */
import type {PolicyWeights} from '../types/config.js';
import type {PoolId} from '../types/ids.js';
import type {EngineRole} from '../types/peer_messages.js';
import type {EngineView} from './engine_view.js';
import {plannedOrder} from './plan_types.js';
import type {
  PlannedOrder,
  PlannerLimits,
  PoolMix,
  RoleHistory,
} from './plan_types.js';

/** In pools with fewer engines, all stay mixed. */
const MIN_ENGINES = 3;
/**
 * When long prompts, or short ones, have less than this share of the waiting
 * tokens, no engine is assigned a role.
 */
const MIN_SHARE = 0.05;

/** What the role plan depends on. */
export interface RolePlanInput {
  readonly now: number;
  readonly engines: readonly EngineView[];
  readonly policy: PolicyWeights;
  readonly limits: PlannerLimits;
  readonly history: RoleHistory;
}

/** Role changes, and the history for the next plan. */
export interface RolePlan {
  readonly orders: readonly PlannedOrder[];
  readonly history: RoleHistory;
}

/** Creates a history without earlier changes. */
export function createRoleHistory(now: number): RoleHistory {
  return {mixes: new Map(), changedAt: new Map(), startedAt: now};
}

/** Plans at most one role change for each pool. */
export function planRoles(input: RolePlanInput): RolePlan {
  const mixes = new Map<PoolId, PoolMix>();
  const changedAt = new Map(input.history.changedAt);
  const orders: PlannedOrder[] = [];
  for (const [pool, engines] of byPool(input.engines)) {
    const mix = updateMix(input, engines, input.history.mixes.get(pool));
    const order = planRoleChange(input, pool, engines, mix);
    if (order !== undefined) {
      orders.push(order);
      changedAt.set(order.address, input.now);
    }
    const lastChangeAt = order === undefined ? mix.lastChangeAt : input.now;
    mixes.set(pool, {...mix, lastChangeAt});
  }
  const {startedAt} = input.history;
  return {orders, history: {mixes, changedAt, startedAt}};
}

/** Engines by pool. */
function byPool(
  engines: readonly EngineView[],
): ReadonlyMap<PoolId, readonly EngineView[]> {
  const pools = new Map<PoolId, EngineView[]>();
  for (const engine of engines) {
    // An engine without a model serves no prompt, and reports no role.
    if (engine.versions.size === 0) continue;
    pools.set(engine.pool, [...(pools.get(engine.pool) ?? []), engine]);
  }
  return pools;
}

/**
 * The pool's workload mix, averaged with what waits now. The average moves
 * exponentially with the time constant `mixTimeConstantMs`. While nothing
 * waits, the share of long prompts stays as it was.
 */
function updateMix(
  {now, limits, history}: RolePlanInput,
  engines: readonly EngineView[],
  before: PoolMix | undefined,
): PoolMix {
  const total = sum(engines, load => load.prefillBacklogTokens);
  const short = sum(engines, load => load.shortBacklogTokens);
  const backlogTokens = total / engines.length;
  const isIdle = total === 0;
  const longShare = isIdle
    ? (before?.longShare ?? 0)
    : Math.max(0, total - short) / total;
  if (before === undefined) {
    const lastChangeAt = history.startedAt;
    return {longShare, backlogTokens, updatedAt: now, lastChangeAt};
  }
  const weight =
    1 - Math.exp(-(now - before.updatedAt) / limits.mixTimeConstantMs);
  return {
    longShare: before.longShare + weight * (longShare - before.longShare),
    backlogTokens:
      before.backlogTokens + weight * (backlogTokens - before.backlogTokens),
    updatedAt: now,
    lastChangeAt: before.lastChangeAt,
  };
}

function sum(
  engines: readonly EngineView[],
  pick: (load: EngineView['load']) => number,
): number {
  return engines.reduce((total, {load}) => total + pick(load), 0);
}

/** Number of engines with each role. */
type RoleCounts = Readonly<Record<'long' | 'short', number>>;

/**
 * Wanted number of engines for each role, not rounded. The other engines stay
 * mixed.
 */
function targetCounts(
  {policy, limits}: RolePlanInput,
  engines: number,
  mix: PoolMix,
): RoleCounts {
  const isQuiet = mix.backlogTokens < limits.minBacklogTokens;
  const isOneKind = mix.longShare < MIN_SHARE || mix.longShare > 1 - MIN_SHARE;
  if (isQuiet || isOneKind || engines < MIN_ENGINES) return {long: 0, short: 0};
  const long = engines * Math.min(policy.longShare, mix.longShare);
  return {long, short: (engines - long) / 2};
}

/** The next role change in one pool, if it needs one and may change now. */
function planRoleChange(
  input: RolePlanInput,
  pool: PoolId,
  engines: readonly EngineView[],
  mix: PoolMix,
): PlannedOrder | undefined {
  const {now, limits, history} = input;
  if (now - mix.lastChangeAt < limits.roleIntervalMs) return undefined;
  const target = targetCounts(input, engines.length, mix);
  const current: RoleCounts = {
    long: engines.filter(({role}) => role === 'long').length,
    short: engines.filter(({role}) => role === 'short').length,
  };
  const change = pickChange(target, current, limits.roleHysteresis);
  if (change === undefined) return undefined;
  const changeable = engines.filter(
    ({address, busy}) =>
      !busy &&
      now - (history.changedAt.get(address) ?? history.startedAt) >=
        limits.roleDwellMs,
  );
  const [engine] = changeable
    .filter(({role}) => role === change.from)
    .sort(byBacklog);
  if (engine === undefined) return undefined;
  return plannedOrder({
    action: 'set-role',
    address: engine.address,
    role: change.to,
    reason: `${change.from} to ${change.to}: ${current.long} long and ${current.short} short engines, ${target.long.toFixed(1)} and ${target.short.toFixed(1)} wished`,
    figures: {
      pool,
      role: change.to,
      longShare: Number(mix.longShare.toFixed(3)),
      backlogTokens: Math.round(mix.backlogTokens),
      engines: engines.length,
      candidates: changeable.length,
    },
  });
}

/** A change from one role to another. */
interface RoleChange {
  readonly from: EngineRole;
  readonly to: EngineRole;
}

/**
 * Chooses a role whose number of engines is off its target by more than the
 * hysteresis. Roles with too many engines are considered first.
 */
function pickChange(
  target: RoleCounts,
  current: RoleCounts,
  hysteresis: number,
): RoleChange | undefined {
  for (const role of ['long', 'short'] as const) {
    if (current[role] - target[role] > hysteresis)
      return {from: role, to: 'mixed'};
  }
  for (const role of ['long', 'short'] as const) {
    if (target[role] - current[role] > hysteresis)
      return {from: 'mixed', to: role};
  }
  return undefined;
}

/**
 * Orders engines by waiting work, least first, and then by address, so that any
 * placer chooses the same engine.
 */
function byBacklog(a: EngineView, b: EngineView): number {
  const difference = a.load.prefillBacklogTokens - b.load.prefillBacklogTokens;
  if (difference !== 0) return difference;
  return a.address < b.address ? -1 : 1;
}
