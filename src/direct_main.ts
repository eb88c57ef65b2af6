/**
 * Process of a direct entry: starts its services, and on SIGTERM drains open
 * requests before it exits.
 */
import type {DirectSettings} from './direct/settings.js';
import {wireDirectEntry} from './direct_wiring.js';
import type {DirectDependencies} from './direct_wiring.js';
import type {Runtime} from './types/runtime.js';
import {createBoundedSink} from './utils/bounded_sink.js';
import {createProcessClock, createProcessRandom} from './utils/clock.js';
import {createErrorEnd} from './utils/error_end.js';
import {DIRECT_EVENTS, KERNEL_EVENTS} from './utils/events.js';
import {createProcessInvariant} from './utils/invariant.js';
import {createProcessLog} from './utils/logger.js';
import {createMetrics} from './utils/metrics.js';

/** Delay before the process exits, so that the last log lines are written. */
const LOG_FLUSH_MS = 20;

/** Creates the platform's adapters, with the process's clock and metrics. */
export type CreateDependencies = (
  runtime: Runtime,
) => Omit<DirectDependencies, 'settings'>;

/**
 * Runs the entry until SIGTERM. `codeCache` says whether the program was loaded
 * with the compiled code of the build.
 */
export function runDirectEntry(
  settings: DirectSettings,
  createDependencies: CreateDependencies,
  codeCache: string,
): void {
  const metrics = createMetrics();
  const log = createProcessLog({
    node: settings.node,
    stream: createBoundedSink(metrics, {
      onDropped: lines => log(KERNEL_EVENTS.logLinesDropped, {lines}),
    }),
  });
  // Until a handler is set, the signal ends the process.
  process.on('SIGHUP', () => log(KERNEL_EVENTS.reloaded, {changed: false}));
  const runtime: Runtime = {
    clock: createProcessClock(),
    random: createProcessRandom(),
    log,
    metrics,
    invariant: createProcessInvariant(log, metrics),
  };
  const {user, system} = process.cpuUsage();
  log(DIRECT_EVENTS.programLoaded, {
    codeCache,
    elapsedMs: Math.round(runtime.clock.now()),
    processorMs: Math.round((user + system) / 1_000),
  });
  const dependencies = {...createDependencies(runtime), settings};
  wireDirectEntry(dependencies, runtime)
    .then(wired => {
      log(KERNEL_EVENTS.processStarted, {
        role: 'direct-entry',
        pid: process.pid,
        callers: settings.listen.callers,
      });
      const onUncaught = createErrorEnd({
        clock: runtime.clock,
        log,
        stop: () => wired.kernel.stop(),
        exit: code => process.exit(code),
      });
      process.on('uncaughtException', onUncaught);
      let isDraining = false;
      // A second signal must not end the process before its answers have ended.
      process.on('SIGTERM', signal => {
        if (isDraining) return;
        isDraining = true;
        const limitMs = settings.timing.graceS * 1_000;
        log(KERNEL_EVENTS.drainStarted, {signal, limitMs});
        void wired.drain().then(async () => {
          const open = await wired.openRequests();
          log(KERNEL_EVENTS.drainEnded, {why: 'drained', open});
          runtime.clock.after(LOG_FLUSH_MS, () => process.exit(0));
        });
      });
    })
    .catch(err => {
      process.stderr.write(`onyxloft could not start: ${String(err)}\n`);
      process.exit(1);
    });
}
