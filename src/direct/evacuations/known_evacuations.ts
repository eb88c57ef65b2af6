/**
 * The evacuations that are in force as far as the store has shown, with a
 * digest by which entries find out whether they know the same ones. The store
 * may be restored, answer in part or not answer at all while a domain is
 * evacuated, so an evacuation ends only on evidence. This module has no timers
 * and makes no calls.
 */
import {createHash} from 'node:crypto';
import {REWRITE_GRACE_MS} from '../config_proof.js';

/** Why an evacuation that a list lacks stays in force. */
export type KeptCause = 'partial list' | 'store restored';

/** What a list of the store shows. */
export interface EvacuationList {
  readonly domains: ReadonlySet<string>;
  /** Part of the list could not be read. */
  readonly isPartial: boolean;
  /**
   * The store may have been restored from an older copy since the last list.
   * The operators then repeat what was lost within `REWRITE_GRACE_MS`.
   */
  readonly mayBeRestored: boolean;
}

export interface KnownEvacuations {
  /** Whether the store or a peer has shown the evacuations yet. */
  isKnown(): boolean;
  /**
   * Takes a list. Returns the evacuations that it lacks and that stay in force,
   * without those that an earlier list lacked as well.
   */
  listed(list: EvacuationList, now: number): ReadonlyMap<string, KeptCause>;
  /** Applies changes by domain; false ends the evacuation. */
  changed(changes: ReadonlyMap<string, boolean>): void;
  /** Takes what a peer knows in place of all that is known. */
  taken(domains: ReadonlySet<string>): void;
  /** Ends the evacuations that operators did not repeat in time. */
  dropExpired(now: number): void;
  /** The domains in force; a new set after each change. */
  domains(): ReadonlySet<string>;
  /** Undefined until the evacuations are known. */
  digest(): string | undefined;
}

export function createKnownEvacuations(): KnownEvacuations {
  let stored: ReadonlySet<string> = new Set();
  /** Until when evacuations that a restored store lacks stay in force. */
  const keptUntil = new Map<string, number>();
  /** Evacuations that the newest list lacked, if that was partial. */
  let unlisted: ReadonlySet<string> = new Set();
  let isKnown = false;

  const domains = (): ReadonlySet<string> =>
    new Set([...stored, ...keptUntil.keys()]);

  return {
    isKnown: () => isKnown,
    listed: ({domains: listed, isPartial, mayBeRestored}, now) => {
      const missing = [...stored].filter(it => !listed.has(it));
      isKnown = true;
      stored = new Set(isPartial ? [...listed, ...missing] : listed);
      for (const domain of listed) keptUntil.delete(domain);
      if (isPartial) {
        const added = missing.filter(it => !unlisted.has(it));
        unlisted = new Set(missing);
        return new Map(added.map(domain => [domain, 'partial list']));
      }
      unlisted = new Set();
      if (!mayBeRestored) return new Map();
      for (const domain of missing) {
        keptUntil.set(domain, now + REWRITE_GRACE_MS);
      }
      return new Map(missing.map(domain => [domain, 'store restored']));
    },
    changed: changes => {
      const next = new Set(stored);
      for (const [domain, isEvacuated] of changes) {
        keptUntil.delete(domain);
        if (isEvacuated) next.add(domain);
        else next.delete(domain);
      }
      stored = next;
    },
    taken: taken => {
      isKnown = true;
      stored = new Set(taken);
      keptUntil.clear();
    },
    dropExpired: now => {
      for (const [domain, until] of keptUntil) {
        if (now >= until) keptUntil.delete(domain);
      }
    },
    domains,
    digest: () => (isKnown ? digestOf(domains()) : undefined),
  };
}

/** Equal for equal sets of domains. */
function digestOf(domains: ReadonlySet<string>): string {
  return createHash('sha1')
    .update(JSON.stringify([...domains].sort()))
    .digest('base64');
}
