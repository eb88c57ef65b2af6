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
const OVER_COUNTS_MS = 10_000;

interface Assignment {
  readonly at: number;
  readonly tokens: number;
}

interface Over {
  readonly side: Address;
  readonly at: number;
}

export interface Unreported {
  readonly requests: number;
  readonly tokens: number;
}

export interface Assignments {
  add(side: Address, dispatchId: DispatchId, tokens: number, at: number): void;
  /** The side refused it: it adds no load there. */
  remove(side: Address, dispatchId: DispatchId): void;
  /** Its attempt is over. */
  over(side: Address, dispatchId: DispatchId, at: number): void;
  /** Drops what has been over for long. */
  forgetOver(now: number): void;
  /** Sums what the replica's last report cannot have counted. */
  since(replica: Replica): Unreported;
}

export function createAssignments(): Assignments {
  const bySide = new Map<Address, Map<DispatchId, Assignment>>();
  /** Oldest first. */
  const overs = new Map<DispatchId, Over>();

  const remove = (side: Address, dispatchId: DispatchId) => {
    const list = bySide.get(side);
    list?.delete(dispatchId);
    if (list?.size === 0) bySide.delete(side);
  };

  return {
    add: (side, dispatchId, tokens, at) => {
      const list = bySide.get(side) ?? new Map<DispatchId, Assignment>();
      list.set(dispatchId, {at, tokens});
      bySide.set(side, list);
    },
    remove,
    over: (side, dispatchId, at) => {
      overs.set(dispatchId, {side, at});
    },
    forgetOver: now => {
      for (const [dispatchId, {side, at}] of overs) {
        if (now - at < OVER_COUNTS_MS) return;
        overs.delete(dispatchId);
        remove(side, dispatchId);
      }
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
