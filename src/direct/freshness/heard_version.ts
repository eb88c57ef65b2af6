/**
 * Keeps the newest version of the configuration that a peer (another entry)
 * named, so that a refusal can say whether this entry knew of a newer version
 * than the one that it applied.
 */
import type {Clock} from '../../types/runtime.js';

/** Fields of a log line; all undefined where no newer version is known. */
export interface HeardFields {
  readonly heardVersion?: number;
  readonly heardFrom?: string;
  readonly heardAgoMs?: number;
}

export interface HeardVersion {
  /** The peer `from` named `version`. */
  heard(version: number, from: string): void;
  /** What was heard of a version newer than `applied`. */
  fields(applied: number | undefined): HeardFields;
}

export function createHeardVersion(clock: Clock): HeardVersion {
  let newest: {version: number; from: string; at: number} | undefined;
  return {
    heard: (version, from) => {
      if (newest !== undefined && version <= newest.version) return;
      newest = {version, from, at: clock.now()};
    },
    fields: applied =>
      newest === undefined || newest.version <= (applied ?? -Infinity)
        ? {}
        : {
            heardVersion: newest.version,
            heardFrom: newest.from,
            heardAgoMs: Math.round(clock.now() - newest.at),
          },
  };
}
