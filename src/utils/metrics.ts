/**
 * Counters, gauges and histograms of one process, in the customary text
 * exposition form. Histograms are kept by hdr-histogram-js and shown as
 * summaries over the life of the process.
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {MetricLabels, Metrics} from '../types/runtime.js';

/** Metrics of this endpoint's own: samples that found no place. */
const LABEL_OVERFLOW_METRIC = 'onyxloft_metrics_overflow_total';

/**
 * Label values may come from callers and hosts. Without a bound their number
 * would grow the process's memory and each scrape for good.
 */
const MAX_LABEL_SETS = 200;
const OVERFLOW_LABELS: MetricLabels = {overflow: 'true'};

const QUANTILES = [0.5, 0.95, 0.99] as const;
const SIGNIFICANT_DIGITS = 2;
/** Histograms keep whole numbers: values are kept in thousandths. */
const HISTOGRAM_SCALE = 1_000;
const MAX_HISTOGRAM_VALUE = 2 ** 51;

type Kind = 'counter' | 'gauge' | 'summary';

/** Samples of one label set. */
interface Series {
  readonly labels: MetricLabels;
  value: number;
  readonly histogram: Histogram | undefined;
}

interface Family {
  readonly name: string;
  readonly kind: Kind;
  readonly series: Map<string, Series>;
}

/** Bounds of the metrics. */
export interface MetricsOptions {
  /** Label sets kept for each metric. @default 200 */
  readonly maxLabelSets?: number;
}

/** Starts an empty set of metrics. */
export function createMetrics(options: MetricsOptions = {}): Metrics {
  const maxLabelSets = options.maxLabelSets ?? MAX_LABEL_SETS;
  const families = new Map<string, Family>();

  const familyOf = (name: string, kind: Kind): Family => {
    const known = families.get(name);
    if (known === undefined) {
      const family: Family = {name, kind, series: new Map()};
      families.set(name, family);
      return family;
    }
    if (known.kind !== kind) {
      throw new Error(`metric "${name}" is a ${known.kind}, not a ${kind}`);
    }
    return known;
  };

  const seriesOf = (name: string, kind: Kind, labels: MetricLabels): Series => {
    const family = familyOf(name, kind);
    const key = formatLabels(labels);
    const known = family.series.get(key);
    if (known !== undefined) return known;
    // The overflow counter is bounded by the number of metrics.
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
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
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

/** Labels in order of their names, as `{a="1",b="2"}`. */
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
