/** Runs the command line in this process and captures its output. */
import {PassThrough} from 'node:stream';
import {createStoreClient} from '../../platform/store_client.js';
import {runTool} from '../../src/cli/tool.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordedMetrics} from '../../standins/recording_runtime.js';

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
  const openStore = (address: string) =>
    createStoreClient({
      address,
      clock: createProcessClock(),
      metrics: createRecordedMetrics(),
      log: () => undefined,
    });
  const context = {env, stdin, stdout, stderr, colorDepth: 1, openStore};
  const code = await runTool(args, context);
  const readAll = (stream: PassThrough) => String(stream.read() ?? '');
  return {code, stdout: readAll(stdout), stderr: readAll(stderr)};
}
