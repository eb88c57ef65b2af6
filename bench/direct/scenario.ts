/** Scenarios of the modelled fleet, and those that come with it. */
import type {PoolEngineFigures} from '../../standins/pool_engine.js';
import type {Burst, LoadKind} from './load.js';

export interface Scenario {
  readonly name: string;
  readonly lengthS: number;
  readonly entries: number;
  readonly engines: number;
  readonly failureDomains: number;
  readonly figures: PoolEngineFigures;
  readonly wayMs: number;
  readonly lossShare: number;
  readonly kinds: readonly LoadKind[];
  readonly bursts: readonly Burst[];
  /** Engines that fall silent and start again. */
  readonly darkened: readonly Outage[];
  /** Entries whose process is gone for a while. */
  readonly killed: readonly Outage[];
}

export interface Outage {
  readonly index: number;
  readonly atS: number;
  readonly forS: number;
}
