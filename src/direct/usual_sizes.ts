/** Learns the usual size of each route's requests, by which they are weighed. */
import {weightOf} from './choose_engines.js';

/** Share of a new request in the running mean. */
const NEWEST_SHARE = 0.05;
/** Routes that are remembered; the oldest goes first. */
const MOST_ROUTES = 500;

export interface UsualSizes {
  /** Enters a request and tells what its lateness costs. */
  weigh(route: string, size: number): number;
}

export function createUsualSizes(): UsualSizes {
  const means = new Map<string, number>();
  return {
    weigh: (route, size) => {
      const before = means.get(route) ?? size;
      const mean = before + NEWEST_SHARE * (size - before);
      means.delete(route);
      means.set(route, mean);
      const oldest = means.keys().next().value;
      if (means.size > MOST_ROUTES && oldest !== undefined) {
        means.delete(oldest);
      }
      return weightOf(size, mean);
    },
  };
}
