/**
 * A runtime for tests and randomised runs: virtual time, seeded chance, and
 * logs and metrics kept in memory. A broken invariant throws and is recorded,
 * so that it is seen also where the throw is caught on its way.
 */
import type {
  EventSpec,
  LogFields,
  MetricLabels,
  Metrics,
  Random,
  Runtime,
} from '../src/types/runtime.js';
import {createSeededRandom} from './seeded_random.js';
import {createVirtualClock} from './virtual_clock.js';
import type {VirtualClock} from './virtual_clock.js';

export interface RecordedEvent {
  /** On the virtual clock, or by `RecordingOptions.now`. */
  readonly at: number;
  readonly event: EventSpec;
  readonly fields: LogFields;
}

/** Metrics kept in memory; a series is named `name{label="value",…}`. */
export interface RecordedMetrics extends Metrics {
  /** Sum of a counter's series that have all the labels given. */
  total(name: string, labels?: MetricLabels): number;
  /** Value of a gauge's series; undefined when it was never set. */
  value(name: string, labels: MetricLabels): number | undefined;
  /** Values of a histogram's series, in order of recording. */
  values(name: string, labels: MetricLabels): readonly number[];
}

export interface RecordingRuntime {
  readonly runtime: Runtime;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly metrics: RecordedMetrics;
  /** Log events, oldest first. */
  readonly events: RecordedEvent[];
  /** Messages of broken invariants, oldest first. */
  readonly violations: string[];
  /** Log events of one kind. */
  eventsOf(event: EventSpec): readonly RecordedEvent[];
}

export interface RecordingOptions {
  /** Seed of the chance. @default 1 */
  readonly seed?: number;
  /** Clock to share between several runtimes. @default a new one */
  readonly clock?: VirtualClock;
  /** Chance to share between several runtimes. @default from `seed` */
  readonly random?: Random;
  /** Time of recorded events, in milliseconds. @default the virtual clock's */
  readonly now?: () => number;
}

function seriesOf(name: string, labels: MetricLabels): string {
  const pairs = Object.entries(labels)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, value]) => `${key}="${value}"`);
  return `${name}{${pairs.join(',')}}`;
}

interface Counter {
  readonly name: string;
  readonly labels: MetricLabels;
  total: number;
}

/** Starts empty metrics. */
export function createRecordedMetrics(): RecordedMetrics {
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, number>();
  const histograms = new Map<string, number[]>();

  const hasLabels = (counter: Counter, labels: MetricLabels): boolean =>
    Object.entries(labels).every(([key, value]) => {
      return counter.labels[key] === value;
    });

  return {
    count: (name, labels = {}, by = 1) => {
      const series = seriesOf(name, labels);
      const counter = counters.get(series) ?? {name, labels, total: 0};
      counter.total += by;
      counters.set(series, counter);
    },
    gauge: (name, labels, value) => {
      gauges.set(seriesOf(name, labels), value);
    },
    observe: (name, labels, value) => {
      const series = seriesOf(name, labels);
      const values = histograms.get(series);
      if (values === undefined) histograms.set(series, [value]);
      else values.push(value);
    },
    render: () =>
      [
        ...[...counters].map(([series, {total}]) => `${series} ${total}`),
        ...[...gauges].map(([series, value]) => `${series} ${value}`),
      ].join('\n'),
    total: (name, labels = {}) => {
      let sum = 0;
      for (const counter of counters.values()) {
        if (counter.name === name && hasLabels(counter, labels)) {
          sum += counter.total;
        }
      }
      return sum;
    },
    value: (name, labels) => gauges.get(seriesOf(name, labels)),
    values: (name, labels) => histograms.get(seriesOf(name, labels)) ?? [],
  };
}

/** Starts a runtime on virtual time. */
export function createRecordingRuntime(
  options: RecordingOptions = {},
): RecordingRuntime {
  const clock = options.clock ?? createVirtualClock();
  const random = options.random ?? createSeededRandom(options.seed ?? 1);
  const {now = clock.now} = options;
  const metrics = createRecordedMetrics();
  const events: RecordedEvent[] = [];
  const violations: string[] = [];

  const runtime: Runtime = {
    clock,
    random,
    metrics,
    log: (event, fields) => {
      events.push({at: now(), event, fields});
    },
    invariant: (holds, name, fields) => {
      if (holds) return;
      const message = `invariant "${name}" broken: ${JSON.stringify(fields)}`;
      violations.push(message);
      throw new Error(message);
    },
  };

  return {
    runtime,
    clock,
    random,
    metrics,
    events,
    violations,
    eventsOf: event => events.filter(line => line.event === event),
  };
}
