/**
 * Accounts for the engine's memory, in tokens, by dispatch. The engine's own
 * report lags, so the side counts the memory that it has reserved. A started
 * run's memory stays reserved until the run ends or the engine confirms its
 * release.
 */
import type {DispatchId} from '../types/ids.js';
import type {Invariant} from '../types/runtime.js';

/** Reservations of the engine's memory; all amounts are in tokens. */
export interface MemoryLedger {
  /** Reserves memory for a dispatch that holds none yet. */
  reserve(dispatchId: DispatchId, tokens: number): void;
  /** Releases a dispatch's memory; does nothing if it holds none. */
  release(dispatchId: DispatchId): void;
  holds(dispatchId: DispatchId): boolean;
  /** The dispatches that hold memory. */
  holders(): readonly DispatchId[];
  /** Sum of all reservations. */
  reserved(): number;
  /** Memory of the engine; 0 until its first report. */
  capacity(): number;
  /** Capacity less reservations, at least 0. */
  free(): number;
  setCapacity(tokens: number): void;
}

/** Creates a ledger without capacity; broken rules go to `invariant`. */
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
