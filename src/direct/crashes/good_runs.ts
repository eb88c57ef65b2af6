/**
 * Remembers what ran well while it is no suspect: requests with the number of
 * their runs, and parts of prompts. Both are bounded, and what ran well longest
 * ago is dropped first.
 *
 * A run may seem to end well and crash its replica a moment later, so a run
 * proves a part only when the replica was found alive afterwards. That is looked
 * up when it matters, which saves a connection for each part.
 */
import type {Clock} from '../../types/runtime.js';
import type {DirectReplica} from '../types.js';

/** Time for which successful runs are remembered, in milliseconds. */
const KEPT_MS = 60_000;
const MAX_REQUESTS = 1_000;
/** Parts are few and shared by many requests. */
const MAX_PARTS = 4_000;
/** Replicas that are kept of a part's runs; some of them may have ended since. */
const MAX_REPLICAS_PER_PART = 4;

/** The replica of a run, as far as it has to be found again. */
export type RunReplica = Pick<DirectReplica, 'id' | 'address'>;

/** The last run with a part that seemed to end well at a replica. */
export interface PartRun {
  readonly replica: RunReplica;
}

export interface GoodRuns {
  addRequest(digest: string): void;
  /** Number of the request's runs; they are forgotten here. */
  takeRequest(digest: string): number;
  /** A run with the part seemed to end well at the replica. */
  addPartRun(digest: string, replica: RunReplica): void;
  /** The last runs that seemed to end well, one a replica, the newest first. */
  lastPartRuns(digest: string): readonly PartRun[];
  /** None of the replicas is known to have survived these runs. */
  forgetPartRuns(digest: string, runs: readonly PartRun[]): void;
  /** A run with the part ended well, and its replica was alive afterwards. */
  provePart(digest: string): void;
  /** Whether the part was proven lately. */
  isProven(digest: string): boolean;
}

interface RequestRuns {
  readonly count: number;
  readonly at: number;
}

interface PartRuns {
  readonly runs: readonly PartRun[];
  readonly at: number;
}

interface Proof {
  readonly at: number;
}

export function createGoodRuns(clock: Clock): GoodRuns {
  /** By digest, the newest last; so are the others. */
  const requests = new Map<string, RequestRuns>();
  const partRuns = new Map<string, PartRuns>();
  const proofs = new Map<string, Proof>();

  const findCurrent = <T extends {readonly at: number}>(
    runs: ReadonlyMap<string, T>,
    digest: string,
  ): T | undefined => {
    const known = runs.get(digest);
    if (known === undefined || clock.now() - known.at > KEPT_MS) {
      return undefined;
    }
    return known;
  };
  const setNewest = <T>(
    runs: Map<string, T>,
    digest: string,
    value: T,
    max: number,
  ): void => {
    runs.delete(digest);
    runs.set(digest, value);
    const [oldest] = runs.keys();
    if (runs.size > max) runs.delete(oldest);
  };
  const countRequest = (digest: string): number =>
    findCurrent(requests, digest)?.count ?? 0;
  const lastPartRuns = (digest: string): readonly PartRun[] =>
    findCurrent(partRuns, digest)?.runs ?? [];

  return {
    takeRequest: digest => {
      const count = countRequest(digest);
      requests.delete(digest);
      return count;
    },
    addRequest: digest => {
      const count = countRequest(digest) + 1;
      setNewest(requests, digest, {count, at: clock.now()}, MAX_REQUESTS);
    },
    addPartRun: (digest, replica) => {
      const others = lastPartRuns(digest).filter(
        run => run.replica.id !== replica.id,
      );
      const runs = [{replica}, ...others].slice(0, MAX_REPLICAS_PER_PART);
      setNewest(partRuns, digest, {runs, at: clock.now()}, MAX_PARTS);
    },
    lastPartRuns,
    forgetPartRuns: (digest, forgotten) => {
      const known = partRuns.get(digest);
      if (known === undefined) return;
      const runs = known.runs.filter(run => !forgotten.includes(run));
      if (runs.length === 0) partRuns.delete(digest);
      else partRuns.set(digest, {...known, runs});
    },
    provePart: digest =>
      setNewest(proofs, digest, {at: clock.now()}, MAX_PARTS),
    isProven: digest => findCurrent(proofs, digest) !== undefined,
  };
}
