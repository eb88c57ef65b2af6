/**
 * Works the table of docs/CAPACITY.md out of the measured slopes and the
 * target's size. Each row is the value of a line at the target; a row whose
 * point lies past the measured ones says so.
 */
import {
  ASSUMED,
  BUDGET,
  CHANGES_PER_SEC,
  FOLLOWERS,
  HOSTS,
  OPEN_LONG_MB,
  OPEN_REQUESTS,
  TARGET,
} from './capacity_target.js';
import type {Payer, Series, SlopesFile} from './slopes_record.js';

/** One figure of a role at the target. */
export interface CapacityRow {
  readonly role: Payer;
  readonly what: string;
  readonly value: number;
  readonly unit: string;
  /** Most that is allowed; undefined where no budget was given. */
  readonly budget: number | undefined;
  readonly from: string;
  /** Times the target lies past the largest measured size. */
  readonly past: number;
}

interface Wanted {
  readonly role: Payer;
  readonly what: string;
  readonly unit: string;
  readonly budget?: number;
  readonly sweep: string;
  readonly figure: string;
  /** Size at the target, for one process. */
  readonly at: number;
  /** Whether what is there at size 0 counts too. @default false */
  readonly whole?: boolean;
  /** Processes that shared what was varied. @default 1 */
  readonly sharedBy?: number;
  /** Turns the line's value into the row's unit. @default 1 */
  readonly times?: number;
}

const PER_ENTRY = 1 / TARGET.entries;
const PER_SIDE = 1 / TARGET.replicas;
/** Percent of a core to milliseconds a second, and back. */
const MS_PER_SEC_TO_PERCENT = 0.1;

const CONTROL: readonly Wanted[] = [
  {
    role: 'entry',
    what: 'control: processor',
    unit: '% of a core',
    budget: BUDGET.cpuPercent,
    sweep: 'hosts',
    figure: 'processor',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: bytes to and from peers',
    unit: 'B/s',
    budget: BUDGET.bytesPerSec,
    sweep: 'hosts',
    figure: 'control bytes',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: all bytes, host list and object API included',
    unit: 'B/s',
    budget: BUDGET.bytesPerSec,
    sweep: 'hosts',
    figure: 'all bytes',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: processor of the placer, one entry',
    unit: '% of a core',
    budget: BUDGET.cpuPercent,
    sweep: 'hosts',
    figure: 'processor of the placer',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: bytes of the placer, one entry',
    unit: 'B/s',
    budget: BUDGET.bytesPerSec,
    sweep: 'hosts',
    figure: 'control bytes of the placer',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: heap of the process, code included',
    unit: 'MB',
    budget: BUDGET.memoryMb,
    sweep: 'hosts',
    figure: 'heap',
    at: HOSTS,
    whole: true,
  },
  {
    role: 'entry',
    what: 'control: heap for the hosts listed',
    unit: 'MB',
    sweep: 'hosts',
    figure: 'heap',
    at: HOSTS,
  },
  {
    role: 'entry',
    what: 'control: heap for the organisations',
    unit: 'MB',
    sweep: 'organisations',
    figure: 'heap',
    at: TARGET.organisations,
  },
  {
    role: 'entry',
    what: 'control: processor for changes, busiest hour',
    unit: '% of a core',
    sweep: 'organisations',
    figure: 'processor per change',
    at: TARGET.organisations,
    whole: true,
    times: CHANGES_PER_SEC * MS_PER_SEC_TO_PERCENT,
  },
  {
    role: 'entry',
    what: 'control: bytes for changes, busiest hour',
    unit: 'B/s',
    sweep: 'organisations',
    figure: 'control bytes per change',
    at: TARGET.organisations,
    whole: true,
    times: CHANGES_PER_SEC,
  },
  {
    role: 'entry',
    what: 'control: bytes for runs, answers of 8 tokens',
    unit: 'B/s',
    sweep: 'requests',
    figure: 'control bytes of all',
    at: TARGET.requestsPerSec * PER_ENTRY,
    sharedBy: 2,
  },
  {
    role: 'side',
    what: 'control: processor',
    unit: '% of a core',
    budget: BUDGET.cpuPercent,
    sweep: 'entries',
    figure: 'processor',
    at: FOLLOWERS,
    whole: true,
  },
  {
    role: 'side',
    what: 'control: bytes to and from peers',
    unit: 'B/s',
    budget: BUDGET.bytesPerSec,
    sweep: 'entries',
    figure: 'control bytes',
    at: FOLLOWERS,
    whole: true,
  },
  {
    role: 'side',
    what: 'control: heap of the process, code included',
    unit: 'MB',
    budget: BUDGET.memoryMb,
    sweep: 'entries',
    figure: 'heap',
    at: FOLLOWERS,
    whole: true,
  },
  {
    role: 'side',
    what: 'control: heap for the organisations',
    unit: 'MB',
    sweep: 'organisations',
    figure: 'heap',
    at: TARGET.organisations,
  },
  {
    role: 'side',
    what: 'control: processor for changes, busiest hour',
    unit: '% of a core',
    sweep: 'organisations',
    figure: 'processor per change',
    at: TARGET.organisations,
    whole: true,
    times: CHANGES_PER_SEC * MS_PER_SEC_TO_PERCENT,
  },
];

