#!/usr/bin/env node
/**
 * The daemon: `onyxloftd --settings FILE`. It checks its settings, starts the
 * services of its role, and on SIGTERM drains before it ends.
 *
 * Exit codes: 0 ended after a drain, 1 could not start or was cut short,
 * 2 wrong usage or settings; nothing was started.
 */
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {loadSettings} from './config/settings.js';
import type {Settings} from './config/settings.js';
import {formatFaults} from './config/settings_faults.js';
import type {Runtime} from './types/runtime.js';
import {createProcessClock, createProcessRandom} from './utils/clock.js';
import {KERNEL_EVENTS} from './utils/events.js';
import {createProcessInvariant} from './utils/invariant.js';
import {createProcessLog} from './utils/logger.js';
import {createMetrics} from './utils/metrics.js';
import {startProcess} from './wiring.js';
import type {RunningProcess} from './wiring.js';

const USAGE = `usage: onyxloftd --settings FILE

  --settings FILE   settings of this process, JSON with comments

Check a file without starting anything: onyxloft settings check FILE
`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
/** Pause for the last log lines to reach the pipe. */
const LOG_FLUSH_MS = 50;

function readSettings(): Settings | undefined {
  const {values} = parseArgs({
    options: {settings: {type: 'string'}},
    strict: false,
  });
  if (typeof values.settings !== 'string') {
    process.stderr.write(USAGE);
    return undefined;
  }
  return loadSettings(values.settings).caseOf<Settings | undefined>({
    Left: faults => {
      process.stderr.write(`${formatFaults(faults)}\n`);
      return undefined;
    },
    Right: settings => settings,
  });
}

function createRuntime(settings: Settings): Runtime {
  const log = createProcessLog({
    node: settings.node,
    level: settings.log.level,
  });
  const metrics = createMetrics();
  return {
    clock: createProcessClock(),
    random: createProcessRandom(),
    log,
    metrics,
    invariant: createProcessInvariant(log, metrics),
  };
}

/**
 * First signal: drain, within the drain limit. Second signal, or the limit:
 * end at once; requests still in progress are cut, and the log says how many.
 */
function drainOnSignals(
  wired: RunningProcess,
  runtime: Runtime,
  drainMs: number,
): void {
  let draining = false;
  const end = async (code: number, why: string) => {
    runtime.log(KERNEL_EVENTS.drainEnded, {why, open: await wired.countOpen()});
    await wired.stop();
    runtime.clock.after(LOG_FLUSH_MS, () => process.exit(code));
  };
  const onSignal = (signal: NodeJS.Signals) => {
    if (draining) {
      void end(EXIT_FAILED, `second signal ${signal}`);
      return;
    }
    draining = true;
    runtime.log(KERNEL_EVENTS.drainStarted, {signal, limitMs: drainMs});
    runtime.clock.after(drainMs, () => void end(EXIT_FAILED, 'drain limit'));
    void wired.drain().then(() => end(0, 'drained'));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function main(): Promise<void> {
  const settings = readSettings();
  if (settings === undefined) {
    process.exitCode = EXIT_USAGE;
    return;
  }
  const runtime = createRuntime(settings);
  // Operators may ask for the drain that SIGTERM starts.
  const requestDrain = () => void process.emit('SIGTERM', 'SIGTERM');
  const wired = await startProcess(
    settings,
    runtime,
    readFileSync,
    requestDrain,
  );
  runtime.log(KERNEL_EVENTS.processStarted, {
    role: settings.role,
    pid: process.pid,
    peers: settings.listen.peers,
    operators: settings.listen.operators,
  });
  drainOnSignals(wired, runtime, settings.timing.drainMs);
}

main().catch(err => {
  process.stderr.write(`onyxloftd could not start: ${String(err)}\n`);
  process.exit(EXIT_FAILED);
});
