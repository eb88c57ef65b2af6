#!/usr/bin/env node
/**
 * The daemon: `onyxloftd --settings FILE`. It validates its settings and starts
 * the services of its role. On SIGTERM or SIGINT it drains before it exits.
 *
 * Exit codes: 0 exited after a complete drain; 1 failed to start, or exited
 * before the drain was complete; 2 wrong usage or settings, nothing started.
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

/** Exit code of a failed start or an incomplete drain. */
const EXIT_FAILED = 1;
/** Exit code of wrong usage or settings. */
const EXIT_USAGE = 2;
/** Delay before exit, in milliseconds, to let the last log lines be written. */
const LOG_FLUSH_MS = 50;

/** Loads the settings; on an error, prints it and returns undefined. */
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

/** Creates the runtime of a real process. */
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
 * Drains the process on the first signal. On a second signal, or after
 * `drainMs` milliseconds, the process exits at once: requests still in progress
 * are aborted, and their number is logged.
 */
function drainOnSignals(
  running: RunningProcess,
  runtime: Runtime,
  drainMs: number,
): void {
  let draining = false;
  const exit = async (code: number, reason: string) => {
    runtime.log(KERNEL_EVENTS.drainEnded, {
      why: reason,
      open: await running.countOpen(),
    });
    await running.stop();
    runtime.clock.after(LOG_FLUSH_MS, () => process.exit(code));
  };
  const onSignal = (signal: NodeJS.Signals) => {
    if (draining) {
      void exit(EXIT_FAILED, `second signal ${signal}`);
      return;
    }
    draining = true;
    runtime.log(KERNEL_EVENTS.drainStarted, {signal, limitMs: drainMs});
    runtime.clock.after(drainMs, () => void exit(EXIT_FAILED, 'drain limit'));
    void running.drain().then(() => exit(0, 'drained'));
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
  // Operators can start the same drain as SIGTERM over HTTP.
  const requestDrain = () => void process.emit('SIGTERM', 'SIGTERM');
  const running = await startProcess(
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
  drainOnSignals(running, runtime, settings.timing.drainMs);
}

main().catch(err => {
  process.stderr.write(`onyxloftd could not start: ${String(err)}\n`);
  process.exit(EXIT_FAILED);
});
