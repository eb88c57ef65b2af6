/**
 * The failure domains that operators have evacuated. Nothing more is sent to
 * the replicas of such a domain; requests that run there continue to their end.
 * The records in the platform's store are authoritative, and this is the
 * front's copy.
 *
 * Each choice of a replica checks every candidate, hundreds of times a second
 * for hundreds of replicas. So a check takes two look-ups, and none while no
 * domain is evacuated.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';

/** Most domains that are reported one by one; a region has fewer. */
const MAX_REPORTED = 16;

/** What an operator sees of one evacuation at this entry. */
export interface EvacuationReading {
  readonly failureDomain: string;
  /** Time in milliseconds since this entry learned of it. */
  readonly ageMs: number;
  /**
   * Time in milliseconds since this entry last sent a request there, undefined
   * if it sent none since its start.
   */
  readonly lastSentMs: number | undefined;
  /** Requests of this entry that run there. */
  readonly running: number;
}

export interface Evacuations {
  /** Replaces the set of evacuated domains. */
  replaceAll(domains: ReadonlySet<string>): void;
  /** Whether the replica is in an evacuated domain. */
  isEvacuated(replicaId: string): boolean;
  /** Records that a request is sent to the replica. */
  sent(replicaId: string): void;
  /** Calls `onBegan` whenever further domains are evacuated. */
  watchBegan(onBegan: () => void): void;
  /** Number of evacuated domains. */
  count(): number;
  /**
   * The evacuations, up to a bound. Logs once for each when nothing of this
   * entry runs there any more.
   */
  readings(): readonly EvacuationReading[];
}

export interface EvacuationsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Failure domain of a replica; undefined where it is not known. */
  domainOf(replicaId: string): string | undefined;
  /** Number of replicas in the domain; undefined while none is known at all. */
  replicasIn(failureDomain: string): number | undefined;
  /** Number of this entry's requests that run in the domain. */
  runningIn(failureDomain: string): number;
  /** Called when an evacuation ends. */
  onEnded(failureDomain: string): void;
}

interface Evacuation {
  /** On this process's clock, in milliseconds. */
  readonly beganAt: number;
  isDrained: boolean;
}

export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const {clock, log} = options;
  const evacuated = new Map<string, Evacuation>();
  /** When this entry last sent a request to each domain, in milliseconds. */
  const sentAt = new Map<string, number>();
  const watchers: Array<() => void> = [];

  const lastSentMs = (failureDomain: string): number | undefined => {
    const at = sentAt.get(failureDomain);
    return at === undefined ? undefined : Math.round(clock.now() - at);
  };
  const begin = (failureDomain: string): void => {
    evacuated.set(failureDomain, {beganAt: clock.now(), isDrained: false});
    log(DIRECT_EVENTS.evacuationBegan, {
      failureDomain,
      replicas: options.replicasIn(failureDomain),
      running: options.runningIn(failureDomain),
    });
  };
  const end = (failureDomain: string, {beganAt}: Evacuation): void => {
    evacuated.delete(failureDomain);
    const afterMs = Math.round(clock.now() - beganAt);
    log(DIRECT_EVENTS.evacuationEnded, {failureDomain, afterMs});
    options.onEnded(failureDomain);
  };
  const logDrained = (failureDomain: string, evacuation: Evacuation): void => {
    evacuation.isDrained = true;
    log(DIRECT_EVENTS.evacuationDrained, {
      failureDomain,
      afterMs: Math.round(clock.now() - evacuation.beganAt),
      lastSentMs: lastSentMs(failureDomain),
    });
  };

  return {
    replaceAll: domains => {
      for (const [failureDomain, evacuation] of [...evacuated]) {
        if (!domains.has(failureDomain)) end(failureDomain, evacuation);
      }
      const begun = [...domains].filter(it => !evacuated.has(it));
      begun.forEach(begin);
      if (begun.length > 0) for (const onBegan of watchers) onBegan();
    },
    isEvacuated: replicaId => {
      if (evacuated.size === 0) return false;
      const failureDomain = options.domainOf(replicaId);
      return failureDomain !== undefined && evacuated.has(failureDomain);
    },
    sent: replicaId => {
      const failureDomain = options.domainOf(replicaId);
      if (failureDomain !== undefined) sentAt.set(failureDomain, clock.now());
    },
    watchBegan: onBegan => void watchers.push(onBegan),
    count: () => evacuated.size,
    readings: () =>
      [...evacuated]
        .slice(0, MAX_REPORTED)
        .map(([failureDomain, evacuation]) => {
          const running = options.runningIn(failureDomain);
          if (running === 0 && !evacuation.isDrained) {
            logDrained(failureDomain, evacuation);
          }
          return {
            failureDomain,
            ageMs: Math.round(clock.now() - evacuation.beganAt),
            lastSentMs: lastSentMs(failureDomain),
            running,
          };
        }),
  };
}
