/** Shows JSON values to people: tables for lists of like objects. */

type JsonObject = Readonly<Record<string, unknown>>;

const INDENT = '  ';

/** Text of any JSON value. */
export function renderValue(value: unknown): string {
  return linesOf(value, '').join('\n');
}

/** Columns padded to their widest cell. */
export function renderTable(
  heads: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const all = [heads, ...rows];
  const widths = heads.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  return all
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function linesOf(value: unknown, indent: string): readonly string[] {
  if (Array.isArray(value)) return listLines(value, indent);
  if (!isObject(value)) return [indent + scalar(value)];
  return Object.entries(value).flatMap(([name, inner]) =>
    isNested(inner)
      ? [`${indent}${name}:`, ...linesOf(inner, indent + INDENT)]
      : [`${indent}${name}: ${scalar(inner)}`],
  );
}

function listLines(list: readonly unknown[], indent: string) {
  if (list.every(isFlat) && list.length > 0) return tableLines(list, indent);
  return list.flatMap(item =>
    isNested(item)
      ? [`${indent}-`, ...linesOf(item, indent + INDENT)]
      : [`${indent}- ${scalar(item)}`],
  );
}

function tableLines(list: readonly JsonObject[], indent: string) {
  const heads = [...new Set(list.flatMap(item => Object.keys(item)))];
  const rows = list.map(item => heads.map(head => scalar(item[head])));
  return renderTable(heads, rows)
    .split('\n')
    .map(line => indent + line);
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null;
}

/** Needs lines of its own. */
function isNested(value: unknown): boolean {
  return isObject(value) && Object.keys(value).length > 0;
}

/** Fits one row of a table. */
function isFlat(value: unknown): value is JsonObject {
  return (
    isNested(value) &&
    !Array.isArray(value) &&
    !Object.values(value as JsonObject).some(isNested)
  );
}

function scalar(value: unknown): string {
  if (value === undefined || value === null || isObject(value)) return '-';
  return String(value);
}
