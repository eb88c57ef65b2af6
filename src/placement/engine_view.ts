/**
 * What the planner goes by: each engine as its heartbeats show it, with the
 * orders that are under way laid over. An order to unload counts as carried
 * out at once and one to load as not yet ready, so that what is not known is
 * always taken for the worse.
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

/** An order whose effect has not been read back. */
export interface PendingOrder {
  readonly address: Address;
  readonly order: OrderReq;
}

export type VersionState = 'absent' | 'loading' | 'ready';

export interface EngineView {
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly load: SideLoad;
  readonly role: EngineRole;
  /**
   * What its side reported may be relied on: the report is fresh, and the side
   * knows the placer's number. One that does not may still take an order of
   * the placer before, which had been on its way.
   */
  readonly isReliable: boolean;
  /** An order to it is under way; it gets no second one. */
  readonly busy: boolean;
  /** States by model, then by version. */
  readonly versions: ReadonlyMap<ModelId, ReadonlyMap<string, VersionState>>;
  readonly adapters: ReadonlyMap<ModelId, readonly string[]>;
}

export interface EngineViewInput {
  readonly replicas: readonly Replica[];
  readonly pending: readonly PendingOrder[];
  /** The placer's number. */
  readonly fence: FencingNumber;
  readonly now: number;
  readonly limits: {
    readonly maxReliableAgeMs: number;
    readonly maxReportAgeMs: number;
  };
}

/**
 * Engines that may be counted on: live, with a report of late. Plain services
 * have no models and no memory, and are left out.
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

/** Versions of the model in that state on the engine. */
export function versionsInState(
  engine: EngineView,
  model: ModelId,
  state: VersionState,
): readonly string[] {
  return [...(engine.versions.get(model) ?? [])]
    .filter(([, current]) => current === state)
    .map(([version]) => version);
}

/** Adapters ready on the engine for one version of a model. */
export function adaptersOf(
  engine: EngineView,
  model: ModelId,
  version: string,
): readonly string[] {
  return engine.adapters.get(`${model} ${version}`) ?? [];
}
