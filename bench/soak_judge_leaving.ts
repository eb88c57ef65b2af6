/** Judges that an upstream which is leaving gets no new work. */
import type {FleetProcess} from '../standins/fleet_process.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {Breach} from './soak_judge.js';

/** One time of leaving, of a side or an entry. */
export interface Leaving {
  readonly process: FleetProcess;
  readonly incarnation: string;
  /** Its own process was told, or only the host list. */
  readonly how: 'own-notice' | 'host-list';
  readonly from: number;
  until: number | undefined;
}

/** It refuses offers itself; offers accepted before may still come. */
const OWN_NOTICE_MS = 2_000;
/** Poll with jitter, its answer, and offers under way. */
const HOST_LIST_MS = 4_500;

export function judgeLeaving(
  fleet: MemoryFleet,
  leavings: readonly Leaving[],
  listFaultUntil: number,
): Breach | undefined {
  const now = fleet.clock.now();
  for (const leaving of leavings) {
    if (leaving.until !== undefined && leaving.until < now - 1_000) continue;
    const limitMs = leaving.how === 'own-notice' ? OWN_NOTICE_MS : HOST_LIST_MS;
    const from = leaving.from + limitMs;
    if (now <= from) continue;
    const isListLate =
      leaving.how === 'host-list' && listFaultUntil > leaving.from;
    if (isListLate) continue;
    const found = placedAfter(fleet, leaving, from);
    if (found !== undefined) return found;
  }
  return undefined;
}

function placedAfter(
  fleet: MemoryFleet,
  leaving: Leaving,
  from: number,
): Breach | undefined {
  const {process} = leaving;
  const until = leaving.until ?? Number.POSITIVE_INFINITY;
  // Newest first: submissions from before it left cannot be concerned for long.
  for (let at = fleet.tracked.length - 1; at >= 0; at--) {
    const one = fleet.tracked[at];
    if (one === undefined || one.resumed) continue;
    if (one.submittedAt < leaving.from - 120_000) return undefined;
    const entry = fleet.entries.find(each => each.name === one.entry);
    const awake = (entry?.awakeSince() ?? 0) + HOST_LIST_MS;
    for (const placed of one.placements) {
      if (placed.side !== process.address) continue;
      // Who repeats a key is told the place of the earlier submission.
      if (!placed.dispatchId.startsWith(one.id)) continue;
      const isLate = placed.at > Math.max(from, awake) && placed.at < until;
      if (!isLate) continue;
      return {
        invariant: 'f no new work when leaving',
        message:
          `${process.name} left at ${leaving.from} by ${leaving.how}, ` +
          `${placed.dispatchId} was placed there at ${placed.at}`,
        request: one.id,
      };
    }
  }
  return undefined;
}
