/** Loads and faults under which the policies are measured. */
import type {ReportFault} from './policy_fleet.js';

export interface Scenario {
  readonly name: string;
  /** Share of the measured capacity. */
  readonly load: number;
  readonly loseHalf: boolean;
  readonly reports: ReportFault;
  /** Ours less each part too, not only the baselines and ours. */
  readonly allVariants: boolean;
}

const PLAIN = {loseHalf: false, reports: 'none', allVariants: false} as const;

export const SCENARIOS: readonly Scenario[] = [
  {...PLAIN, name: '80%', load: 0.8, allVariants: true},
  {...PLAIN, name: '100%', load: 1},
  {...PLAIN, name: '125%', load: 1.25},
  {...PLAIN, name: '150%', load: 1.5},
  {...PLAIN, name: 'half lost', load: 0.8, loseHalf: true},
  {...PLAIN, name: 'old reports', load: 0.8, reports: 'old'},
  {...PLAIN, name: 'silent reports', load: 0.8, reports: 'silent'},
];
