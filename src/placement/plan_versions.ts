/**
 * Plans which engines load and unload which versions of a model. A new version
 * is loaded beside the old one, engine by engine. The old version is unloaded
 * from an engine when the new one is ready there and the old one is still ready
 * on another engine. The last replica of the old version is unloaded only when
 * enough replicas of the new one are ready.
 */
import type {Model, PlacementWish} from '../types/config.js';
import type {FailureDomain} from '../types/ids.js';
import {versionStateOf, versionsInState} from './engine_view.js';
import type {EngineView} from './engine_view.js';
import type {LoadBudget} from './load_budget.js';
import {plannedOrder} from './plan_types.js';
import type {PlannedOrder, UnmetWish} from './plan_types.js';

/** A model that the configuration places in a pool. */
export interface WishedModel {
  readonly wish: PlacementWish;
  readonly model: Model;
  /** Engines of the pool that can be used. */
  readonly engines: readonly EngineView[];
}

/** Plans the loads for one wish, within the budget that all wishes share. */
export function planLoads(
  wished: WishedModel,
  budget: LoadBudget,
): readonly PlannedOrder[] {
  const chosen: EngineView[] = [];
  const orders: PlannedOrder[] = [];
  for (;;) {
    const next = chooseNextLoad(wished, chosen);
    if (next === undefined || !budget.tryTake(wished.model)) return orders;
    chosen.push(next.engine);
    orders.push(loadOrder(wished, next, budget));
  }
}

/** The engine that loads next, with the reason for it. */
interface ChosenLoad {
  readonly engine: EngineView;
  readonly reason: string;
  /** Number of engines it was chosen from. */
  readonly candidates: number;
}

/** Chooses the engine that should load the version next, if one is needed. */
function chooseNextLoad(
  wished: WishedModel,
  chosen: readonly EngineView[],
): ChosenLoad | undefined {
  const {engines, model} = wished;
  const holding = engines.filter(
    engine => hasVersion(engine, model) || chosen.includes(engine),
  );
  const candidates = engines.filter(
    engine => !holding.includes(engine) && !engine.busy,
  );
  const underserved = underservedDomains(wished, holding);
  const inUnderserved = candidates.filter(({failureDomain}) =>
    underserved.has(failureDomain),
  );
  const isBelowTarget = holding.length < targetCount(wished);
  const eligible =
    inUnderserved.length > 0 ? inUnderserved : isBelowTarget ? candidates : [];
  const [engine] = [...eligible].sort(byPreference(wished, holding));
  if (engine === undefined) return undefined;
  const reason = reasonToLoad(wished, engine, inUnderserved.length > 0);
  return {engine, reason, candidates: eligible.length};
}

/** True when the engine has the wished version or is loading it. */
function hasVersion(engine: EngineView, model: Model): boolean {
  return versionStateOf(engine, model.id, model.version) !== 'absent';
}

/**
 * Number of engines that should have the version. While a new version replaces
 * an old one, as many engines as before should serve the model.
 */
function targetCount({wish, model, engines}: WishedModel): number {
  const serving = engines.filter(
    engine =>
      hasVersion(engine, model) ||
      versionsInState(engine, model.id, 'ready').length > 0,
  );
  return Math.min(engines.length, Math.max(wish.minReplicas, serving.length));
}

/** Failure domains with fewer engines in `holding` than the wish demands. */
function underservedDomains(
  {wish, engines}: WishedModel,
  holding: readonly EngineView[],
): ReadonlySet<FailureDomain> {
  const all = countByDomain(engines);
  const held = countByDomain(holding);
  return new Set(
    [...all]
      .filter(([domain, count]) => {
        const wanted = Math.min(count, wish.minPerFailureDomain);
        return (held.get(domain) ?? 0) < wanted;
      })
      .map(([domain]) => domain),
  );
}

