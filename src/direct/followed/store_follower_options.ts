/** What the service that follows the store is told at its creation. */
import type {DirectStore} from '../types.js';

export interface StoreFollowerOptions {
  /** Name of this entry. */
  readonly node: string;
  readonly store: DirectStore;
  /**
   * Age of the evidence, in milliseconds, from which on the entry is not ready.
   */
  readonly maxReadyAgeMs: number;
  /** How long a replica that is shutting down still serves, in milliseconds. */
  readonly leavingMs: number;
  /** See `timing.evacuateMs` of the settings. */
  readonly evacuateMs: number | undefined;
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
}
