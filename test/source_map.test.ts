/** The map of the source in docs/DESIGN.md, held against the source. */
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join, normalize} from 'node:path';
import {describe, expect, test} from 'vitest';

const ROW = /^\| `((?:src|platform)[a-z/]*)` \|/;

/** Folders of the map, from top to bottom. */
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

/** The folder of the map that a file belongs to. */
function folderOf(path: string): string {
  const [top, second] = dirname(path).split('/');
  return second === undefined ? top : `${top}/${second}`;
}

function importsOf(path: string): readonly string[] {
  const text = readFileSync(path, 'utf8');
  const found = text.matchAll(/(?:from|import) '(\.[^']+)\.js'/g);
  return [...found].map(([, target]) =>
    normalize(join(dirname(path), `${target}.ts`)),
  );
}

describe('the map of the source', () => {
  test('names every folder, and no other', () => {
    const there = readdirSync('src', {withFileTypes: true})
      .filter(each => each.isDirectory())
      .map(each => `src/${each.name}`);
    expect([...folders].sort()).toEqual(['platform', 'src', ...there].sort());
    expect(folders.filter(folder => !existsSync(folder))).toEqual([]);
  });

  test('lists folders so that imports run downwards', () => {
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
