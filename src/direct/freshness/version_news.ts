/**
 * Logs how a version of the configuration reaches this entry: when a peer
 * (another entry) first named it, and when and from where it was read. Together
 * with the line of its adoption this shows which step of a late version took
 * long.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';

/** Source of what an own call to the store showed. */
export const OWN_CALL = 'store';

export interface VersionNewsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called once for each version that a peer names before it is read here. */
  onHeard(version: number, from: string): void;
}

/** What a peer's answer says about the configuration. */
export interface NamedVersion {
  readonly configVersion?: number;
  readonly evidenceAgeMs?: number;
  readonly node: string;
}

export interface VersionNews {
  /** A peer named its version. */
  heard(answer: NamedVersion): void;
  /**
   * A newer version was read by a call that was sent at `sentAt`, on this
   * process's clock. `from` is `OWN_CALL` or the name of a peer.
   */
  fetched(version: number, from: string, sentAt: number): void;
}

export function createVersionNews({
  clock,
  log,
  onHeard,
}: VersionNewsOptions): VersionNews {
  let newest = Number.NEGATIVE_INFINITY;
  let heardAt: number | undefined;

  return {
    heard: ({configVersion, evidenceAgeMs, node}) => {
      if (configVersion === undefined || configVersion <= newest) return;
      newest = configVersion;
      heardAt ??= clock.now();
      log(DIRECT_EVENTS.configHeard, {
        version: configVersion,
        entry: node,
        evidenceAgeMs: evidenceAgeMs && Math.round(evidenceAgeMs),
      });
      onHeard(configVersion, node);
    },
    fetched: (version, from, sentAt) => {
      const now = clock.now();
      log(DIRECT_EVENTS.configFetched, {
        version,
        from,
        tookMs: Math.round(now - sentAt),
        sinceHeardMs:
          heardAt === undefined ? undefined : Math.round(now - heardAt),
      });
      if (version < newest) return;
      newest = version;
      heardAt = undefined;
    },
  };
}
