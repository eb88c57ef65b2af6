/**
 * What an entry knows of one peer, a side or another entry, and the state that
 * it derives. A member combines what the host list shows with what heartbeats
 * and connections show.
 */
import type {
  Address,
  ConfigNumber,
  DispatchId,
  FailureDomain,
  FencingNumber,
  HostId,
  Incarnation,
  NodeId,
  PoolId,
} from '../types/ids.js';
import type {ModelState, SideLoad} from '../types/peer_messages.js';
import type {HostInfo} from '../types/platform.js';
import type {EntryPeer, Replica} from '../types/services.js';
import type {MembershipTiming} from './timing.js';

/** Name of the pool under which the host list shows entries. */
export const ENTRY_POOL: PoolId = 'entry';

/** State of a peer as other services see it. */
export type MemberState = Replica['state'];

/**
 * One peer as this entry knows it. Times are in milliseconds on this process's
 * clock.
 */
export interface Member {
  readonly host: HostId;
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  /** True when the newest host list contains the peer. */
  readonly listed: boolean;
  /** True when the newest host list shows the peer as leaving. */
  readonly listedLeaving: boolean;
  /** Empty until the peer answered. */
  readonly node: NodeId;
  /** Empty until the peer answered or evidence named its incarnation. */
  readonly incarnation: Incarnation;
  /**
   * Incarnation that was seen leaving. The peer counts as leaving as long as it
   * has this incarnation, even if it reports otherwise later.
   */
  readonly leavingIncarnation: Incarnation | undefined;
  /**
   * Time of the last answer. Before the first answer, the time when the peer
   * became known; after a pause of this process, the end of the pause.
   */
  readonly lastAnswerAt: number;
  /** True once the peer has answered or sent a heartbeat. */
  readonly answered: boolean;
  /**
   * True when a connection was refused or an offer remained unanswered since
   * the last answer.
   */
  readonly unreachable: boolean;
  /** Time when the peer became silent; undefined while it is not silent. */
  readonly suspectSince: number | undefined;
  /**
   * Load that a side reported last. `EMPTY_LOAD` for an entry, and until the
   * first report.
   */
  readonly load: SideLoad;
  /** Time when `load` was received. */
  readonly loadAt: number;
  readonly models: readonly ModelState[];
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  /** Round-trip time of the last heartbeat to a side. */
  readonly rttMs: number;
  /** Dispatches at the peer that this entry owns. */
  readonly owned: readonly DispatchId[];
}

/** Load of a peer that has reported none. */
export const EMPTY_LOAD: SideLoad = {
  capacityTokens: 0,
  freeTokens: 0,
  running: 0,
  queued: 0,
  prefillBacklogTokens: 0,
  shortBacklogTokens: 0,
  prefillTokensPerSec: 0,
  stepMs: 0,
  reportAgeMs: 0,
};

/**
 * Creates a member of which only the address is known, as when this entry takes
 * over a run at a side that it does not follow.
 */
export function createMember(address: Address, now: number): Member {
  return {
    host: '',
    address,
    pool: '',
    failureDomain: '',
    listed: false,
    listedLeaving: false,
    node: '',
    incarnation: '',
    leavingIncarnation: undefined,
    lastAnswerAt: now,
    answered: false,
    unreachable: false,
    suspectSince: undefined,
    load: EMPTY_LOAD,
    loadAt: now,
    models: [],
    configNumber: 0,
    fence: 0,
    rttMs: 0,
    owned: [],
  };
}

/** The member with what the newest host list shows. */
export function withHostInfo(member: Member, info: HostInfo): Member {
  return {
    ...member,
    host: info.host,
    pool: info.pool,
    failureDomain: info.failureDomain,
    listed: true,
    listedLeaving: info.state === 'leaving',
  };
}

/**
 * The member with the incarnation that the peer reported. When the incarnation
 * is a new one, the peer's process was restarted: the load and the models of
 * the old process are dropped.
 */
export function withIncarnation(
  member: Member,
  incarnation: Incarnation,
): Member {
  if (incarnation === '' || incarnation === member.incarnation) return member;
  return {...member, incarnation, load: EMPTY_LOAD, models: []};
}

/** True when the member is an entry. */
export function isEntry(member: Member): boolean {
  return member.pool === ENTRY_POOL;
}

/**
 * True when the host list or the peer itself has reported that it leaves. One
 * of the two is enough, because either may be late.
 */
export function isLeaving(member: Member): boolean {
  const hasReportedLeaving =
    member.leavingIncarnation !== undefined &&
    member.leavingIncarnation === member.incarnation;
  return member.listedLeaving || hasReportedLeaving;
}

/** State of the member at the time `now`. */
export function memberStateOf(
  member: Member,
  now: number,
  timing: MembershipTiming,
): MemberState {
  if (isLeaving(member)) return 'leaving';
  if (!member.answered || isSilent(member, now, timing)) return 'suspect';
  return 'live';
}

/**
 * True when the peer has not answered for `suspectAfterMs`, or has been
 * unreachable since its last answer.
 */
export function isSilent(
  member: Member,
  now: number,
  timing: MembershipTiming,
): boolean {
  return (
    member.unreachable || now - member.lastAnswerAt > timing.suspectAfterMs
  );
}

/** The side as the membership view shows it. */
export function toReplica(member: Member, state: MemberState): Replica {
  const {host, node, address, pool, failureDomain, incarnation} = member;
  const {load, loadAt, models, configNumber, fence, rttMs} = member;
  return {
    host,
    node,
    address,
    pool,
    failureDomain,
    incarnation,
    state,
    load,
    loadAt,
    models,
    configNumber,
    fence,
    rttMs,
  };
}

/** The entry as the membership view shows it. */
export function toEntryPeer(member: Member, state: MemberState): EntryPeer {
  const {address, failureDomain, incarnation, configNumber, fence} = member;
  // The node's name arrives with its first heartbeat. Until then the name of
  // its host stands in for it.
  const node = member.node === '' ? member.host : member.node;
  return {
    node,
    address,
    failureDomain,
    incarnation,
    state,
    configNumber,
    fence,
  };
}
