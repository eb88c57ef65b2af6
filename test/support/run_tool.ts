/** Runs the command line in this process and captures its output. */
import {PassThrough} from 'node:stream';
import {openToolStore} from '../../platform/tool_store.js';
import {runTool} from '../../src/cli/tool.js';

export interface ToolRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

export async function runToolWith(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<ToolRun> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const stdin = new PassThrough();
  const openStore = openToolStore;
  const context = {env, stdin, stdout, stderr, colorDepth: 1, openStore};
  const code = await runTool(args, context);
  const readAll = (stream: PassThrough) => String(stream.read() ?? '');
  return {code, stdout: readAll(stdout), stderr: readAll(stderr)};
}
