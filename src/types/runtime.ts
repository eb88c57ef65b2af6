/**
 * What a service uses besides its mailbox: clock, random source, log, metrics
 * and invariant checks. They are passed in, so that randomised runs can execute
 * the production code on a virtual clock with a seeded random source.
 */

/** Cancels a timer. Has no effect on a cancelled or expired timer. */
export type Cancel = () => void;

/** A monotonic clock. Its zero point is arbitrary. */
export interface Clock {
  /** Milliseconds since an arbitrary start. */
  now(): number;
  /**
   * Calls `fn` once, after `delayMs` milliseconds. `step` names it in the log and
   * the metrics. @default the name of the function
   */
  after(delayMs: number, fn: () => void, step?: string): Cancel;
  /** Calls `fn` every `periodMs` milliseconds, first after one period. */
  every(periodMs: number, fn: () => void, step?: string): Cancel;
}

/** A random source; seeded in tests and randomised runs. */
export interface Random {
  /** A uniform random number in [0, 1). */
  next(): number;
  /**
   * The given number of random bytes as lower-case hex; cryptographically
   * secure in a real process.
   */
  hex(bytes: number): string;
}

/** Value of a field of a log event. */
export type LogValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | readonly LogValue[]
  | LogFields;

/** Fields of a log event, by name. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** Writes a log event from the catalogue in `utils/events.ts`. */
export type Log = (event: EventSpec, fields: LogFields) => void;

/** One entry of the event catalogue. */
export interface EventSpec {
  /** Stable number; never reused for another event. */
  readonly number: number;
  /** Stable name in kebab-case. */
  readonly name: string;
  readonly level: 'error' | 'warn' | 'info' | 'debug';
}

/**
 * Checks an invariant. A violation is logged and counted in a real process; in
 * tests and randomised runs the check throws.
 */
export type Invariant = (
  holds: boolean,
  name: string,
  fields: LogFields,
) => void;

/** Label values of a metric, by label name. */
export interface MetricLabels {
  readonly [name: string]: string;
}

/** Counters, gauges and histograms of the metrics endpoint. */
export interface Metrics {
  /** Increases a counter by `by`. @default by 1 */
  count(name: string, labels?: MetricLabels, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, labels: MetricLabels, value: number): void;
  /** Records a histogram sample, in the unit that the name ends with. */
  observe(name: string, labels: MetricLabels, value: number): void;
  /** All metrics in the Prometheus text format. */
  render(): string;
}

/** The dependencies that every service receives. */
export interface Runtime {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly invariant: Invariant;
  readonly metrics: Metrics;
}
