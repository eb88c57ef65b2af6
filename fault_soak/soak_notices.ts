/**
 * Judges from outside whether entries heed what replicas say in their answers:
 * that they leave, and that they want no requests for a while.
 */
import type {Disturbance} from './soak_disturbance.js';
import type {SoakFleet} from './soak_fleet.js';
import type {SoakReplica} from './soak_replica.js';
import {TIMING} from './soak_fleet.js';
import type {Violation} from './soak_judge.js';
import type {Outcome} from './soak_requests.js';

/** Requests that reach the replica this soon after its answer are no fault. */
const UNDER_WAY_MS = 500;
/** Most requests of one entry in the rest of a pause. */
const MOST_IN_PAUSE = 2;
/** Callers' requests are named after the entry that they were sent to. */
const ENTRY_PATTERN = /-at-(\d+)$/;

/** A caller's request that reached a replica. */
interface Arrival {
  readonly id: string;
  readonly entry: number;
  readonly at: number;
}

export interface NoticeJudgement {
  readonly violations: readonly Violation[];
  /** Answers that said that their replica leaves, and pauses, judged. */
  readonly judged: number;
}

export function judgeNotices(
  fleet: SoakFleet,
  disturbance: Disturbance,
  outcomes: readonly Outcome[],
): NoticeJudgement {
  const byId = new Map(outcomes.map(it => [it.id, it]));
  const judgements = fleet.replicas.flatMap(replica => {
    const arrivals = arrivalsAt(replica);
    return [
      judgeLeaving(replica, arrivals, byId, disturbance),
      judgePauses(replica, arrivals, disturbance),
    ];
  });
  return {
    violations: judgements.flatMap(({violations}) => violations),
    judged: judgements.reduce((sum, {judged}) => sum + judged, 0),
  };
}

function arrivalsAt(replica: SoakReplica): readonly Arrival[] {
  return replica.reached().flatMap(({id, at}) => {
    const match = ENTRY_PATTERN.exec(id);
    return match === null ? [] : [{id, at, entry: Number(match[1])}];
  });
}

/** Requests that were sent later than allowed after an answer that said so. */
function judgeLeaving(
  replica: SoakReplica,
  arrivals: readonly Arrival[],
  outcomes: ReadonlyMap<string, Outcome>,
  disturbance: Disturbance,
): NoticeJudgement {
  let judged = 0;
  const violations = replica.departures().flatMap(({from, to}) => {
    const during = arrivals.filter(({at}) => at >= from && at < to);
    /** When each entry first passed on an answer that says so. */
    const said = new Map<number, number>();
    for (const {id, entry} of during) {
      const at = outcomes.get(id)?.leavingSaidAt;
      if (at === undefined) continue;
      said.set(entry, Math.min(said.get(entry) ?? Infinity, at));
    }
    judged += said.size;
    return during.flatMap(({id, entry, at}): readonly Violation[] => {
      const saidAt = said.get(entry) ?? Infinity;
      const sentAt = outcomes.get(id)?.sentAt ?? -Infinity;
      if (sentAt <= saidAt + TIMING.leavingMs) return [];
      if (disturbance.isDisturbed(entry, saidAt, at)) return [];
      const detail = `${id} ${Math.round(sentAt - saidAt)} ms after`;
      const promise = 'a replica that says that it leaves is left alone';
      return [{promise, id: replica.standIn.id, detail}];
    });
  });
  return {violations, judged};
}

/** More requests of one entry in a pause than the slack. */
function judgePauses(
  replica: SoakReplica,
  arrivals: readonly Arrival[],
  disturbance: Disturbance,
): NoticeJudgement {
  let judged = 0;
  const violations = replica
    .pauses()
    .flatMap(({id, at, durationMs}): readonly Violation[] => {
      const entry = Number(ENTRY_PATTERN.exec(id)?.[1] ?? -1);
      const from = at + UNDER_WAY_MS;
      const to = Math.min(at + durationMs, replica.endOfStartAt(at));
      const isExcused =
        entry < 0 ||
        from >= to ||
        disturbance.isDisturbed(entry, at, to) ||
        replica.isLinkHarmed(at, to);
      if (isExcused) return [];
      judged++;
      const got = arrivals.filter(
        it => it.entry === entry && it.at > from && it.at < to,
      ).length;
      if (got <= MOST_IN_PAUSE) return [];
      const detail = `${got} requests of entry ${entry} in a pause of ${durationMs} ms`;
      const promise = 'a replica gets a pause that it asks for';
      return [{promise, id: replica.standIn.id, detail}];
    });
  return {violations, judged};
}
