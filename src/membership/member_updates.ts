/**
 * Applies heartbeats and evidence to what is known of a peer. Every function is
 * pure: it takes a member and returns the changed member.
 */
import type {OnyxError} from '../types/errors.js';
import type {
  EntryHeartbeatReq,
  SideHeartbeatRes,
} from '../types/peer_messages.js';
import type {MembershipMessage} from '../types/services.js';
import {withIncarnation} from './member.js';
import type {Member} from './member.js';

/** What another service of this process saw of a peer outside heartbeats. */
export type MemberEvidence = Extract<
  MembershipMessage,
  {readonly kind: 'evidence'}
>;

/** The member after a side has answered a heartbeat. */
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

/** The member after an entry has sent a heartbeat, or answered one. */
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
 * The member after a heartbeat failed. A refused connection proves that no
 * process listens at the address, so the peer is unreachable at once. After a
 * timeout the peer is left as it is until it has been silent for too long.
 */
export function withFailedHeartbeat(member: Member, err: OnyxError): Member {
  return err.code === 'peer-unreachable'
    ? {...member, unreachable: true}
    : member;
}

/** The member after another service has reported evidence. */
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

/** The member after any answer: it is reachable, and its silence ends. */
function withAnswer(member: Member, now: number): Member {
  return {...member, answered: true, unreachable: false, lastAnswerAt: now};
}
