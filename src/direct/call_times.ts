/**
 * How long a call at a plain service usually takes, learned by service. Nothing
 * on the platform publishes it, and it is the measure by which one replica is
 * told to be slow and a queue to be long.
 */

/** Share of the newest call in the running mean. */
const NEWEST_SHARE = 0.05;
/** Taken for a service that has not been called yet; soon learned over. */
const UNKNOWN_MS = 50;
/** Services that are remembered; the oldest goes first. */
const MOST_SERVICES = 200;

export interface CallTimes {
  meanMs(service: string): number;
  record(service: string, ms: number): void;
}

export function createCallTimes(): CallTimes {
  const means = new Map<string, number>();
  return {
    meanMs: service => means.get(service) ?? UNKNOWN_MS,
    record: (service, ms) => {
      const before = means.get(service) ?? ms;
      means.set(service, before + NEWEST_SHARE * (ms - before));
      const oldest = means.keys().next().value;
      if (means.size > MOST_SERVICES && oldest !== undefined) {
        means.delete(oldest);
      }
    },
  };
}
