/**
 * Logs each change of a peer's state once. Also warns when more than half of
 * the followed replicas are suspect, because then it is more likely that this
 * process is cut off than that all of them failed.
 */
import type {Address} from '../types/ids.js';
import type {Runtime} from '../types/runtime.js';
import {MEMBERSHIP_EVENTS} from '../utils/events.js';
import {isEntry} from './member.js';
import type {Member, MemberState} from './member.js';
import type {MemberTable} from './member_table.js';

/** Logs state changes by comparing with the states of the call before. */
export interface StateLog {
  /** Logs what has changed since the last call. */
  logChanges(members: MemberTable): void;
}

/** Creates a log that knows of no peer yet. */
export function createStateLog(runtime: Runtime): StateLog {
  /** State of each followed peer at the last call. */
  const lastStates = new Map<Address, MemberState>();
  let lastFollowedCount = 0;
  let hasWarned = false;

  const logChange = (member: Member, from: MemberState, to: MemberState) => {
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

  const warnIfMostSuspect = (states: readonly MemberState[]) => {
    const suspects = states.filter(state => state === 'suspect').length;
    const areMostSuspect = states.length > 1 && suspects * 2 > states.length;
    if (areMostSuspect && !hasWarned) {
      runtime.log(MEMBERSHIP_EVENTS.manySuspect, {
        suspects,
        followed: states.length,
      });
    }
    hasWarned = areMostSuspect;
  };

  return {
    logChanges: members => {
      const followed = members
        .all()
        .filter(member => members.followed().has(member.address));
      const seen = new Set<Address>();
      for (const member of followed) {
        const from = lastStates.get(member.address) ?? 'gone';
        const to = members.stateOf(member);
        seen.add(member.address);
        if (from !== to) logChange(member, from, to);
        lastStates.set(member.address, to);
      }
      for (const [address, from] of lastStates) {
        if (seen.has(address)) continue;
        lastStates.delete(address);
        runtime.log(MEMBERSHIP_EVENTS.replicaState, {
          peer: address,
          from,
          to: 'gone',
        });
      }
      if (followed.length !== lastFollowedCount) {
        lastFollowedCount = followed.length;
        runtime.log(MEMBERSHIP_EVENTS.followingChanged, {
          followed: lastFollowedCount,
        });
        runtime.metrics.gauge('onyxloft_followed_peers', {}, lastFollowedCount);
      }
      warnIfMostSuspect(
        followed
          .filter(member => !isEntry(member) && member.answered)
          .map(member => members.stateOf(member)),
      );
    },
  };
}