/** Number of engines in each failure domain. */
function countByDomain(
  engines: readonly EngineView[],
): ReadonlyMap<FailureDomain, number> {
  const counts = new Map<FailureDomain, number>();
  for (const {failureDomain} of engines) {
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Orders engines for a load, best first. Engines with an old version come
 * first, so that a new version replaces it in place and does not spread over
 * the pool; but the only engine with a ready version comes last. Then come the
 * failure domains with the fewest engines that have the version, and then
 * engines with the smallest backlog.
 */
function byPreference(wished: WishedModel, holding: readonly EngineView[]) {
  const {model, engines} = wished;
  const serving = engines.filter(
    engine => versionsInState(engine, model.id, 'ready').length > 0,
  );
  const held = countByDomain(holding);
  const rank = (engine: EngineView): readonly number[] => {
    const isServing = serving.includes(engine);
    const isOnly = isServing && serving.length === 1;
    return [
      isOnly ? 2 : isServing ? 0 : 1,
      held.get(engine.failureDomain) ?? 0,
      engine.load.prefillBacklogTokens,
    ];
  };
  return (a: EngineView, b: EngineView) => {
    const [ranksA, ranksB] = [rank(a), rank(b)];
    const index = ranksA.findIndex((value, n) => value !== ranksB[n]);
    if (index === -1) return a.address < b.address ? -1 : 1;
    return (ranksA[index] ?? 0) - (ranksB[index] ?? 0);
  };
}

/** Reason of a load, for operators. */
function reasonToLoad(
  {model}: WishedModel,
  engine: EngineView,
  isDomainUnderserved: boolean,
): string {
  if (isDomainUnderserved)
    return `failure domain ${engine.failureDomain} is short`;
  const old = versionsInState(engine, model.id, 'ready');
  return old.length > 0 ? `rolls from ${old.join(', ')}` : 'too few replicas';
}

function loadOrder(
  wished: WishedModel,
  {engine, reason, candidates}: ChosenLoad,
  budget: LoadBudget,
): PlannedOrder {
  const {wish, model, engines} = wished;
  return plannedOrder({
    action: 'load',
    address: engine.address,
    model: model.id,
    version: model.version,
    reason,
    figures: {
      pool: wish.pool,
      ready: countInState(engines, model, 'ready'),
      loading: countInState(engines, model, 'loading'),
      target: targetCount(wished),
      candidates,
      loadsAtOnce: budget.inFlight(),
      loadsAllowed: budget.maxConcurrent(model),
    },
  });
}

/** Number of engines on which the wished version is in this state. */
function countInState(
  engines: readonly EngineView[],
  model: Model,
  state: 'ready' | 'loading',
): number {
  return engines.filter(
    engine => versionStateOf(engine, model.id, model.version) === state,
  ).length;
}

/**
 * Plans at most one unload of an old version. The next one is planned when a
 * heartbeat has shown the effect.
 */
export function planUnload(wished: WishedModel): readonly PlannedOrder[] {
  const {engines, model} = wished;
  const ready = engines.filter(
    engine => versionStateOf(engine, model.id, model.version) === 'ready',
  );
  // Engines without a reliable report may have failed since, or a previous
  // placer may still change them.
  const reliable = engines.filter(({isReliable}) => isReliable);
  const reliableReady = ready.filter(({isReliable}) => isReliable);
  // Uses the number as declared, not limited to the engines in view. Otherwise
  // a single engine would suffice while most of the pool is out of view.
  const wanted = Math.max(wished.wish.minReplicas, targetCount(wished));
  const isMet =
    reliableReady.length >= wanted &&
    underservedDomains(wished, reliableReady).size === 0;
  for (const engine of ready.filter(({busy}) => !busy)) {
    for (const version of versionsInState(engine, model.id, 'ready')) {
      if (version === model.version) continue;
      const left = reliable.filter(
        other =>
          other !== engine &&
          versionStateOf(other, model.id, version) === 'ready',
      ).length;
      // This is the last ready replica of a version in use. Without it, callers
      // would depend on a new version that is not ready on as many engines as
      // wished.
      if (left === 0 && !isMet) continue;
      return [
        unloadOrder(wished, engine, version, {left, ready: ready.length}),
      ];
    }
  }
  return [];
}

function unloadOrder(
  {wish, model}: WishedModel,
  engine: EngineView,
  version: string,
  figures: {readonly left: number; readonly ready: number},
): PlannedOrder {
  return plannedOrder({
    action: 'unload',
    address: engine.address,
    model: model.id,
    version,
    reason: `version ${model.version} is ready here; ${figures.left} replicas of ${version} are left`,
    figures: {pool: wish.pool, ...figures},
  });
}

/** The wish if fewer replicas are ready than it asks for, else nothing. */
export function unmetWish(wished: WishedModel): readonly UnmetWish[] {
  const {wish, model, engines} = wished;
  const ready = countInState(engines, model, 'ready');
  if (ready >= wish.minReplicas) return [];
  return [
    {
      pool: wish.pool,
      model: model.id,
      wanted: wish.minReplicas,
      ready,
      engines: engines.length,
    },
  ];
}
