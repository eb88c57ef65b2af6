/**
 * Evacuates failure domains during a run, and judges from the replicas' side
 * whether any entry sent anything there afterwards. The time that an entry has
 * to learn of an evacuation counts from the store's acknowledgement. It must
 * keep what it has learned, also while it does not reach the store.
 */
import type {StoreStandIn} from '../standins/users_platform/store.js';
import type {Disturbance} from './soak_disturbance.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Reached, SoakReplica} from './soak_replica.js';
import {TIMING} from './soak_fleet.js';
import type {Violation} from './soak_judge.js';

const KIND = 'evacuations';
/** Entries keep an evacuation that a restored store lacks for this long. */
const REWRITE_GRACE_MS = 2_000;
/**
 * Interval of the times at which an entry may have learned of an evacuation.
 */
const STEP_MS = 250;
/**
 * An entry that is undisturbed and reaches the store for this long knows its
 * evacuations. It is shorter than the bound, so that entries under many faults
 * are judged as well.
 */
const IN_TOUCH_MS = 3_000;
/** Requests and orders are named after the entry that sent them. */
const ENTRY_PATTERN = /-at-(\d+)$|^entry-(\d+)-/;

/** An evacuation as the store had it; steady times, in milliseconds. */
interface Evacuated {
  readonly domain: string;
  readonly from: number;
  /** Infinity while it lasts. */
  to: number;
}

export interface Evacuator {
  /** Evacuates the domains until the returned function is called. */
  begin(domains: readonly string[]): () => void;
  /** The store has just come back from an older copy. */
  storeRestored(): void;
  /** Operators repeat the writes and removals that the store lost. */
  writeAgain(): void;
  spans(): readonly Evacuated[];
}

export function createEvacuator(store: StoreStandIn): Evacuator {
  /** How many faults evacuate each domain now. */
  const wanted = new Map<string, number>();
  const open = new Map<string, Evacuated>();
  /** When the store lost the evacuation of a domain. */
  const lostAt = new Map<string, number>();
  const spans: Evacuated[] = [];

  const put = (domain: string) => {
    store.put(KIND, domain, {});
    lostAt.delete(domain);
    if (open.has(domain)) return;
    const span = {domain, from: performance.now(), to: Infinity};
    spans.push(span);
    open.set(domain, span);
  };
  const close = (domain: string, at: number) => {
    const span = open.get(domain);
    if (span !== undefined) span.to = at;
    open.delete(domain);
  };
  const remove = (domain: string) => {
    close(domain, lostAt.get(domain) ?? performance.now());
    lostAt.delete(domain);
    store.remove(KIND, domain);
  };
  const release = (domain: string) => {
    const count = (wanted.get(domain) ?? 0) - 1;
    wanted.set(domain, count);
    if (count === 0) remove(domain);
  };

  return {
    begin: domains => {
      for (const domain of domains) {
        wanted.set(domain, (wanted.get(domain) ?? 0) + 1);
        put(domain);
      }
      return () => domains.forEach(release);
    },
    storeRestored: () => {
      const now = performance.now();
      for (const domain of open.keys()) {
        const isLost = store.get(KIND, domain) === undefined;
        if (isLost && !lostAt.has(domain)) lostAt.set(domain, now);
      }
    },
    writeAgain: () => {
      const now = performance.now();
      for (const [domain, at] of [...lostAt]) {
        // Entries may have ended the evacuation meanwhile.
        if (now - at > REWRITE_GRACE_MS) close(domain, at);
      }
      for (const [domain, count] of wanted) {
        if (count > 0) put(domain);
        else store.remove(KIND, domain);
      }
    },
    spans: () => spans,
  };
}

export interface EvacuationJudgement {
  readonly violations: readonly Violation[];
  /**
   * Evacuations that lasted beyond the bound, by entry that was held to one.
   */
  readonly judged: number;
  /**
   * Longest time from the store's acknowledgement to the last arrival from an
   * entry that was undisturbed and reached the store, in milliseconds.
   */
  readonly longestMs: number;
}

export function judgeEvacuations(
  fleet: SoakFleet,
  spans: readonly Evacuated[],
  disturbance: Disturbance,
  isStoreHarmed: (entry: number, from: number, to: number) => boolean,
): EvacuationJudgement {
  const {evacuateMs} = TIMING;
  const violations: Violation[] = [];
  let judged = 0;
  let longestMs = 0;

  const isInTouch = (entry: number, from: number, to: number) =>
    !disturbance.isDisturbed(entry, from, to) &&
    !isStoreHarmed(entry, from, to);
  /** Whether the entry knew of it by the time, and has known it since. */
  const mustKnow = (entry: number, {from}: Evacuated, at: number): boolean => {
    if (at < from + evacuateMs) return false;
    for (let by = from + IN_TOUCH_MS; by <= at; by += STEP_MS) {
      const since = by - IN_TOUCH_MS;
      if (disturbance.isDisturbed(entry, since, at)) continue;
      if (!isStoreHarmed(entry, since, by)) return true;
    }
    return false;
  };
  const judgeArrival = (
    replica: SoakReplica,
    span: Evacuated,
    {id, at}: Reached,
  ) => {
    const entry = entryOf(id);
    if (entry === undefined) return;
    const afterMs = Math.round(at - span.from);
    if (isInTouch(entry, span.from - IN_TOUCH_MS, at)) {
      longestMs = Math.max(longestMs, afterMs);
    }
    if (!mustKnow(entry, span, at)) return;
    violations.push({
      promise: 'nothing more is sent to an evacuated domain',
      id: replica.standIn.id,
      detail: `${id} ${afterMs} ms after the evacuation of ${span.domain}`,
    });
  };

  for (const span of spans) {
    const end = Math.min(span.to, performance.now());
    judged += fleet.entries.filter((_, entry) =>
      timesBetween(span.from + evacuateMs, end).some(at =>
        mustKnow(entry, span, at),
      ),
    ).length;
    for (const replica of fleet.replicas) {
      if (replica.domain !== span.domain) continue;
      for (const arrival of newWorkAt(replica)) {
        if (arrival.at <= span.from || arrival.at >= end) continue;
        judgeArrival(replica, span, arrival);
      }
    }
  }
  return {violations, judged, longestMs};
}

/**
 * Requests, and the first reservation under each id: renewals and releases of
 * memory go on in an evacuated domain.
 */
function newWorkAt(replica: SoakReplica): readonly Reached[] {
  const reserved = new Set<string>();
  return replica.reached().filter(({id, operation}) => {
    if (operation === undefined) return true;
    if (operation !== 'reserve' || reserved.has(id)) return false;
    reserved.add(id);
    return true;
  });
}

function timesBetween(from: number, to: number): readonly number[] {
  const count = Math.max(0, Math.floor((to - from) / STEP_MS));
  return Array.from({length: count}, (_, step) => from + step * STEP_MS);
}

function entryOf(id: string): number | undefined {
  const match = ENTRY_PATTERN.exec(id);
  return match === null ? undefined : Number(match[1] ?? match[2]);
}
