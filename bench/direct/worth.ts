/**
 * What a run was worth to its callers: whole in time, less when late, nothing
 * otherwise; over the whole run, its worst windows and its worst kind.
 */
import type {CallerRecord} from './model_caller.js';

/** How the parts count. */
const WEIGHTS = {whole: 0.6, windows: 0.25, kind: 0.15};
const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;

export type Outcome = 'in time' | 'late' | 'lost';

export interface KindFigures {
  readonly kind: string;
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  readonly worth: number;
  readonly firstP50Ms: number;
  readonly firstP95Ms: number;
  readonly pauseP95Ms: number;
  /** Reasons for which worth was lost, as shares of what was owed. */
  readonly lossBy: Readonly<Record<string, number>>;
}

export interface RunFigures {
  readonly worth: number;
  readonly whole: number;
  readonly windows: number;
  readonly kind: number;
  readonly byWindow: readonly number[];
  readonly byKind: readonly KindFigures[];
  readonly refusals: number;
}

export function figuresOf(
  records: readonly CallerRecord[],
  lengthS: number,
): RunFigures {
  const windows = Math.ceil((lengthS * 1_000) / WINDOW_MS);
  const byWindow = Array.from({length: windows}, (_, at) =>
    shareOf(
      records.filter(
        ({request}) => Math.floor(request.atMs / WINDOW_MS) === at,
      ),
    ),
  );
  const worst = [...byWindow].sort((a, b) => a - b).slice(0, WORST_WINDOWS);
  const kinds = [...new Set(records.map(({request}) => request.kind.name))];
  const byKind = kinds.map(kind => kindFigures(kind, records));
  const whole = shareOf(records);
  const worstWindows = mean(worst);
  const worstKind = Math.min(...byKind.map(({worth}) => worth));
  return {
    worth:
      WEIGHTS.whole * whole +
      WEIGHTS.windows * worstWindows +
      WEIGHTS.kind * worstKind,
    whole,
    windows: worstWindows,
    kind: worstKind,
    byWindow,
    byKind,
    refusals: records.reduce((sum, {refusals}) => sum + refusals, 0),
  };
}

export function outcomeOf(record: CallerRecord): Outcome {
  if (record.end !== 'whole') return 'lost';
  return isFirstLate(record) || isPauseLate(record) ? 'late' : 'in time';
}

function isFirstLate({request, firstEventMs = Infinity}: CallerRecord) {
  return firstEventMs > request.kind.aimMs;
}

function isPauseLate({request, longestPauseMs}: CallerRecord) {
  return longestPauseMs > request.kind.pauseAimMs;
}

function earned(record: CallerRecord): number {
  const {worth, lateWorth} = record.request;
  const outcome = outcomeOf(record);
  if (outcome === 'in time') return worth;
  return outcome === 'late' ? lateWorth : 0;
}

function reasonOf(record: CallerRecord): string {
  if (record.end !== 'whole') {
    const begun = record.events > 0 ? 'in its stream' : 'before its stream';
    return `${record.end} ${begun}`;
  }
  return isFirstLate(record) ? 'first event late' : 'pause late';
}

function shareOf(records: readonly CallerRecord[]): number {
  const owed = records.reduce((sum, {request}) => sum + request.worth, 0);
  const got = records.reduce((sum, record) => sum + earned(record), 0);
  return owed === 0 ? 1 : got / owed;
}

function kindFigures(kind: string, all: readonly CallerRecord[]): KindFigures {
  const records = all.filter(({request}) => request.kind.name === kind);
  const count = (outcome: Outcome) =>
    records.filter(record => outcomeOf(record) === outcome).length;
  const owed = records.reduce((sum, {request}) => sum + request.worth, 0);
  const lossBy: Record<string, number> = {};
  for (const record of records) {
    const loss = record.request.worth - earned(record);
    if (loss <= 0) continue;
    const reason = reasonOf(record);
    lossBy[reason] = (lossBy[reason] ?? 0) + loss / owed;
  }
  const firsts = records.map(({firstEventMs = Infinity}) => firstEventMs);
  const pauses = records.map(({longestPauseMs}) => longestPauseMs);
  return {
    kind,
    asked: records.length,
    inTime: count('in time'),
    late: count('late'),
    lost: count('lost'),
    worth: shareOf(records),
    firstP50Ms: quantile(firsts, 0.5),
    firstP95Ms: quantile(firsts, 0.95),
    pauseP95Ms: quantile(pauses, 0.95),
    lossBy,
  };
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
}
