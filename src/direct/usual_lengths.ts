/** Learns the usual prompt of each route, by which its requests are weighed. */
import {weightOf} from './choose_engines.js';

/** Share of a new prompt in the running mean. */
const NEWEST_SHARE = 0.05;
/** Routes that are remembered; the oldest goes first. */
const MOST_ROUTES = 500;

export interface UsualLengths {
  /** Enters a request and tells what its lateness costs. */
  weigh(route: string, promptTokens: number): number;
}

export function createUsualLengths(): UsualLengths {
  const means = new Map<string, number>();
  return {
    weigh: (route, promptTokens) => {
      const before = means.get(route) ?? promptTokens;
      const mean = before + NEWEST_SHARE * (promptTokens - before);
      means.delete(route);
      means.set(route, mean);
      const oldest = means.keys().next().value;
      if (means.size > MOST_ROUTES && oldest !== undefined) {
        means.delete(oldest);
      }
      return weightOf(promptTokens, mean);
    },
  };
}
