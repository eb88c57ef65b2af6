/**
 * Judges from outside whether the entries together keep the limits that replicas
 * name: counts what reached each replica, from entries that had passed on an
 * answer with its limit. Reports of a replica's state name no sender and are not
 * counted.
 */
import type {Disturbance} from './soak_disturbance.js';
import type {SoakFleet} from './soak_fleet.js';
import type {NamedLimit, Reached, SoakReplica} from './soak_replica.js';
import type {Violation} from './soak_judge.js';
import type {Outcome} from './soak_requests.js';

const WINDOW_MS = 4_000;
/** Share of the limit, and requests beside it, that a window may have. */
const WINDOW_SHARE = 1.5;
const WINDOW_EXTRA = 5;
/** From the first answer with a limit until it binds. */
const BINDS_AFTER_MS = 3_000;
/** An entry is told this long after it passed on an answer with the limit. */
const TOLD_AFTER_MS = 500;
/** A start, end or pause of an entry excuses it for this long. */
const EXCUSED_MS = 3_000;
/** Requests are named after the entry that they were sent to, orders as well. */
const ENTRY_PATTERN = /-at-(\d+)$|^entry-(\d+)-/;

export interface LimitWatch {
  judge(outcomes: readonly Outcome[]): readonly Violation[];
  /** Windows that were judged. */
  windows(): number;
}

/** A time in which a replica named limits without a break. */
interface LimitedSpan {
  readonly from: number;
  readonly to: number;
  readonly named: readonly NamedLimit[];
}

export function watchLimits(
  fleet: SoakFleet,
  disturbance: Disturbance,
): LimitWatch {
  let windows = 0;

  const isExcused = (entry: number, at: number) =>
    disturbance.isDisturbed(entry, at - EXCUSED_MS, at);
  const judgeSpan = (
    replica: SoakReplica,
    span: LimitedSpan,
    told: ReadonlyMap<number, number>,
  ): readonly Violation[] => {
    const counted = replica
      .reached()
      .filter(({at}) => at >= span.from && at < span.to)
      .filter(({id, at}) => {
        const entry = entryOf(id);
        if (entry === undefined || isExcused(entry, at)) return false;
        return at >= (told.get(entry) ?? Infinity) + TOLD_AFTER_MS;
      })
      .map(({at}) => at);
    for (const to of counted) {
      if (to < span.from + BINDS_AFTER_MS) continue;
      windows += 1;
      const from = to - WINDOW_MS;
      const got = counted.filter(at => at > from && at <= to).length;
      const allowed =
        WINDOW_SHARE * requestsBetween(span.named, from, to) + WINDOW_EXTRA;
      if (got <= allowed) continue;
      const detail = `${got} requests in 4 s, ${allowed.toFixed(1)} allowed`;
      const id = replica.standIn.id;
      return [{promise: 'entries keep the limit of a replica', id, detail}];
    }
    return [];
  };

  return {
    judge: outcomes =>
      fleet.replicas.flatMap(replica => {
        const ids = new Map(replica.reached().map(it => [it.id, it]));
        return spansOf(replica.named()).flatMap(span =>
          judgeSpan(replica, span, toldIn(span, outcomes, ids)),
        );
      }),
    windows: () => windows,
  };
}

function entryOf(id: string): number | undefined {
  const match = ENTRY_PATTERN.exec(id);
  return match === null ? undefined : Number(match[1] ?? match[2]);
}

/** When each entry first passed on an answer with the replica's limit. */
function toldIn(
  {from, to}: LimitedSpan,
  outcomes: readonly Outcome[],
  reached: ReadonlyMap<string, Reached>,
): ReadonlyMap<number, number> {
  const told = new Map<number, number>();
  for (const {id, entry, limitNamedAt} of outcomes) {
    if (limitNamedAt === undefined || !reached.has(id)) continue;
    if (limitNamedAt < from || limitNamedAt >= to) continue;
    told.set(entry, Math.min(told.get(entry) ?? Infinity, limitNamedAt));
  }
  return told;
}

function spansOf(named: readonly NamedLimit[]): readonly LimitedSpan[] {
  const spans: LimitedSpan[] = [];
  let open: NamedLimit[] = [];
  const close = (to: number) => {
    if (open.length > 0) spans.push({from: open[0].at, to, named: open});
    open = [];
  };
  for (const one of named) {
    if (one.perSecond === undefined) close(one.at);
    else open.push(one);
  }
  close(Infinity);
  return spans;
}

/** Requests that the limits allow; the first one counts before it as well. */
function requestsBetween(
  named: readonly NamedLimit[],
  from: number,
  to: number,
): number {
  let requests = 0;
  named.forEach(({at, perSecond = 0}, index) => {
    const begin = index === 0 ? from : Math.max(from, at);
    const end = Math.min(to, named[index + 1]?.at ?? to);
    requests += (Math.max(0, end - begin) / 1_000) * perSecond;
  });
  return requests;
}
