/**
 * The planner's view of the engines: each engine as its heartbeats show it,
 * with the effects of pending orders applied. A pending unload counts as done
 * and a pending load as not ready, so that the planner assumes the less
 * favourable outcome of every order.
 */
import type {
  Address,
  FailureDomain,
  FencingNumber,
  ModelId,
  PoolId,
} from '../types/ids.js';
import type {EngineRole, SideLoad} from '../types/peer_messages.js';
import type {OrderReq} from '../types/peer_messages.js';
import type {Replica} from '../types/services.js';

/** An order whose effect has not shown in a heartbeat yet. */
export interface PendingOrder {
  /** Address of the engine's side. */
  readonly address: Address;
  readonly order: OrderReq;
}

/** State of one version of a model on an engine. */
export type VersionState = 'absent' | 'loading' | 'ready';

/** One engine as the planner sees it. */
export interface EngineView {
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly load: SideLoad;
  readonly role: EngineRole;
  /**
   * True when the report can be relied on: it is recent, and the side knows the
   * placer's fencing number. A side that does not know the number may still
   * accept an order of the previous placer that is on its way.
   */
  readonly isReliable: boolean;
  /**
   * True when an order to the engine is pending or planned. It gets no second
   * order until the effect of the first has shown.
   */
  readonly busy: boolean;
  /** States by model, then by version. */
  readonly versions: ReadonlyMap<ModelId, ReadonlyMap<string, VersionState>>;
  /**
   * Adapters that are ready, by model and version with a blank between them.
   */
  readonly adapters: ReadonlyMap<ModelId, readonly string[]>;
}

/** What the view is made from. */
export interface EngineViewInput {
  readonly replicas: readonly Replica[];
  readonly pending: readonly PendingOrder[];
  /** Fencing number of the placer. */
  readonly fence: FencingNumber;
  /** Time of the plan, in milliseconds. */
  readonly now: number;
  /** See `PlannerLimits`. */
  readonly limits: {
    readonly maxReliableAgeMs: number;
    readonly maxReportAgeMs: number;
  };
}

/**
 * Engines that can be used: live, with a report that is not too old. Plain
 * services are left out, since they have no models and no memory.
 */
export function viewEngines({
  replicas,
  pending,
  fence,
  now,
  limits,
}: EngineViewInput): readonly EngineView[] {
  return replicas
    .filter(replica => replica.state === 'live')
    .filter(replica => now - replica.loadAt <= limits.maxReportAgeMs)
    .filter(({load}) => load.capacityTokens > 0)
    .map(replica =>
      engineViewOf(
        replica,
        pending.filter(({address}) => address === replica.address),
        replica.fence >= fence &&
          now - replica.loadAt <= limits.maxReliableAgeMs,
      ),
    );
}

function engineViewOf(
  replica: Replica,
  pending: readonly PendingOrder[],
  isReliable: boolean,
): EngineView {
  const versions = new Map<ModelId, Map<string, VersionState>>();
  const adapters = new Map<ModelId, readonly string[]>();
  const setState = (model: ModelId, version: string, state: VersionState) => {
    const modelVersions =
      versions.get(model) ?? new Map<string, VersionState>();
    modelVersions.set(version, state);
    versions.set(model, modelVersions);
  };
  for (const state of replica.models) {
    setState(state.model, state.version, state.ready ? 'ready' : 'loading');
    if (state.ready)
      adapters.set(`${state.model} ${state.version}`, state.adapters);
  }
  for (const {order} of pending) {
    const {action, model, version} = order;
    if (action === 'unload') setState(model, version, 'absent');
    const known = versions.get(model)?.get(version) ?? 'absent';
    if (action === 'load' && known === 'absent')
      setState(model, version, 'loading');
  }
  return {
    address: replica.address,
    pool: replica.pool,
    failureDomain: replica.failureDomain,
    load: replica.load,
    role: replica.models[0]?.role ?? 'mixed',
    isReliable,
    busy: pending.length > 0,
    versions,
    adapters,
  };
}

/** State of one version of a model on an engine. */
export function versionStateOf(
  engine: EngineView,
  model: ModelId,
  version: string,
): VersionState {
  return engine.versions.get(model)?.get(version) ?? 'absent';
}

/** Versions of the model that are in this state on the engine. */
export function versionsInState(
  engine: EngineView,
  model: ModelId,
  state: VersionState,
): readonly string[] {
  return [...(engine.versions.get(model) ?? [])]
    .filter(([, current]) => current === state)
    .map(([version]) => version);
}

/** Adapters that are ready on the engine for one version of a model. */
export function adaptersOf(
  engine: EngineView,
  model: ModelId,
  version: string,
): readonly string[] {
  return engine.adapters.get(`${model} ${version}`) ?? [];
}
