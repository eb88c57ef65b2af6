/**
 * What this entry sent to each side since that side's last load report.
 * Without it every request between two reports would choose the side that
 * looked best at the last one, and all would herd there.
 */
import type {Address, DispatchId} from '../../types/ids.js';
import type {Replica} from '../../types/services.js';

/**
 * How long an assignment whose attempt is over still counts without a report.
 * Dropped at once, it would make the side look free before anything is known of
 * what others sent there; kept until a report comes, it would stay for good
 * where reports have stopped, and the lists would grow with each request.
 */
const ENDED_RETENTION_MS = 10_000;

interface OpenAssignment {
  readonly at: number;
  readonly tokens: number;
}

interface EndedAssignment {
  readonly side: Address;
  readonly at: number;
}

export interface UnreportedLoad {
  readonly requests: number;
  readonly tokens: number;
}

export interface Assignments {
  add(side: Address, dispatchId: DispatchId, tokens: number, at: number): void;
  /** The side refused it: it adds no load there. */
  remove(side: Address, dispatchId: DispatchId): void;
  /** Its attempt is over. */
  markEnded(side: Address, dispatchId: DispatchId, at: number): void;
  /** Drops what has been over for long. */
  dropExpired(now: number): void;
  /** Sums what the replica's last report cannot have counted. */
  unreportedLoad(replica: Replica): UnreportedLoad;
}

export function createAssignments(): Assignments {
  const assignmentsBySide = new Map<Address, Map<DispatchId, OpenAssignment>>();
  /** Oldest first. */
  const ended = new Map<DispatchId, EndedAssignment>();

  const remove = (side: Address, dispatchId: DispatchId) => {
    const list = assignmentsBySide.get(side);
    list?.delete(dispatchId);
    if (list?.size === 0) assignmentsBySide.delete(side);
  };

  return {
    add: (side, dispatchId, tokens, at) => {
      const list =
        assignmentsBySide.get(side) ?? new Map<DispatchId, OpenAssignment>();
      list.set(dispatchId, {at, tokens});
      assignmentsBySide.set(side, list);
    },
    remove,
    markEnded: (side, dispatchId, at) => {
      ended.set(dispatchId, {side, at});
    },
    dropExpired: now => {
      for (const [dispatchId, {side, at}] of ended) {
        if (now - at < ENDED_RETENTION_MS) return;
        ended.delete(dispatchId);
        remove(side, dispatchId);
      }
    },
    unreportedLoad: replica => {
      const list = assignmentsBySide.get(replica.address);
      if (list === undefined) return {requests: 0, tokens: 0};
      // A report left the side about half a round trip before it came in.
      const reportedAt = replica.loadAt - replica.rttMs / 2;
      let tokens = 0;
      for (const [dispatchId, one] of list) {
        if (one.at < reportedAt) list.delete(dispatchId);
        else tokens += one.tokens;
      }
      if (list.size === 0) assignmentsBySide.delete(replica.address);
      return {requests: list.size, tokens};
    },
  };
}
