/**
 * What this entry sent to each side since that side's last load report.
 * Without it every request between two reports would choose the side that
 * looked best at the last one, and all would herd there.
 */
import type {Address, DispatchId} from '../types/ids.js';
import type {Replica} from '../types/services.js';

interface Assignment {
  readonly dispatchId: DispatchId;
  readonly at: number;
  readonly tokens: number;
}

export interface Unreported {
  readonly requests: number;
  readonly tokens: number;
}

export interface Assignments {
  add(side: Address, dispatchId: DispatchId, tokens: number, at: number): void;
  /** The side refused it: it adds no load there. */
  remove(side: Address, dispatchId: DispatchId): void;
  /** Sums what the replica's last report cannot have counted. */
  since(replica: Replica): Unreported;
}

export function createAssignments(): Assignments {
  const bySide = new Map<Address, Assignment[]>();

  return {
    add: (side, dispatchId, tokens, at) => {
      const list = bySide.get(side) ?? [];
      list.push({dispatchId, at, tokens});
      bySide.set(side, list);
    },
    remove: (side, dispatchId) => {
      const list = bySide.get(side) ?? [];
      const at = list.findIndex(one => one.dispatchId === dispatchId);
      if (at >= 0) list.splice(at, 1);
    },
    since: replica => {
      const list = bySide.get(replica.address);
      if (list === undefined) return {requests: 0, tokens: 0};
      // A report left the side about half a round trip before it came in.
      const reportedAt = replica.loadAt - replica.rttMs / 2;
      const kept = list.filter(one => one.at >= reportedAt);
      if (kept.length === 0) bySide.delete(replica.address);
      else bySide.set(replica.address, kept);
      const tokens = kept.reduce((sum, one) => sum + one.tokens, 0);
      return {requests: kept.length, tokens};
    },
  };
}
