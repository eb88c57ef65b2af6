/**
 * What is known of one peer, side or entry, and the state that follows from
 * it. The host list and direct evidence are merged here.
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

/** Pool name under which the host list shows entries. */
export const ENTRY_POOL: PoolId = 'entry';

export type MemberState = Replica['state'];

export interface Member {
  readonly host: HostId;
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  /** The newest host list shows it. */
  readonly listed: boolean;
  readonly listedLeaving: boolean;
  /** Empty until it answered or was named by evidence. */
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** Incarnation that was seen leaving; never taken back for it. */
  readonly leavingIncarnation: Incarnation | undefined;
  /** On this process's clock; the time it was first seen counts as one. */
  readonly lastAnswerAt: number;
  readonly answered: boolean;
  /** A connection was refused or an offer unanswered since the last answer. */
  readonly unreachable: boolean;
  /** When it became suspect. */
  readonly suspectSince: number | undefined;
  readonly load: SideLoad;
  readonly loadAt: number;
  readonly models: readonly ModelState[];
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  readonly rttMs: number;
  /** Dispatches there that this entry owns. */
  readonly owned: readonly DispatchId[];
}

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

/** A peer of which only its address is known, as when adopting a run. */
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

/** A new incarnation has nothing of the old one's load, nor its leaving. */
export function withIncarnation(
  member: Member,
  incarnation: Incarnation,
): Member {
  if (incarnation === '' || incarnation === member.incarnation) return member;
  return {...member, incarnation, load: EMPTY_LOAD, models: []};
}

export function isEntry(member: Member): boolean {
  return member.pool === ENTRY_POOL;
}

/** Whichever of host list and the peer itself says leaving first wins. */
export function isLeaving(member: Member): boolean {
  const hasReportedLeaving =
    member.leavingIncarnation !== undefined &&
    member.leavingIncarnation === member.incarnation;
  return member.listedLeaving || hasReportedLeaving;
}

export function memberStateOf(
  member: Member,
  now: number,
  timing: MembershipTiming,
): MemberState {
  if (isLeaving(member)) return 'leaving';
  if (!member.answered || isSilent(member, now, timing)) return 'suspect';
  return 'live';
}

/** No answer for too long, or a refused connection since the last one. */
export function isSilent(
  member: Member,
  now: number,
  timing: MembershipTiming,
): boolean {
  return (
    member.unreachable || now - member.lastAnswerAt > timing.suspectAfterMs
  );
}

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

export function toEntryPeer(member: Member, state: MemberState): EntryPeer {
  const {address, failureDomain, incarnation, configNumber, fence} = member;
  // The node's name comes with its first heartbeat; its host's will do.
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
