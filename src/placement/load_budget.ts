/**
 * How many loads may run at once. The weight store shares one rate among its
 * transfers: each further one makes all slower, until none ends in useful
 * time. So there are as many as let each end within the limit, one at least.
 */
import type {Model} from '../types/config.js';
import type {WeightStoreStatus} from '../types/platform.js';
import type {EngineView} from './engine_view.js';
import type {PlannerLimits} from './plan_types.js';

const MS_PER_SEC = 1_000;

export interface LoadBudget {
  /** Takes one load if it is within the budget. */
  tryTake(model: Model): boolean;
  /** Loads at once that are allowed for weights of this size. */
  maxConcurrent(model: Model): number;
  inFlight(): number;
}

/** `status` undefined: the weight store's rate is not known, one at a time. */
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
      // A queue at the weight store: others load as well.
      if ((status?.queuedTransfers ?? 0) > 0) return false;
      if (inFlight >= maxConcurrent(model)) return false;
      inFlight += 1;
      return true;
    },
  };
}

function loadsOn(engine: EngineView): number {
  return [...engine.versions.values()]
    .flatMap(versions => [...versions.values()])
    .filter(state => state === 'loading').length;
}
