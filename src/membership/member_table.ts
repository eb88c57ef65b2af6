/**
 * All peers known to this entry, which of them it follows, and the view that
 * other services get. Pure bookkeeping: no sockets and no timers.
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

/** Other entries to which heartbeats go, at most. */
const MAX_FOLLOWED_ENTRIES = 8;

export interface MemberTableOptions {
  readonly node: NodeId;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly followReplicas: number;
  readonly timing: MembershipTiming;
  readonly now: () => number;
}

export interface MemberTable {
  get(address: Address): Member | undefined;
  /** Changes a member; makes one when the address is new. */
  update(address: Address, change: (member: Member) => Member): void;
  /** Changes all members. */
  updateAll(change: (member: Member) => Member): void;
  /** Takes in a newer host list. */
  setHosts(hosts: readonly HostInfo[]): void;
  /** Notes who has gone silent; true when `follow` should be called. */
  updateSilence(): boolean;
  /** Chooses again whom to follow, and forgets who is gone. */
  chooseFollowed(): void;
  followed(): ReadonlySet<Address>;
  stateOf(member: Member): MemberState;
  all(): readonly Member[];
  view(): MembershipView;
}

export function createMemberTable(options: MemberTableOptions): MemberTable {
  const {timing, now} = options;
  const members = new Map<Address, Member>();
  const assignedSides = createAssignedSides({
    self: options.address,
    followReplicas: options.followReplicas,
  });
  let followed: ReadonlySet<Address> = new Set();
  let lastEntries: readonly EntryPeer[] = [];
  /** Whom others replace, to see when that changes. */
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

  /** Whom to follow among these; long suspects are replaced, and kept. */
  const chooseWithReplacements = (hosts: readonly Member[], limit: number) => {
    const wanted = chooseFrom(hosts, limit);
    const reachable = hosts.filter(member => !isReplaceable(member));
    // When most seem gone it is likelier this process that is cut off:
    // replacing them all would move every entry's subset at once.
    if (reachable.length * 2 <= hosts.length) return wanted;
    return new Set([...wanted, ...chooseFrom(reachable, limit)]);
  };

  /** The host list lags: one that still answers is still there. */
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

  /** The same list as before when nothing has changed. */
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

  /** Of an entry that is not followed, only the host list speaks. */
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
