/**
 * Decides which loads of an entry are sent to another failure domain: all of
 * them at intervals, and in between only those that changed. Most of an entry's
 * load stays the same from one datagram to the next.
 *
 * Each changed load is complete and is sent twice, so the loss of one datagram
 * changes nothing. After the loss of several, the next complete report makes up
 * for them.
 */
import type {Clock} from '../../types/runtime.js';
import {emptyLoad} from '../replica_load.js';
import type {PeerLoad, ReplicaLoad} from '../replica_load.js';
import {MAX_LOADS, hashedLoads} from './compact_load.js';

/** Time between complete reports to one domain, in milliseconds. */
const WHOLE_INTERVAL_MS = 2_000;
/** Number of datagrams to one domain that contain a change. */
const SENDS_OF_CHANGE = 2;

/** Loads for peers that read the compact format. */
export interface CompactReport {
  readonly loads: readonly PeerLoad[];
  /** Whether these are all loads of this entry. */
  readonly isWhole: boolean;
}

interface Domain {
  /** Number of times that a changed load is still to be sent, by its hash. */
  readonly unsent: Map<number, number>;
  wholeAt: number;
}

export interface LoadDeltas {
  /**
   * Sets the complete load. Returns the hashes of the replicas that changed.
   */
  set(loads: readonly ReplicaLoad[]): ReadonlySet<number>;
  whole(): CompactReport;
  /** A peer in the domain was found, which has received nothing yet. */
  peerFound(domain: string | undefined): void;
  /** What is to be sent to the domain next; it counts as sent. */
  nextFor(domain: string | undefined): CompactReport;
}

export function createLoadDeltas(clock: Clock): LoadDeltas {
  const domains = new Map<string | undefined, Domain>();
  let loads: ReadonlyMap<number, PeerLoad> = new Map();
  let signatures: ReadonlyMap<number, string> = new Map();

  const whole = (): CompactReport => ({
    loads: [...loads.values()],
    isWhole: true,
  });
  const changesOf = (domain: Domain): CompactReport => {
    const changed = [...domain.unsent.keys()].map(
      hash => loads.get(hash) ?? {...emptyLoad(''), replicaId: hash},
    );
    return {loads: changed, isWhole: false};
  };
  return {
    set: own => {
      loads = hashedLoads(own);
      const before = signatures;
      signatures = new Map(
        [...loads].map(([hash, load]) => [hash, signatureOf(load)]),
      );
      const changed = new Set(
        [...signatures.keys(), ...before.keys()].filter(
          hash => signatures.get(hash) !== before.get(hash),
        ),
      );
      for (const {unsent} of domains.values())
        for (const hash of changed) unsent.set(hash, SENDS_OF_CHANGE);
      return changed;
    },
    whole,
    peerFound: domain => void domains.delete(domain),
    nextFor: name => {
      const domain = domains.get(name) ?? {
        unsent: new Map(),
        wholeAt: Number.NEGATIVE_INFINITY,
      };
      domains.set(name, domain);
      // A datagram holds so many loads, and would lack some that are empty now.
      const isTooLong = domain.unsent.size > MAX_LOADS;
      const isWholeDue =
        isTooLong || clock.now() - domain.wholeAt >= WHOLE_INTERVAL_MS;
      const report = isWholeDue ? whole() : changesOf(domain);
      if (isWholeDue) domain.wholeAt = clock.now();
      for (const [hash, left] of domain.unsent) {
        if (left > 1) domain.unsent.set(hash, left - 1);
        else domain.unsent.delete(hash);
      }
      return report;
    },
  };
}

/**
 * Equal for equal requests at a replica. Times are left out: they pass by
 * themselves, and a receiver counts them down.
 */
function signatureOf({running, tokens, readers, writers}: PeerLoad): string {
  const weights = readers.map(({weight}) => weight);
  const groups = writers.map(it => [it.pauseAimMs, it.weight]);
  return JSON.stringify([running, tokens, weights, groups]);
}
