/** Formats JSON values for a terminal. A list of flat objects is a table. */

type JsonObject = Readonly<Record<string, unknown>>;

const INDENT = '  ';

/** Formats any JSON value as text. */
export function renderValue(value: unknown): string {
  return renderLines(value, '').join('\n');
}

/** Formats a table. Each column is padded to its widest cell. */
export function renderTable(
  headers: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const all = [headers, ...rows];
  const widths = headers.map((_, column) =>
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

function renderLines(value: unknown, indent: string): readonly string[] {
  if (Array.isArray(value)) return renderList(value, indent);
  if (!isObject(value)) return [indent + renderScalar(value)];
  return Object.entries(value).flatMap(([name, inner]) =>
    isNested(inner)
      ? [`${indent}${name}:`, ...renderLines(inner, indent + INDENT)]
      : [`${indent}${name}: ${renderScalar(inner)}`],
  );
}

function renderList(list: readonly unknown[], indent: string) {
  if (list.every(isFlatObject) && list.length > 0)
    return renderObjectTable(list, indent);
  return list.flatMap(item =>
    isNested(item)
      ? [`${indent}-`, ...renderLines(item, indent + INDENT)]
      : [`${indent}- ${renderScalar(item)}`],
  );
}

function renderObjectTable(list: readonly JsonObject[], indent: string) {
  const headers = [...new Set(list.flatMap(item => Object.keys(item)))];
  const rows = list.map(item => headers.map(head => renderScalar(item[head])));
  return renderTable(headers, rows)
    .split('\n')
    .map(line => indent + line);
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null;
}

/** Returns true for a value that is printed on separate lines. */
function isNested(value: unknown): boolean {
  return isObject(value) && Object.keys(value).length > 0;
}

/** Returns true for an object that fits one row of a table. */
function isFlatObject(value: unknown): value is JsonObject {
  return (
    isNested(value) &&
    !Array.isArray(value) &&
    !Object.values(value as JsonObject).some(isNested)
  );
}

function renderScalar(value: unknown): string {
  if (value === undefined || value === null || isObject(value)) return '-';
  return String(value);
}
