/**
 * All peers known to this entry, the subset of them that it follows, and the
 * view that other services get. The table holds state only: it has no sockets
 * and no timers.
 */
import type {Address, FailureDomain, NodeId} from '../types/ids.js';
import type {HostInfo} from '../types/platform.js';
import type {EntryPeer, MembershipView} from '../types/services.js';
import {
  createMember,
  isEntry,
  isSilent,
  memberStateOf,
  toEntryPeer,
  toReplica,
  withHostInfo,
} from './member.js';
import type {Member, MemberState} from './member.js';
import {createAssignedSides} from './assigned_sides.js';
import {chooseSubset} from './subset.js';
import type {MembershipTiming} from './timing.js';

/**
 * Other entries that this entry chooses to follow. Only coverage of failure
 * domains, replacements of suspects and owned dispatches add to them.
 */
const MAX_FOLLOWED_ENTRIES = 8;

/** Identity of this entry, and the settings by which it follows peers. */
export interface MemberTableOptions {
  readonly node: NodeId;
  /** Where this entry listens for peers. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** Replicas to follow over all pools. */
  readonly followReplicas: number;
  readonly timing: MembershipTiming;
  /** Current time on this process's clock, in milliseconds. */
  readonly now: () => number;
}

/** The known peers. A followed peer gets heartbeats from this entry. */
export interface MemberTable {
  /** The member at this address, if it is known. */
  get(address: Address): Member | undefined;
  /** Changes one member, and creates it when the address is new. */
  update(address: Address, change: (member: Member) => Member): void;
  /** Changes all members. */
  updateAll(change: (member: Member) => Member): void;
  /** Applies a newer host list. */
  setHosts(hosts: readonly HostInfo[]): void;
  /**
   * Records which members have become silent or have answered again. Returns
   * true when `chooseFollowed` should be called, because a suspect has to be
   * replaced or a member is gone.
   */
  updateSilence(): boolean;
  /** Removes members that are gone, and chooses the followed ones again. */
  chooseFollowed(): void;
  /** Addresses of the followed members. */
  followed(): ReadonlySet<Address>;
  /** State of the member at present. */
  stateOf(member: Member): MemberState;
  /** All known members. */
  all(): readonly Member[];
  /** The view for other services. */
  view(): MembershipView;
}

