/** The program for the users' platform is built into files that start it. */
import {execFile, spawn} from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {createInterface} from 'node:readline';
import {promisify} from 'node:util';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {freeAddresses} from '../../demo/free_addresses.js';
import {
  decodeCodeCache,
  encodeCodeCache,
  ownTarget,
} from '../../platform/code_cache.js';
import {
  SETTINGS_VARIABLE,
  entrySettings,
} from '../../standins/users_platform/entry_program.js';

const run = promisify(execFile);
const directory = mkdtempSync(join(tmpdir(), 'onyxloft-bundle-'));
const built = join(directory, 'built');
const settingsPath = join(directory, 'settings.json');

/** Arguments of `node` in the run line of the deployment. */
function runArguments(): readonly string[] {
  const toml = readFileSync('deploy/system.toml', 'utf8');
  return /^run = "node (.*)"$/m.exec(toml)?.[1]?.split(' ') ?? [];
}

beforeAll(async () => {
  const build = await run(process.execPath, ['platform/build.mjs', built]);
  expect(build).toMatchObject({stderr: ''});
  const [store = '', ...addresses] = await freeAddresses(5);
  const settings = entrySettings({node: 'entry-1', store, addresses});
  writeFileSync(settingsPath, JSON.stringify(settings));
});

afterAll(() => rmSync(directory, {recursive: true}));

/** A copy of what was built, to be changed by a test. */
function copyOfBuilt(): string {
  const copy = mkdtempSync(join(directory, 'copy-'));
  cpSync(built, copy, {recursive: true});
  return copy;
}

/** The folder of the files that the started one loads. */
function loadedFrom(target: string): string {
  const [id = ''] = readdirSync(join(target, 'builds'));
  return join(target, 'builds', id);
}

/**
 * Starts the program of a directory with the arguments of the run line; returns
 * what its first log line says of the compiled code.
 */
async function codeCacheAtStart(
  from: string,
  flags: readonly string[] = [],
): Promise<unknown> {
  const args = runArguments().map(arg =>
    arg.startsWith('target/') ? join(from, arg.slice('target/'.length)) : arg,
  );
  const child = spawn(process.execPath, [...flags, ...args], {
    // A process on the platform may only write below /tmp.
    cwd: resolve('.'),
    env: {...process.env, [SETTINGS_VARIABLE]: settingsPath},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let errors = '';
  child.stderr.on('data', piece => (errors += String(piece)));
  const exited = new Promise(resolveExit => child.once('exit', resolveExit));
  const line = await new Promise<string>((resolveLine, reject) => {
    createInterface(child.stdout).once('line', resolveLine);
    void exited.then(() => reject(new Error(`no log line: ${errors}`)));
  });
  child.kill('SIGKILL');
  await exited;
  const {name, codeCache} = JSON.parse(line) as Record<string, unknown>;
  expect(name).toBe('direct-program-loaded');
  return codeCache;
}

describe('the build for the platform', () => {
  // Guards against a module that the bundle's format cannot hold, and against a
  // run line that names a file which the build does not write: no entry starts.
  test('writes the file of the run line and all that it loads', () => {
    const program = runArguments().at(-1) ?? '';
    expect(existsSync(join(built, program.slice('target/'.length)))).toBe(true);
    for (const name of ['program.cjs', 'program.cache']) {
      expect(existsSync(join(loadedFrom(built), name)), name).toBe(true);
    }
  });

  // Guards against the settings of the build's own run being left in place.
  test('leaves no settings behind', () => {
    expect(readdirSync(built).sort()).toEqual(['builds', 'onyxloft.cjs']);
    const files = readdirSync(loadedFrom(built));
    expect(files.sort()).toEqual(['program.cache', 'program.cjs']);
  });
});

describe('the start of the built program', () => {
  // Guards against flags of the run line under which V8 refuses the compiled
  // code: every start would compile the program again.
  test('uses the compiled code under the run line', async () => {
    expect(await codeCacheAtStart(built)).toBe('used');
  });

  // Guards against an entry that does not start after a build without a cache.
  test('works without compiled code', async () => {
    const copy = copyOfBuilt();
    rmSync(join(loadedFrom(copy), 'program.cache'));
    expect(await codeCacheAtStart(copy)).toBe('missing');
  });

  // Guards against a crash of V8 on a file that was written in part.
  test.each([0, 20, 10_000])('works with a cache of %i bytes', async size => {
    const copy = copyOfBuilt();
    truncateSync(join(loadedFrom(copy), 'program.cache'), size);
    expect(await codeCacheAtStart(copy)).toBe('damaged');
  });

  // Guards against code of an earlier build being run in place of the program.
  // V8 itself compares only the program's length.
  test('does not use the compiled code of another program', async () => {
    const copy = copyOfBuilt();
    const path = join(loadedFrom(copy), 'program.cjs');
    const program = readFileSync(path, 'utf8');
    const changed = program.replace('direct-listening', 'direct-l1stening');
    expect(changed).not.toBe(program);
    writeFileSync(path, changed);
    expect(await codeCacheAtStart(copy)).toBe('damaged');
  });

  // Guards against a start that fails where another version of Node runs the
  // program than the one that built it.
  test('works with compiled code of another version of V8', async () => {
    const copy = copyOfBuilt();
    const program = readFileSync(join(loadedFrom(copy), 'program.cjs'));
    const path = join(loadedFrom(copy), 'program.cache');
    const code = decodeCodeCache(program, readFileSync(path));
    // The second word of V8's header is a hash of its version.
    code?.writeUInt32LE(code.readUInt32LE(4) ^ 1, 4);
    writeFileSync(path, encodeCodeCache(program, code ?? Buffer.alloc(0)));
    expect(await codeCacheAtStart(copy)).toBe('rejected');
  });

  // Guards against machine code of another processor, or of a Node whose V8 has
  // the same version and other patches, being run after a build is carried over.
  test.each([
    {processor: 'another'},
    {node: 'v20.0.1'},
    {v8: '11.3.244.8-node.1'},
  ])('works with compiled code made for %o', async other => {
    const copy = copyOfBuilt();
    const program = readFileSync(join(loadedFrom(copy), 'program.cjs'));
    const path = join(loadedFrom(copy), 'program.cache');
    const code = decodeCodeCache(program, readFileSync(path));
    expect(code).toBeDefined();
    const target = {...ownTarget(), ...other};
    const bytes = encodeCodeCache(program, code ?? Buffer.alloc(0), target);
    writeFileSync(path, bytes);
    expect(await codeCacheAtStart(copy)).toBe('damaged');
  });

  // Guards against a start that fails under flags that were added to the run
  // line and that the compiled code was not made with.
  test('works under flags that the build does not know', async () => {
    expect(await codeCacheAtStart(built, ['--max-lazy'])).toBe('rejected');
  });
});
