/**
 * How heartbeat answers and evidence change what is known of a peer. Pure
 * functions from a member to a member.
 */
import type {OnyxError} from '../types/errors.js';
import type {
  EntryHeartbeatReq,
  SideHeartbeatRes,
} from '../types/peer_messages.js';
import type {MembershipMessage} from '../types/services.js';
import {withIncarnation} from './member.js';
import type {Member} from './member.js';

export type MemberEvidence = Extract<
  MembershipMessage,
  {readonly kind: 'evidence'}
>;

export function withSideReply(
  member: Member,
  res: SideHeartbeatRes,
  sentAt: number,
  now: number,
): Member {
  const known = withIncarnation(member, res.incarnation);
  return {
    ...withAnswer(known, now),
    node: res.node,
    pool: res.pool,
    failureDomain: res.failureDomain,
    leavingIncarnation: res.leaving
      ? res.incarnation
      : known.leavingIncarnation,
    load: res.load,
    loadAt: now,
    models: res.models,
    configNumber: res.configNumber,
    fence: res.fence,
    rttMs: now - sentAt,
  };
}

export function withEntryHeartbeat(
  member: Member,
  peer: EntryHeartbeatReq,
  now: number,
): Member {
  const known = withIncarnation(member, peer.incarnation);
  return {
    ...withAnswer(known, now),
    node: peer.node,
    failureDomain: peer.failureDomain,
    leavingIncarnation: peer.leaving
      ? peer.incarnation
      : known.leavingIncarnation,
    configNumber: peer.configNumber,
    fence: peer.fence,
  };
}

/**
 * A refused connection says at once what a timeout only hints at: there is no
 * process behind the address.
 */
export function withFailedHeartbeat(member: Member, err: OnyxError): Member {
  return err.code === 'peer-unreachable'
    ? {...member, unreachable: true}
    : member;
}

export function withEvidence(
  member: Member,
  evidence: MemberEvidence,
  now: number,
): Member {
  switch (evidence.what) {
    case 'unreachable':
      return {...member, unreachable: true};
    case 'leaving':
      return {
        ...member,
        leavingIncarnation: evidence.incarnation || member.incarnation,
      };
    case 'incarnation':
      return withAnswer(withIncarnation(member, evidence.incarnation), now);
    case 'answered':
      return withAnswer(member, now);
  }
}

function withAnswer(member: Member, now: number): Member {
  return {...member, answered: true, unreachable: false, lastAnswerAt: now};
}
