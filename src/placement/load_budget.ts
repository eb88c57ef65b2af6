/**
 * Limits how many model loads run at once. The weight store divides one
 * transfer rate among all loads, so each further load slows the others down,
 * until none ends in useful time. The limit lets each load end within the
 * target time, and allows at least one.
 */
import type {Model} from '../types/config.js';
import type {WeightStoreStatus} from '../types/platform.js';
import type {EngineView} from './engine_view.js';
import type {PlannerLimits} from './plan_types.js';

const MS_PER_SEC = 1_000;

/** Loads that may be started in one plan. */
export interface LoadBudget {
  /** Takes one load. Returns false when no further load may start. */
  tryTake(model: Model): boolean;
  /** Loads of this model's weights that may run at once. */
  maxConcurrent(model: Model): number;
  /** Loads that are running, ordered or taken from this budget. */
  inFlight(): number;
}

/**
 * Creates the budget of one plan. When the weight store's status is undefined,
 * its rate is unknown, and loads run one at a time.
 */
export function createLoadBudget(
  engines: readonly EngineView[],
  status: WeightStoreStatus | undefined,
  limits: Pick<PlannerLimits, 'targetLoadMs' | 'maxLoads'>,
): LoadBudget {
  let inFlight = engines.reduce((sum, engine) => sum + loadsOn(engine), 0);

  const maxConcurrent = (model: Model) => {
    if (status === undefined) return 1;
    const targetBytes = (status.bytesPerSec * limits.targetLoadMs) / MS_PER_SEC;
    const concurrentLoads = Math.floor(targetBytes / model.weightBytes);
    return Math.max(1, Math.min(limits.maxLoads, concurrentLoads));
  };

  return {
    maxConcurrent,
    inFlight: () => inFlight,
    tryTake: model => {
      // Transfers are queued at the weight store, so other processes are
      // loading too.
      if ((status?.queuedTransfers ?? 0) > 0) return false;
      if (inFlight >= maxConcurrent(model)) return false;
      inFlight += 1;
      return true;
    },
  };
}

/** Versions that the engine is loading. */
function loadsOn(engine: EngineView): number {
  return [...engine.versions.values()]
    .flatMap(versions => [...versions.values()])
    .filter(state => state === 'loading').length;
}
