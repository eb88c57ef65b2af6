/** Only the folder platform/ knows the names on the users' wire. */
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
  return readdirSync(folder, {withFileTypes: true}).flatMap(each => {
    const path = join(folder, each.name);
    if (each.isDirectory()) return sources(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

describe('names of the users’ wire', () => {
  test('stand in no source of the product', () => {
    const found = [...sources('src'), ...sources('bench')].filter(path => {
      const text = readFileSync(path, 'utf8');
      return WIRE_NAMES.some(name => name.test(text));
    });
    expect(found).toEqual([]);
  });

  test('are translated by a folder that stays small', () => {
    const lines = (folder: string) =>
      sources(folder).reduce(
        (sum, path) => sum + readFileSync(path, 'utf8').split('\n').length,
        0,
      );
    expect(lines('platform')).toBeLessThan(lines('src') / 10);
  });
});
