/**
 * What the stand-in engine serves: models, versions and adapters, and the
 * orders that change them. Some deployments' engines refuse an order with an
 * old fencing number, others ignore the number; an option says which.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../src/types/errors.js';
import type {EngineRole, ModelState} from '../src/types/peer_messages.js';
import type {Clock} from '../src/types/runtime.js';
import type {EngineOrder} from '../src/types/upstream.js';
import type {EngineFigures} from './engine_figures.js';

const ORDERS_REMEMBERED = 1_000;

/** Fetches a model's weights and calls back with whether that worked. */
export type LoadWeights = (
  model: string,
  version: string,
  done: (ok: boolean) => void,
) => void;

export interface ServedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters?: readonly string[];
}

export interface EngineServingOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly figures: EngineFigures;
  /** Served from the start, ready. */
  readonly models: readonly ServedModel[];
  readonly honoursFence: boolean;
  readonly loadWeights: LoadWeights;
  readonly onChange: () => void;
}

export interface EngineServing {
  order(order: EngineOrder): Either<OnyxError, void>;
  /** Undefined when the model and adapter are served, else what is lacking. */
  lacks(model: string, adapter: string): string | undefined;
  states(): readonly ModelState[];
  /** Back to what it served at the start; forgets fencing numbers. */
  reset(): void;
}

/** Starts with the models given. */
export function createEngineServing(
  options: EngineServingOptions,
): EngineServing {
  const {clock, figures} = options;
  let models: readonly ModelState[] = [];
  let role: EngineRole = 'mixed';
  let fence = 0;
  // Loads begun before a reset must not come to an end after it.
  let epoch = 0;
  let orderIds: string[] = [];

  const update = (next: readonly ModelState[]) => {
    models = next;
    options.onChange();
  };

  const isSame = (state: ModelState, order: EngineOrder) => {
    if (state.model !== order.model) return false;
    return order.version === '' || state.version === order.version;
  };

  const load = (order: EngineOrder) => {
    if (models.some(state => isSame(state, order))) return;
    const {model, version} = order;
    const loading = {model, version, adapters: [], ready: false, role};
    update([...models, loading]);
    const begun = epoch;
    options.loadWeights(model, version, ok => {
      if (begun !== epoch || !models.includes(loading)) return;
      const others = models.filter(state => state !== loading);
      update(ok ? [...others, {...loading, role, ready: true}] : others);
    });
  };

  const loadAdapter = (order: EngineOrder) => {
    const begun = epoch;
    clock.after(figures.adapterLoadMs, () => {
      if (begun !== epoch) return;
      const next = models.map(state => {
        if (!isSame(state, order)) return state;
        const adapters = new Set([...state.adapters, order.adapter]);
        return {...state, adapters: [...adapters]};
      });
      update(next);
    });
  };

  const setRole = (order: EngineOrder) => {
    role = order.role as EngineRole;
    update(models.map(state => ({...state, role})));
  };

  const carryOut = (order: EngineOrder) => {
    switch (order.action) {
      case 'load':
        return load(order);
      case 'unload':
        return update(models.filter(state => !isSame(state, order)));
      case 'load-adapter':
        return loadAdapter(order);
      case 'set-role':
        return setRole(order);
    }
  };

  const order = (given: EngineOrder): Either<OnyxError, void> => {
    if (options.honoursFence && given.fence < fence) {
      const message =
        `order ${given.orderId} carries fencing number ${given.fence}, ` +
        `older than ${fence}`;
      const peer = options.name;
      return Left(new OnyxError({code: 'stale', step: 'order', peer, message}));
    }
    fence = Math.max(fence, given.fence);
    if (orderIds.includes(given.orderId)) return Right(undefined);
    orderIds.push(given.orderId);
    if (orderIds.length > ORDERS_REMEMBERED) orderIds.shift();
    carryOut(given);
    return Right(undefined);
  };

  const reset = () => {
    epoch += 1;
    fence = 0;
    role = 'mixed';
    orderIds = [];
    models = options.models.map(({model, version, adapters}) => {
      return {model, version, adapters: adapters ?? [], ready: true, role};
    });
  };

  reset();
  return {
    order,
    lacks: (model, adapter) => {
      const ready = models.filter(
        state => state.model === model && state.ready,
      );
      if (ready.length === 0) return `model ${model} is not ready here`;
      if (adapter === '') return undefined;
      if (ready.some(state => state.adapters.includes(adapter)))
        return undefined;
      return `adapter ${adapter} of model ${model} is not loaded here`;
    },
    states: () => models,
    reset,
  };
}
