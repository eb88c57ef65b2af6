/** Writes the plots of first-token times of the policy bench. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {ScenarioResult} from './policy.js';
import {plotDistributions} from './svg_plot.js';

/** One plot for short prompts and one for those over 100,000 tokens. */
export function writePlots(
  folder: string,
  results: readonly ScenarioResult[],
): void {
  mkdirSync(folder, {recursive: true});
  for (const result of results) {
    const rows = result.rows.filter(
      row => row.baseline || row.policy === 'ours',
    );
    const name = `${result.deployment} ${result.scenario}`;
    const save = (what: string, svg: string) =>
      writeFileSync(join(folder, `${fileName(name)}_${what}.svg`), svg);
    save(
      'short',
      plotDistributions(
        `${name}: first token of prompts up to 8,000 tokens`,
        rows.map(row => ({name: row.policy, valuesMs: row.shortMs})),
      ),
    );
    save(
      'over_100k',
      plotDistributions(
        `${name}: first token of prompts over 100,000 tokens`,
        rows.map(row => ({name: row.policy, valuesMs: row.over100kMs})),
      ),
    );
  }
}

function fileName(name: string): string {
  return name.toLowerCase().replace('%', '_percent').replace(/\s+/g, '_');
}
