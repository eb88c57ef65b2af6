/**
 * Process of a direct entry: starts its services, and on SIGTERM drains open
 * requests before it exits.
 */
import type {DirectSettings} from './direct/settings.js';
import {wireDirectEntry} from './direct_wiring.js';
import type {DirectDependencies} from './direct_wiring.js';
import type {ProcessLife} from './process/process_life.js';
import {createContainedRuntime} from './process/contained_runtime.js';
import {limitKeyOf} from './process/error_kinds.js';
import {createServiceStop} from './process/service_stop.js';
import {createUnownedErrors} from './process/unowned_errors.js';
import {createStepReport} from './direct/boundary/contained_errors.js';
import type {Log, Runtime} from './types/runtime.js';
import {DROPPED_METRIC, createBoundedSink} from './utils/bounded_sink.js';
import {createProcessClock, createProcessRandom} from './utils/clock.js';
import {causeOf} from './utils/error_cause.js';
import {DIRECT_EVENTS, KERNEL_EVENTS} from './utils/events.js';
import {createProcessInvariant} from './utils/invariant.js';
import {createProcessLog} from './utils/logger.js';
import {createMetrics} from './utils/metrics.js';
import {createReadTurns} from './utils/read_turns.js';
import type {ReadTurns} from './utils/read_turns.js';

const MS_PER_S = 1_000;

/** Creates the platform's adapters, with the process's clock and metrics. */
export type CreateDependencies = (
  runtime: Runtime,
  turns: ReadTurns,
) => Omit<DirectDependencies, 'settings' | 'turns'>;

export interface DirectEntryOptions {
  readonly settings: DirectSettings;
  readonly createDependencies: CreateDependencies;
  /** Whether the program was loaded with the compiled code of the build. */
  readonly codeCache: string;
  readonly life: ProcessLife;
}

/** Runs the entry until a signal asks for its end. */
export function runDirectEntry(options: DirectEntryOptions): void {
  const {settings, codeCache, life} = options;
  life.identify(settings.node);
  const runtime = createRuntime(settings.node, life);
  const {clock, log} = runtime;
  const {user, system} = process.cpuUsage();
  log(DIRECT_EVENTS.programLoaded, {
    codeCache,
    elapsedMs: Math.round(clock.now()),
    processorMs: Math.round((user + system) / MS_PER_S),
  });
  const stop = createServiceStop({
    clock,
    log,
    limitMs: settings.timing.graceS * MS_PER_S,
    end: life.end,
  });
  life.handle({
    stop: stop.request,
    hangUp: () => log(KERNEL_EVENTS.reloaded, {changed: false}),
    ignored: signal => log(KERNEL_EVENTS.signalIgnored, {signal}),
    error: createUnownedErrors(runtime),
  });
  const start = async (): Promise<void> => {
    // One for all connections: they share the event loop.
    const turns = createReadTurns(runtime);
    const adapters = options.createDependencies(runtime, turns);
    const running = await wireDirectEntry(
      {...adapters, settings, turns},
      runtime,
    );
    log(KERNEL_EVENTS.processStarted, {
      role: 'direct-entry',
      pid: process.pid,
      callers: settings.listen.callers,
    });
    stop.started(running);
  };
  // Also an error before the first wait: nothing else would end the process, which
  // could not serve.
  start().catch(err => life.end('start-failed', causeOf(err)));
}

function createRuntime(node: string, life: ProcessLife): Runtime {
  const metrics = createMetrics();
  const stream = createBoundedSink(metrics, {
    onDropped: lines => log(KERNEL_EVENTS.logLinesDropped, {lines}),
  });
  const written: Log = createProcessLog({node, stream});
  life.handle({flush: stream.flushNow, isWriting: stream.isWriting});
  const runtime = createContainedRuntime({
    clock: createProcessClock(),
    random: createProcessRandom(),
    log: written,
    metrics,
    lostLines: DROPPED_METRIC,
    limitKey: limitKeyOf,
    createReport: createStepReport,
  });
  const {log} = runtime;
  return {...runtime, invariant: createProcessInvariant(log, runtime.metrics)};
}