/** Creates a table without members. */
export function createMemberTable(options: MemberTableOptions): MemberTable {
  const {timing, now} = options;
  const members = new Map<Address, Member>();
  const assignedSides = createAssignedSides({
    self: options.address,
    followReplicas: options.followReplicas,
  });
  let followed: ReadonlySet<Address> = new Set();
  /**
   * Entries in the last view, which the next view reuses when they are equal.
   */
  let lastEntries: readonly EntryPeer[] = [];
  /** Addresses of the replaceable members at the last `updateSilence`. */
  let lastReplaced = '';

  const update: MemberTable['update'] = (address, change) => {
    const member = members.get(address) ?? createMember(address, now());
    members.set(address, change(member));
  };

  const updateAll: MemberTable['updateAll'] = change => {
    for (const member of members.values()) {
      members.set(member.address, change(member));
    }
  };

  const setHosts = (hosts: readonly HostInfo[]) => {
    const others = hosts.filter(host => host.address !== options.address);
    const listed = new Set(others.map(host => host.address));
    updateAll(member => ({
      ...member,
      listed: listed.has(member.address),
      listedLeaving: listed.has(member.address) && member.listedLeaving,
    }));
    for (const host of others) {
      update(host.address, member => withHostInfo(member, host));
    }
  };

  const stateOf = (member: Member): MemberState =>
    memberStateOf(member, now(), timing);

  /**
   * True when the member has been suspect for longer than `replaceAfterMs`, so
   * that another one is followed as well.
   */
  const isReplaceable = (member: Member) =>
    member.suspectSince !== undefined &&
    now() - member.suspectSince > timing.replaceAfterMs;

  const chooseFrom = (hosts: readonly Member[], limit: number) =>
    chooseSubset({
      node: options.node,
      ownFailureDomain: options.failureDomain,
      hosts: hosts.map(hostInfo),
      limit,
    });

  /**
   * Chooses which of these members to follow. Members that have been suspect
   * for too long are replaced by others, and are still followed as well, so
   * that their return is noticed.
   */
  const chooseWithReplacements = (hosts: readonly Member[], limit: number) => {
    const wanted = chooseFrom(hosts, limit);
    const reachable = hosts.filter(member => !isReplaceable(member));
    // When half of the members or more have been silent for long, it is more
    // likely that this process has lost its network connection than that all of
    // them failed.
    // Replacing them would change the subset of every entry at once.
    if (reachable.length * 2 <= hosts.length) return wanted;
    return new Set([...wanted, ...chooseFrom(reachable, limit)]);
  };

  /**
   * True when the member can be removed. The host list may be out of date, so a
   * member that it no longer shows stays while it answers. It also stays while
   * this entry owns dispatches there.
   */
  const isGone = (member: Member) =>
    !member.listed &&
    member.owned.length === 0 &&
    isSilent(member, now(), timing);

  const updateSilence = () => {
    updateAll(member => {
      const silent = isSilent(member, now(), timing);
      const since = silent ? (member.suspectSince ?? now()) : undefined;
      if (since === member.suspectSince) return member;
      return {...member, suspectSince: since};
    });
    const all = [...members.values()];
    const replaced = all
      .filter(isReplaceable)
      .map(member => member.address)
      .join();
    const changed = replaced !== lastReplaced || all.some(isGone);
    lastReplaced = replaced;
    return changed;
  };

  const chooseFollowed = () => {
    for (const member of members.values()) {
      if (isGone(member)) members.delete(member.address);
    }
    const all = [...members.values()];
    const listedEntries = all.filter(
      member => isEntry(member) && member.listed,
    );
    const owning = all.filter(member => member.owned.length > 0);
    followed = new Set([
      ...chooseWithReplacements(all.filter(isSide), options.followReplicas),
      ...chooseWithReplacements(all.filter(isEntry), MAX_FOLLOWED_ENTRIES),
      ...owning.map(member => member.address),
      ...assignedSides(
        addressesOf(all.filter(isSide)),
        addressesOf(listedEntries),
      ),
    ]);
  };

  const view = (): MembershipView => {
    const all = [...members.values()];
    const sides = all.filter(isSide);
    return {
      replicas: sides
        .filter(member => followed.has(member.address))
        .map(member => toReplica(member, stateOf(member))),
      allSides: sides.map(member => member.address),
      entries: entriesOf(all),
    };
  };

  /**
   * The entries of the view. Returns the same list as before when nothing has
   * changed, so that subscribers can compare by identity.
   */
  const entriesOf = (all: readonly Member[]): readonly EntryPeer[] => {
    const entries = all.filter(isEntry).map((member, i) => {
      const peer = toEntryPeer(member, entryState(member));
      const before = lastEntries[i];
      return before !== undefined && isSamePeer(before, peer) ? before : peer;
    });
    const isSame =
      entries.length === lastEntries.length &&
      entries.every((peer, i) => peer === lastEntries[i]);
    if (!isSame) lastEntries = entries;
    return lastEntries;
  };

  /**
   * State of an entry. This entry sends no heartbeats to an entry that it does
   * not follow, so that entry's state is taken from the host list.
   */
  const entryState = (member: Member): MemberState => {
    if (followed.has(member.address)) return stateOf(member);
    return member.listedLeaving ? 'leaving' : 'live';
  };

  return {
    get: address => members.get(address),
    update,
    updateAll,
    setHosts,
    updateSilence,
    chooseFollowed,
    followed: () => followed,
    stateOf,
    all: () => [...members.values()],
    view,
  };
}

function isSamePeer(a: EntryPeer, b: EntryPeer): boolean {
  const names = Object.keys(b) as ReadonlyArray<keyof EntryPeer>;
  return names.every(name => a[name] === b[name]);
}

function addressesOf(members: readonly Member[]): readonly Address[] {
  return members.map(member => member.address).sort();
}

function isSide(member: Member): boolean {
  return !isEntry(member);
}

function hostInfo(member: Member): HostInfo {
  const {host, address, failureDomain, pool} = member;
  return {host, address, failureDomain, pool, state: 'live'};
}
