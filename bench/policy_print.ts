/** Prints the policy bench's figures as a table of text. */
import type {ScenarioResult} from './policy.js';
import type {Percentiles} from './policy_stats.js';

const COLUMNS = [
  'policy',
  'short p50/p95/p99',
  'medium',
  'long',
  'over100k',
  'slowdown',
  'longest',
  'between',
  'refused',
  'late',
  'failed',
  'goodput',
  'prefix',
  'herding',
  'busy',
  'score',
  'recovery',
] as const;

export function printScenario(result: ScenarioResult): void {
  const {deployment, scenario, requestsPerSec, aloneP95Ms} = result;
  console.log(
    `\n${deployment}, ${scenario}: ${requestsPerSec.toFixed(2)} requests/s; ` +
      `short alone p95 ${aloneP95Ms.toFixed(0)} ms; times in ms`,
  );
  const lines = result.rows.map(row => cellsOf(row));
  const table: readonly (readonly string[])[] = [COLUMNS, ...lines];
  const widths = COLUMNS.map((_, at) =>
    Math.max(...table.map(line => line[at].length)),
  );
  for (const line of table) {
    console.log(line.map((cell, at) => cell.padEnd(widths[at])).join('  '));
  }
}

function cellsOf(row: ScenarioResult['rows'][number]): readonly string[] {
  const {figures} = row;
  const {firstTokenMs} = figures;
  return [
    row.policy,
    timesOf(firstTokenMs.short),
    timesOf(firstTokenMs.medium),
    timesOf(firstTokenMs.long),
    timesOf(firstTokenMs.over100k),
    figures.shortSlowdown.toFixed(2),
    figures.longestWaitMs.toFixed(0),
    figures.betweenTokensP95Ms.toFixed(0),
    `${figures.refused}/${figures.requests}`,
    String(figures.late),
    String(figures.failed),
    figures.goodputTokensPerSec.toFixed(0),
    figures.prefixHitShare.toFixed(2),
    figures.herding.toFixed(2),
    figures.busyShare.toFixed(2),
    row.score.toFixed(2),
    row.recoverySec === undefined ? '' : `${row.recoverySec.toFixed(0)} s`,
  ];
}

function timesOf(times: Percentiles): string {
  return [times.p50, times.p95, times.p99].map(ms => ms.toFixed(0)).join('/');
}
