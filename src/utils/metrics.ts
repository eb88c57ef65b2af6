/**
 * Counters, gauges and histograms of one process, rendered in the Prometheus
 * text format. Histograms are recorded with hdr-histogram-js and rendered as
 * summaries over the lifetime of the process.
 */
// Not the package's index, which also loads encoders, log writers and
// WebAssembly; that costs more processor time than the rest of this program's
// evaluation.
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import type {Histogram} from 'hdr-histogram-js';
import type {MetricLabels, Metrics} from '../types/runtime.js';

/** Counter of samples that went to an overflow series, by metric. */
const LABEL_OVERFLOW_METRIC = 'onyxloft_metrics_overflow_total';

/**
 * Maximum number of label sets per metric. Further label sets share one
 * overflow series. Label values may come from callers and hosts; without a
 * bound, memory use and the size of each scrape would grow indefinitely.
 */
const MAX_LABEL_SETS = 200;
/** Labels of the overflow series. */
const OVERFLOW_LABELS: MetricLabels = {overflow: 'true'};

/** Quantiles shown for each summary. */
const QUANTILES = [0.5, 0.95, 0.99] as const;
/** Decimal digits of precision that histograms keep. */
const SIGNIFICANT_DIGITS = 2;
/**
 * Factor from a sample to its recorded value. Histograms store integers, so
 * samples are recorded in thousandths.
 */
const HISTOGRAM_SCALE = 1_000;
/** Largest value recorded, after scaling; larger ones are clamped to it. */
const MAX_HISTOGRAM_VALUE = 2 ** 51;

/** Largest value at first; a histogram grows with its samples. */
const INITIAL_HIGHEST_VALUE = 2;
/** Histograms whose buckets count up to 2^32 samples. */
const SampleHistogram = constructorFromBucketSize(32);

type Kind = 'counter' | 'gauge' | 'summary';

/** Samples of one metric with one label set. */
interface Series {
  readonly labels: MetricLabels;
  /** Counter or gauge value; for a summary, the sum of the samples. */
  value: number;
  /** Set for a summary only. */
  readonly histogram: Histogram | undefined;
}

/** All series of one metric. */
interface Family {
  readonly name: string;
  readonly kind: Kind;
  /** Series by the rendered text of their labels. */
  readonly series: Map<string, Series>;
}

/** Options of a metrics registry. */
export interface MetricsOptions {
  /** Maximum number of label sets per metric. @default 200 */
  readonly maxLabelSets?: number;
}

/** Creates an empty metrics registry. */
export function createMetrics(options: MetricsOptions = {}): Metrics {
  const maxLabelSets = options.maxLabelSets ?? MAX_LABEL_SETS;
  const families = new Map<string, Family>();

  const familyOf = (name: string, kind: Kind): Family => {
    const existing = families.get(name);
    if (existing === undefined) {
      const family: Family = {name, kind, series: new Map()};
      families.set(name, family);
      return family;
    }
    if (existing.kind !== kind) {
      throw new Error(`metric "${name}" is a ${existing.kind}, not a ${kind}`);
    }
    return existing;
  };

  const seriesOf = (name: string, kind: Kind, labels: MetricLabels): Series => {
    const family = familyOf(name, kind);
    const key = formatLabels(labels);
    const existing = family.series.get(key);
    if (existing !== undefined) return existing;
    // The overflow counter has one label set per metric, so it needs no bound.
    if (family.series.size < maxLabelSets || name === LABEL_OVERFLOW_METRIC) {
      return addSeries(family, key, labels);
    }
    seriesOf(LABEL_OVERFLOW_METRIC, 'counter', {metric: name}).value += 1;
    const overflowKey = formatLabels(OVERFLOW_LABELS);
    return (
      family.series.get(overflowKey) ??
      addSeries(family, overflowKey, OVERFLOW_LABELS)
    );
  };

  return {
    count: (name, labels = {}, by = 1) => {
      seriesOf(name, 'counter', labels).value += by;
    },
    gauge: (name, labels, value) => {
      seriesOf(name, 'gauge', labels).value = value;
    },
    observe: (name, labels, value) => {
      if (!Number.isFinite(value)) return;
      const series = seriesOf(name, 'summary', labels);
      const sample = Math.min(
        MAX_HISTOGRAM_VALUE,
        Math.max(0, value * HISTOGRAM_SCALE),
      );
      series.value += Math.max(0, value);
      series.histogram?.recordValue(Math.round(sample));
    },
    render: () =>
      [...families.values()]
        .sort((a, b) => (a.name < b.name ? -1 : 1))
        .map(renderFamily)
        .join(''),
  };
}

function addSeries(family: Family, key: string, labels: MetricLabels): Series {
  const histogram = family.kind === 'summary' ? createHistogram() : undefined;
  const series: Series = {labels, value: 0, histogram};
  family.series.set(key, series);
  return series;
}

function createHistogram(): Histogram {
  const histogram = new SampleHistogram(
    1,
    INITIAL_HIGHEST_VALUE,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return histogram;
}

function renderFamily(family: Family): string {
  const lines = [...family.series.values()].flatMap(series =>
    series.histogram === undefined
      ? [`${family.name}${formatLabels(series.labels)} ${series.value}`]
      : renderSummary(family.name, series, series.histogram),
  );
  return [`# TYPE ${family.name} ${family.kind}`, ...lines, ''].join('\n');
}

function renderSummary(
  name: string,
  series: Series,
  histogram: Histogram,
): readonly string[] {
  const labels = formatLabels(series.labels);
  const quantiles = QUANTILES.map(quantile => {
    const withQuantile = {...series.labels, quantile: String(quantile)};
    const value =
      histogram.getValueAtPercentile(quantile * 100) / HISTOGRAM_SCALE;
    return `${name}${formatLabels(withQuantile)} ${value}`;
  });
  return [
    ...quantiles,
    `${name}_sum${labels} ${series.value}`,
    `${name}_count${labels} ${histogram.totalCount}`,
  ];
}

/** Renders labels sorted by name, as `{a="1",b="2"}`. */
function formatLabels(labels: MetricLabels): string {
  const names = Object.keys(labels).sort();
  if (names.length === 0) return '';
  const pairs = names.map(
    name => `${name}="${escapeLabelValue(labels[name] ?? '')}"`,
  );
  return `{${pairs.join(',')}}`;
}

function escapeLabelValue(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
