/**
 * Logs each change of a peer's state once, and warns when most of the replicas
 * became suspect together: then it is likelier this process that is cut off.
 */
import type {Address} from '../types/ids.js';
import type {Runtime} from '../types/runtime.js';
import {MEMBERSHIP_EVENTS} from '../utils/events.js';
import {isEntry} from './member.js';
import type {Member, MemberState} from './member.js';
import type {Roster} from './member_table.js';

export interface StateLog {
  compare(roster: Roster): void;
}

export function createStateLog(runtime: Runtime): StateLog {
  const before = new Map<Address, MemberState>();
  let following = 0;
  let warned = false;

  const changed = (member: Member, from: MemberState, to: MemberState) => {
    const event = isEntry(member)
      ? MEMBERSHIP_EVENTS.entryState
      : MEMBERSHIP_EVENTS.replicaState;
    runtime.log(event, {
      peer: member.address,
      host: member.host,
      pool: member.pool,
      failureDomain: member.failureDomain,
      incarnation: member.incarnation,
      from,
      to,
      listed: member.listed,
      silentMs: Math.round(runtime.clock.now() - member.lastAnswerAt),
    });
  };

  const warnOfMany = (states: readonly MemberState[]) => {
    const suspects = states.filter(state => state === 'suspect').length;
    const many = states.length > 1 && suspects * 2 > states.length;
    if (many && !warned) {
      runtime.log(MEMBERSHIP_EVENTS.manySuspect, {
        suspects,
        followed: states.length,
      });
    }
    warned = many;
  };

  return {
    compare: roster => {
      const followed = roster
        .members()
        .filter(member => roster.following().has(member.address));
      const seen = new Set<Address>();
      for (const member of followed) {
        const from = before.get(member.address) ?? 'gone';
        const to = roster.state(member);
        seen.add(member.address);
        if (from !== to) changed(member, from, to);
        before.set(member.address, to);
      }
      for (const [address, from] of before) {
        if (seen.has(address)) continue;
        before.delete(address);
        runtime.log(MEMBERSHIP_EVENTS.replicaState, {
          peer: address,
          from,
          to: 'gone',
        });
      }
      if (followed.length !== following) {
        following = followed.length;
        runtime.log(MEMBERSHIP_EVENTS.followingChanged, {followed: following});
        runtime.metrics.gauge('onyxloft_followed_peers', {}, following);
      }
      warnOfMany(
        followed
          .filter(member => !isEntry(member) && member.answered)
          .map(member => roster.state(member)),
      );
    },
  };
}
