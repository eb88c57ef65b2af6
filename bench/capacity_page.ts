/**
 * Puts the tables into the capacity page, between their markers:
 *
 *     npm run bench -- capacity-page
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {renderCapacityTable, renderSlopesTable} from './capacity_table.js';
import type {SlopesFile} from './slopes_record.js';

const PAGE = 'docs/CAPACITY.md';
const SLOPES = 'docs/capacity/slopes.json';

const TABLES: Readonly<Record<string, (file: SlopesFile) => string>> = {
  target: renderCapacityTable,
  slopes: renderSlopesTable,
};

/** The page with its tables worked out anew. */
export function withTables(page: string, file: SlopesFile): string {
  return Object.entries(TABLES).reduce((text, [name, render]) => {
    const [begin, end] = [`<!-- ${name} -->`, `<!-- end of ${name} -->`];
    const [before, rest = ''] = text.split(begin);
    const [, after] = rest.split(end);
    if (after === undefined) throw new Error(`the page has no ${begin}`);
    return `${before}${begin}\n\n${render(file)}\n\n${end}${after}`;
  }, page);
}

/** Reads page and slopes under `root`. */
export function readCapacity(root: string): {
  readonly page: string;
  readonly file: SlopesFile;
} {
  return {
    page: readFileSync(join(root, PAGE), 'utf8'),
    file: JSON.parse(readFileSync(join(root, SLOPES), 'utf8')) as SlopesFile,
  };
}

export function benchCapacityPage(): Promise<void> {
  const {page, file} = readCapacity('.');
  writeFileSync(PAGE, withTables(page, file));
  return Promise.resolve();
}
