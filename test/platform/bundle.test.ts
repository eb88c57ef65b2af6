/** The program for the users' platform is built into one file. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {expect, test} from 'vitest';

// Guards against a module that the bundle's format cannot hold: no entry starts.
test('the bundle for the platform builds', async () => {
  const build = promisify(execFile)(process.execPath, ['platform/build.mjs']);
  await expect(build).resolves.toMatchObject({stderr: ''});
});
