/**
 * Judges from the replicas' side whether the entries together keep the limit of
 * replicas that have just started: counts all that reached each cold replica,
 * in any second. No entry is excused, whatever happened to it.
 *
 * Orders to release memory and to renew what was reserved before the start are
 * not counted: they concern the earlier start, and need no permit.
 */
import {mostInWindow} from '../standins/sliding_window.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Reached, SoakReplica} from './soak_replica.js';
import {COLD_REPLICAS} from './soak_fleet.js';
import {SERVICE_COLD} from './soak_replica.js';
import type {Violation} from './soak_judge.js';

const WINDOW_MS = 1_000;
const ALLOWED =
  SERVICE_COLD.coldPerS * COLD_REPLICAS.overFactor + COLD_REPLICAS.slack;

export interface ColdJudgement {
  readonly violations: readonly Violation[];
  /** Cold starts that got requests. */
  readonly starts: number;
  /** Requests that cold replicas got. */
  readonly requests: number;
  /** Most of them in any second at one replica. */
  readonly most: number;
}

export function judgeCold({replicas}: SoakFleet): ColdJudgement {
  const starts = replicas.flatMap(replica =>
    replica.coldSpans().map(({from, to}) => ({
      id: replica.standIn.id,
      from,
      reached: reachedIn(replica, from, to),
    })),
  );
  const violations = starts.flatMap(start => {
    const {id, from, reached} = start;
    const got = mostInWindow(timesOf(start), WINDOW_MS);
    if (got <= ALLOWED) return [];
    const listed = reached.map(it => `${it.id}+${Math.round(it.at - from)}`);
    const detail = `${got} requests in 1 s, ${ALLOWED} allowed: ${listed.join(' ')}`;
    return [{promise: 'entries spare a cold replica', id, detail}];
  });
  return {
    violations,
    starts: starts.filter(({reached}) => reached.length > 0).length,
    requests: starts.reduce((sum, {reached}) => sum + reached.length, 0),
    most: Math.max(
      0,
      ...starts.map(start => mostInWindow(timesOf(start), WINDOW_MS)),
    ),
  };
}

function reachedIn(
  replica: SoakReplica,
  from: number,
  to: number,
): readonly Reached[] {
  const reached = replica.reached();
  const earlier = new Set(
    reached.filter(({at}) => at < from).map(({id}) => id),
  );
  return reached
    .filter(({at}) => at >= from && at < to)
    .filter(({operation}) => operation !== 'release')
    .filter(({id}) => !isOrder(id) || !earlier.has(id));
}

/** Orders are named after the entry's process, requests after the soak. */
function isOrder(id: string): boolean {
  return id.startsWith('entry-');
}

function timesOf({reached}: {readonly reached: readonly Reached[]}) {
  return reached.map(({at}) => at);
}
