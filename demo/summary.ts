/** The demo's result by length class. */

/** One judged request. */
export interface Checked {
  readonly row: string;
  readonly ok: boolean;
  readonly late: boolean;
  readonly cut: boolean;
  readonly mixedUp: boolean;
  readonly lost: boolean;
  readonly refused: boolean;
  readonly refusal: string;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

export interface SummaryRow {
  readonly row: string;
  readonly count: number;
  readonly ok: number;
  readonly refused: number;
  readonly late: number;
  readonly cut: number;
  readonly mixedUp: number;
  readonly lost: number;
  /** Of streamed answers. */
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly totalP50Ms: number;
  readonly totalMaxMs: number;
  readonly refusals: readonly string[];
}

export interface DemoSummary {
  /** Nothing lost, doubled, cut, mixed up, late or refused. */
  readonly sound: boolean;
  /** Requests that an upstream ran more than once. */
  readonly doubled: number;
  readonly rows: readonly SummaryRow[];
}

const HEADINGS = [
  'class',
  'count',
  'ok',
  'refused',
  'late',
  'cut',
  'mixed up',
  'lost',
  'first p50',
  'first p95',
  'total p50',
  'total max',
] as const;

function percentile(values: readonly number[], share: number): number {
  const known = values.filter(value => !Number.isNaN(value));
  known.sort((a, b) => a - b);
  const index = Math.min(known.length - 1, Math.floor(share * known.length));
  return Math.round(known[index] ?? 0);
}

function summariseRow(row: string, all: readonly Checked[]): SummaryRow {
  const count = (is: (one: Checked) => boolean) => all.filter(is).length;
  const firsts = all.map(one => one.firstTokenMs);
  const totals = all.map(one => one.totalMs);
  const refusals = all.map(one => one.refusal).filter(code => code !== '');
  return {
    row,
    count: all.length,
    ok: count(one => one.ok),
    refused: count(one => one.refused),
    late: count(one => one.late),
    cut: count(one => one.cut),
    mixedUp: count(one => one.mixedUp),
    lost: count(one => one.lost),
    firstTokenP50Ms: percentile(firsts, 0.5),
    firstTokenP95Ms: percentile(firsts, 0.95),
    totalP50Ms: percentile(totals, 0.5),
    totalMaxMs: percentile(totals, 1),
    refusals: [...new Set(refusals)],
  };
}

export function summarise(
  checked: readonly Checked[],
  doubled: number,
): DemoSummary {
  const names = [...new Set(checked.map(({row}) => row))];
  const rows = names.map(name =>
    summariseRow(
      name,
      checked.filter(({row}) => row === name),
    ),
  );
  const sound = doubled === 0 && rows.every(({count, ok}) => count === ok);
  return {sound, doubled, rows};
}

export function renderTable(summary: DemoSummary): string {
  const lines = summary.rows.map(row => [
    row.row,
    row.count,
    row.ok,
    row.refused,
    row.late,
    row.cut,
    row.mixedUp,
    row.lost,
    row.firstTokenP50Ms,
    row.firstTokenP95Ms,
    row.totalP50Ms,
    row.totalMaxMs,
  ]);
  const text = [HEADINGS, ...lines].map(cells =>
    cells.map(cell => String(cell).padStart(10)).join(''),
  );
  const refusals = summary.rows.flatMap(row => row.refusals);
  return [
    ...text,
    '',
    `doubled: ${summary.doubled}; times in ms`,
    ...(refusals.length > 0 ? [`refusals: ${refusals.join(', ')}`] : []),
    summary.sound
      ? 'sound: no request was lost, doubled, cut, mixed up or late'
      : 'NOT SOUND: see the table',
  ].join('\n');
}