const REQUESTS: readonly Wanted[] = (['entry', 'side'] as const).flatMap(
  (role): readonly Wanted[] => {
    const share = role === 'entry' ? PER_ENTRY : PER_SIDE;
    const sharedBy = role === 'entry' ? 2 : 4;
    return [
      {
        role,
        what: 'requests: processor, 8 tokens each',
        unit: '% of a core',
        sweep: 'requests',
        figure: 'processor of all',
        at: TARGET.requestsPerSec * share,
        sharedBy,
      },
      {
        role,
        what: 'tokens: processor',
        unit: '% of a core',
        sweep: 'tokens',
        figure: 'processor of all',
        at: TARGET.tokensPerSec * share,
        sharedBy,
      },
      {
        role,
        what: 'tokens: bytes between entry and side',
        unit: 'B/s',
        sweep: 'tokens',
        figure: 'request bytes of all',
        at: TARGET.tokensPerSec * share,
        sharedBy,
      },
      {
        role,
        what: 'open requests: heap',
        unit: 'MB',
        sweep: 'open',
        figure: 'heap of all',
        at: OPEN_REQUESTS * share,
        sharedBy: 2,
      },
      {
        role,
        what: 'open long prompts: buffers',
        unit: 'MB',
        sweep: 'prompts',
        figure: 'buffers of all',
        at: OPEN_LONG_MB * share,
        sharedBy: 2,
      },
    ];
  },
);

const STORE: readonly Wanted[] = [
  {
    role: 'object-api',
    what: 'reads of the lease, 16 entries; three look often',
    unit: '1/s',
    budget: ASSUMED.storeReadsPerSec,
    sweep: 'entries',
    figure: 'calls: lease get',
    at: 16,
    whole: true,
  },
  {
    role: 'object-api',
    what: 'writes for requests that may run once only',
    unit: '1/s',
    budget: ASSUMED.storeWritesPerSec,
    sweep: 'claims',
    figure: 'calls: claim create',
    at: TARGET.requestsPerSec * ASSUMED.onceShare,
  },
  {
    role: 'object-api',
    what: 'calls for changes, busiest hour',
    unit: '1/s',
    budget: ASSUMED.storeWritesPerSec,
    sweep: 'organisations',
    figure: 'calls per change: all',
    at: TARGET.organisations,
    whole: true,
    times: CHANGES_PER_SEC,
  },
];

function seriesOf(file: SlopesFile, wanted: Wanted): Series | undefined {
  return file.sweeps
    .find(({name}) => name === wanted.sweep)
    ?.series.find(
      ({payer, figure}) => payer === wanted.role && figure === wanted.figure,
    );
}

function toRow(series: Series, wanted: Wanted): CapacityRow {
  const {line, points} = series;
  const {at, times = 1, sharedBy = 1, sweep} = wanted;
  const base = wanted.whole === true ? line.intercept : 0;
  const largest = Math.max(...points.map(([x]) => x)) / sharedBy;
  return {
    role: wanted.role,
    what: wanted.what,
    value: (base + line.slope * at) * times,
    unit: wanted.unit,
    budget: wanted.budget,
    from: `${sweep}, R² ${line.r2.toFixed(2)}`,
    past: at / largest,
  };
}

/** Rows for all that was measured, in the order of the page. */
export function capacityRows(file: SlopesFile): readonly CapacityRow[] {
  return [...CONTROL, ...REQUESTS, ...STORE].flatMap(wanted => {
    const series = seriesOf(file, wanted);
    return series === undefined ? [] : [toRow(series, wanted)];
  });
}

function show(value: number): string {
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en');
  return value.toPrecision(2);
}

function verdict({value, budget, unit}: CapacityRow): string {
  if (budget === undefined) return '';
  const times = value / budget;
  const most = `${show(budget)} ${unit}`;
  return times <= 1
    ? `${most}: met`
    : `${most}: over ${times.toFixed(1)} times`;
}

function reach({past}: CapacityRow): string {
  return past <= 1 ? 'measured' : `extrapolated ${past.toFixed(1)} times`;
}

function toLine(row: CapacityRow): string {
  const value = `${show(row.value)} ${row.unit}`;
  const cells = [row.role, row.what, value, verdict(row), row.from, reach(row)];
  return `| ${cells.join(' | ')} |`;
}

const HEADING = [
  '| role | what, for one process | at the target | budget | line | size |',
  '| --- | --- | --- | --- | --- | --- |',
];

/** The page's table in Markdown. */
export function renderCapacityTable(file: SlopesFile): string {
  return [...HEADING, ...capacityRows(file).map(toLine)].join('\n');
}

/** The lines behind the table, one row for each that it uses. */
export function renderSlopesTable(file: SlopesFile): string {
  const rows = file.sweeps.flatMap(sweep =>
    sweep.series
      .filter(one => isUsed(sweep.name, one))
      .map(({payer, figure, unit, points, line}) => {
        const sizes = points.map(([x]) => x).join(', ');
        const cells = [
          sweep.varied,
          sizes,
          payer,
          `${figure}, ${unit}`,
          line.intercept.toPrecision(3),
          line.slope.toPrecision(3),
          line.r2.toFixed(2),
          line.residual.toPrecision(2),
        ];
        return `| ${cells.join(' | ')} |`;
      }),
  );
  return [
    '| varied | sizes | role | figure | at 0 | slope | R² | residual |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}

function isUsed(sweep: string, series: Series): boolean {
  return [...CONTROL, ...REQUESTS, ...STORE].some(
    wanted =>
      wanted.sweep === sweep &&
      wanted.role === series.payer &&
      wanted.figure === series.figure,
  );
}
