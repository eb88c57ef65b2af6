/** Only the folder platform/ contains the names of the users' protocol. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';

const WIRE_NAMES = [
  /x-(response-seal|not-executed|expect-replica|replica-load|token-usage)/i,
  /x-(prompt-prefix|helpers|deadline-ms|tenant|length-hint)/i,
  /\/api\/(objects|order|report|ready)/,
  /\b(trafficSplit|gapAimMs|sloMs|kvCapacityTokens|resumable:|apiKeys)\b/,
  /ONYXLOFT_NODE_FILE/,
  /store-era/i,
];

function sources(folder: string): readonly string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sources(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

describe('names of the users’ protocol', () => {
  test('occur in no source file of the product', () => {
    const offenders = [...sources('src'), ...sources('bench')].filter(path => {
      const text = readFileSync(path, 'utf8');
      return WIRE_NAMES.some(name => name.test(text));
    });
    expect(offenders).toEqual([]);
  });

  test('are translated by a folder smaller than a tenth of src', () => {
    const lineCount = (folder: string) =>
      sources(folder).reduce(
        (sum, path) => sum + readFileSync(path, 'utf8').split('\n').length,
        0,
      );
    expect(lineCount('platform')).toBeLessThan(lineCount('src') / 10);
  });
});
