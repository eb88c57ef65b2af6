/** The entries that limits count with, and the home of each organisation. */
import type {Address, NodeId, OrganisationId} from '../types/ids.js';
import type {EntryPeer} from '../types/services.js';
import {rendezvousFirst} from '../utils/rendezvous.js';

/** Identity of this entry. */
export interface Self {
  readonly node: NodeId;
  readonly address: Address;
}

/** The home of an organisation: the entry that grants its limits. */
export interface Home {
  readonly address: Address;
  /** True when this entry is the home. */
  readonly isHere: boolean;
}

/** The entries known at one time, and the homes that follow from them. */
export interface EntrySet {
  /** The home of an organisation. */
  homeOf(organisation: OrganisationId): Home;
  /** Number of entries that are not known to be gone, this one included. */
  size(): number;
  /**
   * Share of these entries that are not suspect, above 0 and at most 1. A home
   * on this entry serves only the entries that it reaches.
   */
  reachableShare(): number;
  /** False when the entry is known to be gone. */
  isPresent(entry: NodeId): boolean;
  /**
   * Time when the entries that can be a home last changed, in milliseconds on
   * this process's clock.
   */
  readonly changedAt: number;
}

/** An entry that can be a home. */
interface HomeCandidate {
  readonly id: NodeId;
  readonly address: Address;
}

function haveSameNodes(
  a: readonly HomeCandidate[],
  b: readonly HomeCandidate[],
): boolean {
  return (
    a.length === b.length && a.every((entry, index) => entry.id === b[index].id)
  );
}

/** Chooses homes by rendezvous hashing, and caches them. */
class RendezvousEntrySet implements EntrySet {
  private readonly homes = new Map<OrganisationId, Home>();

  constructor(
    private readonly self: Self,
    readonly candidates: readonly HomeCandidate[],
    private readonly reachableCount: number,
    private readonly known: ReadonlySet<NodeId>,
    readonly changedAt: number,
  ) {}

  homeOf(organisation: OrganisationId): Home {
    const known = this.homes.get(organisation);
    if (known !== undefined) return known;
    const best = rendezvousFirst(`limits ${organisation}`, this.candidates);
    const address = best?.address ?? this.self.address;
    const home = {address, isHere: address === this.self.address};
    this.homes.set(organisation, home);
    return home;
  }

  size(): number {
    return this.known.size;
  }

  reachableShare(): number {
    return this.reachableCount / this.known.size;
  }

  isPresent(entry: NodeId): boolean {
    return this.known.has(entry);
  }
}

/**
 * Creates the set that replaces `previous`. It takes over the time of the last
 * change when the candidates are the same.
 */
export function createEntrySet(
  self: Self,
  peers: readonly EntryPeer[],
  now: number,
  previous?: EntrySet,
): EntrySet {
  const candidates = peers
    .filter(peer => peer.state === 'live' && peer.node !== self.node)
    .map(peer => ({id: peer.node, address: peer.address}))
    .concat({id: self.node, address: self.address})
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const known = peers.filter(
    peer => peer.state !== 'gone' && peer.node !== self.node,
  );
  const reachable = known.filter(peer => peer.state !== 'suspect');
  const isSame =
    previous instanceof RendezvousEntrySet &&
    haveSameNodes(previous.candidates, candidates);
  const changedAt = isSame ? previous.changedAt : now;
  return new RendezvousEntrySet(
    self,
    candidates,
    reachable.length + 1,
    new Set([self.node, ...known.map(peer => peer.node)]),
    changedAt,
  );
}
