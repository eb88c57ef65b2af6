/**
 * Logs the changes of followed peers' states between two calls. Also warns when
 * more than half of the followed replicas that have ever answered are suspect,
 * and at least two have answered. Then it is more likely that this process is
 * cut off than that all of them failed. It warns once, and again only after a
 * call at which this was not so.
 */
import type {Address} from '../types/ids.js';
import type {Runtime} from '../types/runtime.js';
import {MEMBERSHIP_EVENTS} from '../utils/events.js';
import {isEntry} from './member.js';
import type {Member, MemberState} from './member.js';
import type {MemberTable} from './member_table.js';

/** Logs state changes by comparing with the states at the previous call. */
export interface StateLog {
  /** Logs what has changed since the last call. */
  logChanges(members: MemberTable): void;
}

/** Creates a log that knows of no peer yet. */
export function createStateLog(runtime: Runtime): StateLog {
  /** State of each followed peer at the last call. */
  const lastStates = new Map<Address, MemberState>();
  let lastFollowedCount = 0;
  let wereMostSuspect = false;

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

  const warnIfMostSuspect = (replicaStates: readonly MemberState[]) => {
    const suspects = replicaStates.filter(state => state === 'suspect').length;
    const areMostSuspect =
      replicaStates.length > 1 && suspects * 2 > replicaStates.length;
    if (areMostSuspect && !wereMostSuspect) {
      runtime.log(MEMBERSHIP_EVENTS.manySuspect, {
        suspects,
        followed: replicaStates.length,
      });
    }
    wereMostSuspect = areMostSuspect;
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
        // A peer that is not followed any more is logged under this event also
        // when it is an entry. `lastStates` does not tell entries from
        // replicas.
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
