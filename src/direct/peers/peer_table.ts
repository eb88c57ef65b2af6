/** The peers (other entries) that an entry knows, and when each was heard. */
import type {Clock} from '../../types/runtime.js';
import type {GrantingEntries} from '../limits/granting_entries.js';
import type {EntryAddress} from '../types.js';

/**
 * Silence in milliseconds after which a peer in the same failure domain is no
 * longer counted as alive.
 */
const SAME_DOMAIN_SILENCE_MS = 1_500;
/**
 * The same for another failure domain, where heartbeats are three times as far
 * apart.
 */
const OTHER_DOMAIN_SILENCE_MS = 3_500;

export interface Peer {
  entry: EntryAddress;
  heardAt: number;
  /** Sequence number of its last load datagram; 0 before the first. */
  seq: number;
  /** How many datagrams with this entry's address were sent to it, and when. */
  addressesSent: number;
  addressSentAt: number;
}

export interface PeerTableOptions {
  readonly clock: Clock;
  readonly self: EntryAddress;
  /** A peer was found, or a new incarnation of one. */
  onFound(entry: EntryAddress): void;
}

export interface PeerTable {
  /**
   * Adds a peer, or a new incarnation of it. Returns the peer, or undefined for
   * this entry itself.
   */
  add(entry: EntryAddress): Peer | undefined;
  get(node: string): Peer | undefined;
  remove(node: string): void;
  all(): readonly Peer[];
  live(): readonly Peer[];
  /** Names of the peers that have been silent for so long, in milliseconds. */
  silentFor(ms: number): readonly string[];
  isSameDomain(entry: EntryAddress): boolean;
  /** Silence after which a peer no longer counts as alive, in milliseconds. */
  silenceLimitMs(entry: EntryAddress): number;
  /** Entries that grant permits; those that drain do not. */
  grantingEntries(isDraining: boolean): GrantingEntries;
}

export function createPeerTable(options: PeerTableOptions): PeerTable {
  const {clock, self, onFound} = options;
  const peers = new Map<string, Peer>();
  const isSameDomain = ({failureDomain}: EntryAddress) =>
    failureDomain === self.failureDomain;
  const silenceLimitMs = (entry: EntryAddress) =>
    isSameDomain(entry) ? SAME_DOMAIN_SILENCE_MS : OTHER_DOMAIN_SILENCE_MS;
  const isAlive = ({entry, heardAt}: Peer) =>
    clock.now() - heardAt < silenceLimitMs(entry);

  return {
    add: entry => {
      if (entry.node === self.node) return undefined;
      const known = peers.get(entry.node);
      if (known?.entry.incarnation === entry.incarnation) return known;
      const peer: Peer = {
        entry,
        heardAt: clock.now(),
        seq: 0,
        addressesSent: 0,
        addressSentAt: Number.NEGATIVE_INFINITY,
      };
      peers.set(entry.node, peer);
      onFound(entry);
      return peer;
    },
    get: node => peers.get(node),
    remove: node => void peers.delete(node),
    all: () => [...peers.values()],
    live: () => [...peers.values()].filter(isAlive),
    silentFor: ms =>
      [...peers]
        .filter(([, {heardAt}]) => clock.now() - heardAt >= ms)
        .map(([node]) => node),
    isSameDomain,
    silenceLimitMs,
    grantingEntries: isDraining => {
      const others = [...peers.values()].filter(it => it.entry.grantsPermits);
      const own = isDraining ? [] : [self.node];
      const live = others.filter(isAlive).map(({entry}) => entry.node);
      return {
        live: [...own, ...live].sort(),
        known: own.length + others.length,
      };
    },
  };
}
