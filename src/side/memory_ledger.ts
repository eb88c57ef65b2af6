/**
 * Who holds how much of the engine's memory, in tokens. The engine's own
 * report lags, so the side counts for itself: what it has handed out is held
 * until the engine has confirmed its release.
 */
import type {DispatchId} from '../types/ids.js';
import type {Invariant} from '../types/runtime.js';

export interface MemoryLedger {
  reserve(dispatchId: DispatchId, tokens: number): void;
  /** Right also for an id that holds nothing. */
  release(dispatchId: DispatchId): void;
  holds(dispatchId: DispatchId): boolean;
  holders(): readonly DispatchId[];
  reserved(): number;
  capacity(): number;
  free(): number;
  setCapacity(tokens: number): void;
}

export function createMemoryLedger(invariant: Invariant): MemoryLedger {
  const held = new Map<DispatchId, number>();
  let reservedTokens = 0;
  let capacityTokens = 0;

  return {
    reserve: (dispatchId, tokens) => {
      invariant(!held.has(dispatchId), 'memory-reserved-once', {dispatchId});
      held.set(dispatchId, tokens);
      reservedTokens += tokens;
      invariant(reservedTokens <= capacityTokens, 'memory-within-capacity', {
        sum: reservedTokens,
        capacity: capacityTokens,
      });
    },
    release: dispatchId => {
      const tokens = held.get(dispatchId);
      if (tokens === undefined) return;
      held.delete(dispatchId);
      reservedTokens -= tokens;
      invariant(reservedTokens >= 0, 'memory-not-negative', {
        sum: reservedTokens,
      });
    },
    holds: dispatchId => held.has(dispatchId),
    holders: () => [...held.keys()],
    reserved: () => reservedTokens,
    capacity: () => capacityTokens,
    free: () => Math.max(0, capacityTokens - reservedTokens),
    setCapacity: tokens => {
      capacityTokens = tokens;
    },
  };
}
