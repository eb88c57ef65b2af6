/**
 * Request limits that replicas named in their answers. A limit is the number of
 * requests a second that a replica takes from all entries together. It holds
 * until a later answer of the same start of the replica does not name one.
 *
 * Answers on different connections may overtake each other, so an answer
 * without a limit ends a known one only if its request was sent after the limit
 * was last named.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {StatedLimit} from './types.js';

/** The newest that is known of one replica's limit. */
interface LimitRecord {
  readonly perSecond: number;
  /** When the replica named it, on this process's clock, in milliseconds. */
  readonly namedAt: number;
}

export interface ReplicaLimits {
  /** Takes in what an answer states to a request that was sent at `sentAt`. */
  answered(replicaId: string, sentAt: number, stated: StatedLimit): void;
  /** Requests a second from all entries; undefined without a limit. */
  limitOf(replicaId: string): number | undefined;
  /** Drops what is known of a replica that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas that name a limit. */
  count(): number;
  /** Sum of the limits, in requests a second. */
  sum(): number;
}

export function createReplicaLimits(clock: Clock, log: Log): ReplicaLimits {
  const records = new Map<string, LimitRecord>();

  const learn = (replicaId: string, perSecond: number): void => {
    const before = records.get(replicaId)?.perSecond;
    records.set(replicaId, {perSecond, namedAt: clock.now()});
    if (perSecond === before) return;
    log(DIRECT_EVENTS.limitLearned, {replica: replicaId, perSecond, before});
  };
  const end = (replicaId: string, sentAt: number): void => {
    const known = records.get(replicaId);
    if (known === undefined || sentAt <= known.namedAt) return;
    records.delete(replicaId);
    const {perSecond, namedAt} = known;
    const ageMs = Math.round(clock.now() - namedAt);
    log(DIRECT_EVENTS.limitEnded, {replica: replicaId, perSecond, ageMs});
  };

  return {
    answered: (replicaId, sentAt, stated) => {
      switch (stated.kind) {
        case 'limited':
          return learn(replicaId, stated.perSecond);
        case 'none':
          return end(replicaId, sentAt);
        case 'unreadable':
          // The last readable limit stays in force.
          return log(DIRECT_EVENTS.limitUnreadable, {
            replica: replicaId,
            text: stated.text,
            perSecond: records.get(replicaId)?.perSecond,
          });
      }
    },
    limitOf: replicaId => records.get(replicaId)?.perSecond,
    forget: replicaId => void records.delete(replicaId),
    count: () => records.size,
    sum: () =>
      [...records.values()].reduce((sum, {perSecond}) => sum + perSecond, 0),
  };
}
