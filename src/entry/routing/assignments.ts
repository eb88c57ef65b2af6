/**
 * Records what this entry has sent to each side since that side's last load
 * report. Without it, all requests between two reports would choose the side
 * that looked best in the last one, and would overload it.
 */
import type {Address, DispatchId} from '../../types/ids.js';
import type {Replica} from '../../types/services.js';

/**
 * How long an ended assignment still counts without a new load report, in
 * milliseconds. Dropped at once, it would make the side look free before its
 * next report shows what others sent there. Kept until the next report, it
 * would remain for ever where reports have stopped, and the lists would grow
 * with each request.
 */
const ENDED_RETENTION_MS = 10_000;

/** A dispatch that a load report does not include yet. */
interface OpenAssignment {
  readonly at: number;
  readonly tokens: number;
}

/** A dispatch whose attempt has ended. */
interface EndedAssignment {
  readonly side: Address;
  readonly at: number;
}

/** Requests and prompt tokens that a replica has not reported yet. */
export interface UnreportedLoad {
  readonly requests: number;
  readonly tokens: number;
}

export interface Assignments {
  add(side: Address, dispatchId: DispatchId, tokens: number, at: number): void;
  /**
   * Removes an assignment that the side refused, since it adds no load there.
   */
  remove(side: Address, dispatchId: DispatchId): void;
  /** Marks an assignment whose attempt has ended. */
  markEnded(side: Address, dispatchId: DispatchId, at: number): void;
  /** Drops assignments that ended more than `ENDED_RETENTION_MS` ago. */
  dropExpired(now: number): void;
  /** Sums the assignments that the replica's last report cannot include. */
  unreportedLoad(replica: Replica): UnreportedLoad;
}

export function createAssignments(): Assignments {
  const assignmentsBySide = new Map<Address, Map<DispatchId, OpenAssignment>>();
  /** Ended assignments, oldest first. */
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
      // A report was sent about half a round trip before it arrived.
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
