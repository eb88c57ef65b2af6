/** Checks the table of source folders in docs/DESIGN.md against the source. */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join, normalize} from 'node:path';
import {describe, expect, test} from 'vitest';

const ROW = /^\| `((?:src|platform)[a-z/]*)` \|/;

/** Folders of the table, from top to bottom. */
const folders = readFileSync('docs/DESIGN.md', 'utf8')
  .split('\n')
  .flatMap(line => ROW.exec(line)?.[1] ?? []);

function sources(folder: string): readonly string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(each => {
    const path = join(folder, each.name);
    if (each.isDirectory()) return sources(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

/** The folder of the table to which a file belongs. */
function folderOf(path: string): string {
  const [top, second] = dirname(path).split('/');
  return second === undefined ? top : `${top}/${second}`;
}

function importsOf(path: string): readonly string[] {
  const text = readFileSync(path, 'utf8');
  const imports = text.matchAll(/(?:from|import) '(\.[^']+)\.js'/g);
  return [...imports].map(([, target]) =>
    normalize(join(dirname(path), `${target}.ts`)),
  );
}

describe('table of source folders', () => {
  test('lists every existing folder and no other', () => {
    const existing = readdirSync('src', {withFileTypes: true})
      .filter(each => each.isDirectory())
      .map(each => `src/${each.name}`);
    expect([...folders].sort()).toEqual(
      ['platform', 'src', ...existing].sort(),
    );
    expect(folders.filter(folder => !existsSync(folder))).toEqual([]);
  });

  test('lists folders so that each imports only from itself and those below', () => {
    const upwards = [...sources('src'), ...sources('platform')].flatMap(path =>
      importsOf(path)
        .filter(
          target =>
            folders.indexOf(folderOf(target)) < folders.indexOf(folderOf(path)),
        )
        .map(target => `${path} imports ${target}`),
    );
    expect(upwards).toEqual([]);
  });
});
