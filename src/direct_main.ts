/**
 * The life of a direct entry's process: starts its services, and on SIGTERM
 * drains before it ends.
 */
import type {DirectSettings} from './direct/settings.js';
import {wireDirectEntry} from './direct_wiring.js';
import type {DirectDependencies} from './direct_wiring.js';
import type {Runtime} from './types/runtime.js';
import {createBoundedSink} from './utils/bounded_sink.js';
import {createProcessClock, createProcessRandom} from './utils/clock.js';
import {KERNEL_EVENTS} from './utils/events.js';
import {createProcessInvariant} from './utils/invariant.js';
import {createProcessLog} from './utils/logger.js';
import {createMetrics} from './utils/metrics.js';

/** Pause for the last log lines to be written. */
const FLUSH_MS = 20;

/** Makes what the platform brings, with the process's clock and metrics. */
export type CreateDependencies = (
  runtime: Runtime,
) => Omit<DirectDependencies, 'settings'>;

/** Runs until SIGTERM. */
export function runDirectEntry(
  settings: DirectSettings,
  makeParts: CreateDependencies,
): void {
  const metrics = createMetrics();
  const log = createProcessLog({
    node: settings.node,
    stream: createBoundedSink(metrics),
  });
  const runtime: Runtime = {
    clock: createProcessClock(),
    random: createProcessRandom(),
    log,
    metrics,
    invariant: createProcessInvariant(log, metrics),
  };
  const parts = {...makeParts(runtime), settings};
  wireDirectEntry(parts, runtime)
    .then(wired => {
      log(KERNEL_EVENTS.processStarted, {
        role: 'direct-entry',
        pid: process.pid,
        callers: settings.listen.callers,
      });
      process.once('SIGTERM', signal => {
        const limitMs = settings.timing.graceS * 1_000;
        log(KERNEL_EVENTS.drainStarted, {signal, limitMs});
        void wired.drain().then(async () => {
          const open = await wired.openRequests();
          log(KERNEL_EVENTS.drainEnded, {why: 'drained', open});
          runtime.clock.after(FLUSH_MS, () => process.exit(0));
        });
      });
      process.on('SIGHUP', () => log(KERNEL_EVENTS.reloaded, {changed: false}));
    })
    .catch(err => {
      process.stderr.write(`onyxloft could not start: ${String(err)}\n`);
      process.exit(1);
    });
}
