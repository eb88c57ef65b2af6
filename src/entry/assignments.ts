/**
 * What this entry sent to each side since that side's last load report.
 * Without it every request between two reports would choose the side that
 * looked best at the last one, and all would herd there.
 */
import type {Address, DispatchId} from '../types/ids.js';
import type {Replica} from '../types/services.js';

interface Assignment {
  readonly at: number;
  readonly tokens: number;
}

export interface Unreported {
  readonly requests: number;
  readonly tokens: number;
}

export interface Assignments {
  add(side: Address, dispatchId: DispatchId, tokens: number, at: number): void;
  /** It adds no load there: the side refused it, or it is over. */
  remove(side: Address, dispatchId: DispatchId): void;
  /** Sums what the replica's last report cannot have counted. */
  since(replica: Replica): Unreported;
}

export function createAssignments(): Assignments {
  const bySide = new Map<Address, Map<DispatchId, Assignment>>();

  return {
    add: (side, dispatchId, tokens, at) => {
      const list = bySide.get(side) ?? new Map<DispatchId, Assignment>();
      list.set(dispatchId, {at, tokens});
      bySide.set(side, list);
    },
    // Reports may stop for good: what only a report removed would add up, and
    // the side that served most would look the busiest ever after.
    remove: (side, dispatchId) => {
      const list = bySide.get(side);
      list?.delete(dispatchId);
      if (list?.size === 0) bySide.delete(side);
    },
    since: replica => {
      const list = bySide.get(replica.address);
      if (list === undefined) return {requests: 0, tokens: 0};
      // A report left the side about half a round trip before it came in.
      const reportedAt = replica.loadAt - replica.rttMs / 2;
      let tokens = 0;
      for (const [dispatchId, one] of list) {
        if (one.at < reportedAt) list.delete(dispatchId);
        else tokens += one.tokens;
      }
      if (list.size === 0) bySide.delete(replica.address);
      return {requests: list.size, tokens};
    },
  };
}
