/**
 * What a service may use of the outside besides its mailbox: time, chance and
 * the log. They are passed in, so that the randomised runs drive the same code
 * as the processes do, on a virtual clock with seeded chance.
 */

/** Ends a timer. Calling it again, or after the timer fired, does nothing. */
export type Cancel = () => void;

/** Monotonic time. It never goes back; its zero has no meaning. */
export interface Clock {
  /** Milliseconds since an arbitrary start. */
  now(): number;
  /** Calls `fn` once, `delayMs` from now. */
  after(delayMs: number, fn: () => void): Cancel;
  /** Calls `fn` each `periodMs`, first after one period. */
  every(periodMs: number, fn: () => void): Cancel;
}

/** Chance. Seeded in tests and randomised runs. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** `bytes` random bytes as lower-case hex; cryptographic in a process. */
  hex(bytes: number): string;
}

/** Field values of a log event. */
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

/** Writes one numbered event; see `utils/events.ts` for the catalogue. */
export type Log = (event: EventSpec, fields: LogFields) => void;

/** One entry of the event catalogue. */
export interface EventSpec {
  /** Stable number, never used again for another event. */
  readonly number: number;
  /** Stable name in lower-case kebab form. */
  readonly name: string;
  readonly level: 'error' | 'warn' | 'info' | 'debug';
}

/**
 * Asserts an invariant. In a process it logs a numbered event and counts; in
 * tests and randomised runs it throws.
 */
export type Invariant = (
  holds: boolean,
  name: string,
  fields: LogFields,
) => void;

/** Labels of a metric, by name. */
export interface MetricLabels {
  readonly [name: string]: string;
}

/** Counters, gauges and histograms, shown on the metrics endpoint. */
export interface Metrics {
  count(name: string, labels?: MetricLabels, by?: number): void;
  gauge(name: string, labels: MetricLabels, value: number): void;
  /** Records a value of a histogram, in the unit that the name ends with. */
  observe(name: string, labels: MetricLabels, value: number): void;
  /** The customary text form. */
  render(): string;
}

/** All of the above, handed to each service. */
export interface Runtime {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly invariant: Invariant;
  readonly metrics: Metrics;
}
