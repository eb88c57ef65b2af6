/**
 * The entries that grant permits, and which of them is the home of a replica.
 * The home is found by hashing over the live entries, so it changes with them.
 */
import {createHash} from 'node:crypto';
import type {Clock} from '../../types/runtime.js';
import {createRendezvous} from '../../utils/rendezvous_hashing.js';

/**
 * Time from a change of the live entries until a new home grants. It is longer
 * than the heartbeat between entries, by which the earlier home notices.
 */
const TAKEOVER_MS = 1_500;
/**
 * Time for which an entry that fell silent counts in the share of a cold
 * replica's limit that a cut-off part of the fleet grants, in milliseconds. Two
 * parts that each granted all of it would exceed the bound on cold replicas.
 */
const KNOWN_KEPT_MS = 60_000;

// The hash of `utils/digest.ts` is initialised by a top-level await, which a
// bundle in CommonJS format cannot hold.
const rendezvous = createRendezvous(text =>
  createHash('sha1').update(text).digest('hex'),
);

/** The entries that grant permits, as this entry sees them. */
export interface GrantingEntries {
  /** Names of the live ones, including this entry unless it is draining. */
  readonly live: readonly string[];
  /** Number of them and of those that fell silent a short time ago. */
  readonly known: number;
}

/** The entries that were alive until a time. */
interface EarlierEntries {
  readonly live: ReadonlySet<string>;
  readonly until: number;
}

export interface GrantingEntryTable {
  /** Returns true if other entries are alive now than before. */
  set(entries: GrantingEntries): boolean;
  /** Name of the home of the replica with this key. */
  homeOf(key: string): string;
  /**
   * When an earlier home of the replica has noticed that it is no longer the
   * home. Entries that were never its home do not delay the takeover, also when
   * many restart one after another.
   */
  takenOverAt(key: string): number;
  /** Number of known entries. */
  known(): number;
  /** Most entries that were known at a time within `KNOWN_KEPT_MS`. */
  mostKnown(): number;
  /** Share of the granting entries that this one reaches. */
  reachableShare(known: number): number;
}

/** Until the first `set`, the entry with the name `node` is the only one. */
export function createGrantingEntries(
  clock: Clock,
  node: string,
): GrantingEntryTable {
  let entries: GrantingEntries = {live: [node], known: 1};
  /**
   * The entries that were alive before the latest changes. Those before this
   * entry's start are not known; it was not a home then.
   */
  let earlierEntries: readonly EarlierEntries[] = [
    {live: new Set(), until: clock.now()},
  ];
  /** Numbers of known entries, and when they were last counted. */
  const knownCounts = new Map<number, number>();
  const homes = new Map<string, string>();

  return {
    set: next => {
      const isSame = next.live.join() === entries.live.join();
      const now = clock.now();
      knownCounts.set(entries.known, now);
      const before = {live: new Set(entries.live), until: now};
      entries = next;
      if (isSame) return false;
      earlierEntries = [
        ...earlierEntries.filter(({until}) => until + TAKEOVER_MS > now),
        before,
      ];
      homes.clear();
      return true;
    },
    homeOf: key => {
      const known = homes.get(key);
      if (known !== undefined) return known;
      const nodes = entries.live.map(id => ({id}));
      const home = rendezvous.first(key, nodes)?.id ?? node;
      homes.set(key, home);
      return home;
    },
    takenOverAt: key => {
      const now = clock.now();
      const recent = earlierEntries.filter(
        ({until}) => until + TAKEOVER_MS > now,
      );
      const names = new Set(recent.flatMap(({live}) => [...live]));
      const ranksHigher = (id: string) =>
        rendezvous.first(key, [{id: node}, {id}])?.id !== node;
      const higher = [...names].filter(id => id !== node && ranksHigher(id));
      /** Times at which another entry was the home. */
      const withOtherHome = recent.filter(
        ({live}) => !live.has(node) || higher.some(id => live.has(id)),
      );
      const endedAt = withOtherHome.map(({until}) => until);
      return Math.max(-Infinity, ...endedAt) + TAKEOVER_MS;
    },
    known: () => entries.known,
    mostKnown: () => {
      const now = clock.now();
      for (const [count, at] of knownCounts) {
        if (now - at > KNOWN_KEPT_MS) knownCounts.delete(count);
      }
      return Math.max(entries.known, ...knownCounts.keys());
    },
    reachableShare: known =>
      Math.min(1, Math.max(1, entries.live.length) / Math.max(1, known)),
  };
}
