/**
 * The planner computes the next orders from the declarations, the engines'
 * reports and the time. It keeps no state and sends nothing itself, so that a
 * placement decision can be computed again from its recorded input.
 */
import type {Declarations, Model} from '../types/config.js';
import {
  adaptersOf,
  versionStateOf,
  versionsInState,
  viewEngines,
} from './engine_view.js';
import type {EngineView} from './engine_view.js';
import {createLoadBudget} from './load_budget.js';
import {planRoles} from './plan_roles.js';
import {plannedOrder} from './plan_types.js';
import type {Plan, PlanInput, PlannedOrder} from './plan_types.js';
import {planLoads, planUnload, unmetWish} from './plan_versions.js';
import type {WishedModel} from './plan_versions.js';

/** Plans the next orders, at most one for each engine. */
export function planPlacement(input: PlanInput): Plan {
  const {declarations, limits} = input;
  const engines = viewEngines(input);
  const wishes = wishedModels(declarations, engines);
  const budget = createLoadBudget(engines, input.weightStore, limits);
  const orders = firstPerEngine([
    ...wishes.flatMap(wished => planLoads(wished, budget)),
    ...wishes.flatMap(planAdapters),
    ...wishes.flatMap(planUnload),
    ...planRemovedModels(declarations, engines),
  ]);
  const roles = planRoles({
    now: input.now,
    engines: markBusy(engines, orders),
    policy: declarations.policy,
    limits,
    history: input.roles,
  });
  return {
    orders: [...orders, ...roles.orders],
    unmet: wishes.flatMap(unmetWish),
    roles: roles.history,
  };
}

/**
 * Marks the engines that get an order in this plan as busy, so that they get no
 * role change as well.
 */
function markBusy(
  engines: readonly EngineView[],
  orders: readonly PlannedOrder[],
): readonly EngineView[] {
  const taken = new Set(orders.map(({address}) => address));
  return engines.map(engine =>
    taken.has(engine.address) ? {...engine, busy: true} : engine,
  );
}

/** The wishes of the configuration, with their models and engines. */
function wishedModels(
  {placement, models}: Declarations,
  engines: readonly EngineView[],
): readonly WishedModel[] {
  return placement.flatMap(wish => {
    const model = models.find(({id}) => id === wish.model);
    if (model === undefined) return [];
    const pool = engines.filter(engine => engine.pool === wish.pool);
    return [{wish, model, engines: pool}];
  });
}

/**
 * Plans the loads of missing adapters of the wished version, one at a time on
 * each engine.
 */
function planAdapters({model, engines}: WishedModel): readonly PlannedOrder[] {
  return engines
    .filter(({busy}) => !busy)
    .filter(
      engine => versionStateOf(engine, model.id, model.version) === 'ready',
    )
    .flatMap(engine => {
      const ready = adaptersOf(engine, model.id, model.version);
      const [adapter] = model.adapters.filter(name => !ready.includes(name));
      if (adapter === undefined) return [];
      return [
        plannedOrder({
          action: 'load-adapter',
          address: engine.address,
          model: model.id,
          version: model.version,
          adapter,
          reason: `adapter ${adapter} is declared and not ready here`,
          figures: {adapter, ready: ready.length},
        }),
      ];
    });
}

/**
 * Plans the unload of a model that is no longer declared, from one engine at a
 * time.
 */
function planRemovedModels(
  {models}: Declarations,
  engines: readonly EngineView[],
): readonly PlannedOrder[] {
  const declared = new Set(models.map(({id}: Model) => id));
  for (const engine of engines.filter(({busy}) => !busy)) {
    for (const model of engine.versions.keys()) {
      const [version] = versionsInState(engine, model, 'ready');
      if (declared.has(model) || version === undefined) continue;
      return [
        plannedOrder({
          action: 'unload',
          address: engine.address,
          model,
          version,
          reason: 'the model is no longer declared',
          figures: {pool: engine.pool},
        }),
      ];
    }
  }
  return [];
}

/**
 * Keeps the first order for each engine. Its second one is planned when a
 * heartbeat has shown the effect of the first.
 */
function firstPerEngine(
  orders: readonly PlannedOrder[],
): readonly PlannedOrder[] {
  const taken = new Set<string>();
  return orders.filter(({address}) => {
    if (taken.has(address)) return false;
    taken.add(address);
    return true;
  });
}
