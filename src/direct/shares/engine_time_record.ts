/**
 * Records the engine time that organisations wanted and used at this entry, by
 * service. Sums decay, so that a flood of an organisation counts against it for
 * some seconds only.
 */
import type {Clock} from '../../types/runtime.js';

/**
 * Time constant of the decay, in milliseconds. In a shorter time, an entry of a
 * fleet of thirty sees only a few requests of an organisation. A longer one
 * lets a new flood take others' shares for longer before it is noticed.
 */
export const DECAY_MS = 6_000;
/**
 * Organisations that are kept for each service; the one that was least recently
 * active is dropped beyond it. The product's target is 1,500.
 */
const MAX_ORGANISATIONS = 2_000;
/** Services that are kept; the least recently active one is dropped. */
const MAX_KEPT_SERVICES = 16;
/** Sums of less engine time than this are dropped, in milliseconds. */
const MIN_KEPT_MS = 0.5;
/** Largest urgency that is counted apart; larger ones count as this. */
const MAX_URGENCY = 9;

/** Decayed sums of engine time, in milliseconds. */
export interface EngineTimes {
  readonly wantedMs: number;
  readonly usedMs: number;
}

/** Decayed counts of requests of one urgency. */
export interface UrgencyCounts {
  readonly asked: number;
  readonly placed: number;
  /** Sum of what the placements gained, each from 0 (lost) to 1 (in time). */
  readonly gained: number;
}

/** A request as the record counts it. */
export interface RecordedRequest {
  readonly service: string;
  readonly organisation: string;
  /** Smaller is more urgent. */
  readonly urgency: number;
  /** Prefill time of the prompt on one engine, in milliseconds. */
  readonly engineMs: number;
}

/** Decayed sums of one service. */
export interface ServiceTimes {
  readonly organisations: ReadonlyMap<string, EngineTimes>;
  readonly urgencies: ReadonlyMap<number, UrgencyCounts>;
}

export interface EngineTimeRecord {
  /** Records a request, placed or not; call it before `placed`. */
  asked(req: RecordedRequest): void;
  /**
   * Records the engine time of a request that was rejected because its
   * organisation is above its share. It is not counted by its urgency.
   */
  askedAboveShare(req: RecordedRequest): void;
  /**
   * Records that the request was placed; its engine time counts as used. `gain`
   * is 1 where it is expected in time, and less where it is late.
   */
  placed(req: RecordedRequest, gain: number): void;
  /** Sums of all services, decayed until now. */
  services(): ReadonlyMap<string, ServiceTimes>;
  /** The same for one service; empty without requests. */
  timesOf(service: string): ServiceTimes;
}

/** Sums that decay together. */
interface DecayingSums {
  values: readonly number[];
  at: number;
}

interface KeptService {
  /** Wanted and used engine time. */
  readonly organisations: Map<string, DecayingSums>;
  /** Requests that arrived, that were placed, and what these gained. */
  readonly urgencies: Map<number, DecayingSums>;
}

export function createEngineTimeRecord(
  clock: Pick<Clock, 'now'>,
): EngineTimeRecord {
  const services = new Map<string, KeptService>();

  const serviceOf = (name: string): KeptService =>
    touch(services, name, MAX_KEPT_SERVICES, () => ({
      organisations: new Map(),
      urgencies: new Map(),
    }));
  const add = (sums: DecayingSums, added: readonly number[]): void => {
    const now = clock.now();
    const left = Math.exp((sums.at - now) / DECAY_MS);
    sums.values = sums.values.map((sum, at) => sum * left + added[at]);
    sums.at = now;
  };
  const zeros = (count: number) => (): DecayingSums => ({
    values: new Array<number>(count).fill(0),
    at: clock.now(),
  });
  const sumsOf = ({service, organisation, urgency}: RecordedRequest) => {
    const {organisations, urgencies} = serviceOf(service);
    const level = Math.max(0, Math.min(MAX_URGENCY, Math.round(urgency)));
    return {
      times: touch(organisations, organisation, MAX_ORGANISATIONS, zeros(2)),
      counts: touch(urgencies, level, MAX_URGENCY + 1, zeros(3)),
    };
  };
  const decayed = ({organisations, urgencies}: KeptService): ServiceTimes => {
    for (const sums of organisations.values()) add(sums, [0, 0]);
    for (const sums of urgencies.values()) add(sums, [0, 0, 0]);
    for (const [name, {values}] of organisations) {
      if (values[0] + values[1] < MIN_KEPT_MS) organisations.delete(name);
    }
    const times = [...organisations].map(
      ([name, {values}]) =>
        [name, {wantedMs: values[0], usedMs: values[1]}] as const,
    );
    const counts = [...urgencies].map(
      ([level, {values}]) =>
        [
          level,
          {asked: values[0], placed: values[1], gained: values[2]},
        ] as const,
    );
    return {organisations: new Map(times), urgencies: new Map(counts)};
  };

  return {
    asked: req => {
      const {times, counts} = sumsOf(req);
      add(times, [req.engineMs, 0]);
      add(counts, [1, 0, 0]);
    },
    askedAboveShare: req => {
      const {times} = sumsOf(req);
      add(times, [req.engineMs, 0]);
    },
    placed: (req, gain) => {
      const {times, counts} = sumsOf(req);
      add(times, [0, req.engineMs]);
      add(counts, [0, 1, gain]);
    },
    services: () =>
      new Map([...services].map(([name, kept]) => [name, decayed(kept)])),
    timesOf: service => {
      const kept = services.get(service);
      return kept === undefined
        ? {organisations: new Map(), urgencies: new Map()}
        : decayed(kept);
    },
  };
}

/** The value of the key as the most recent one; drops the oldest over `max`. */
function touch<K, V>(map: Map<K, V>, key: K, max: number, create: () => V): V {
  const value = map.get(key) ?? create();
  map.delete(key);
  map.set(key, value);
  const oldest = map.keys().next();
  if (map.size > max && oldest.done === false) map.delete(oldest.value);
  return value;
}
