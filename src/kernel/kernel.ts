/**
 * The micro-kernel: starts services, lets them find each other by name, and
 * restarts one that fails. It knows nothing of what the services do.
 */
import {OnyxError} from '../types/errors.js';
import type {
  ServiceContext,
  ServiceMessages,
  ServiceName,
  ServiceSpec,
} from '../types/kernel.js';
import type {Cancel, Runtime} from '../types/runtime.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import {createMailbox} from './mailbox.js';
import type {Mailbox} from './mailbox.js';

/** Pause before the first restart of a failed service; doubles each time. */
const MIN_RESTART_DELAY_MS = 50;
const MAX_RESTART_DELAY_MS = 5_000;
/** A service that ran this long is taken as sound again. */
const STABLE_AFTER_MS = 10_000;

/** Starts, connects and ends the services of one process. */
export interface Kernel {
  /** Starts a service; resolves when its first start has returned. */
  start<N extends ServiceName>(spec: ServiceSpec<N>): Promise<void>;
  send<N extends ServiceName>(to: N, message: ServiceMessages[N]): void;
  ask<N extends ServiceName, R>(
    to: N,
    make: (reply: (value: R) => void) => ServiceMessages[N],
  ): Promise<R>;
  /** Ends all services, the newest first, and waits for their releases. */
  stop(): Promise<void>;
  runningServices(): readonly string[];
}

/** A running service. */
interface RunningService {
  readonly name: string;
  readonly mailbox: Mailbox<unknown>;
  readonly releases: Array<() => void | Promise<void>>;
  readonly pendingAsks: Set<(err: OnyxError) => void>;
  readonly startedAt: number;
  ended: boolean;
}

/** Makes a kernel without services. A failed one is restarted after a pause. */
export function createKernel(runtime: Runtime): Kernel {
  const tasks = new Map<string, RunningService>();
  const restartCounts = new Map<string, number>();
  const restartTimers = new Set<Cancel>();
  let stopping = false;

  const notRunning = (name: string) =>
    new OnyxError({
      code: 'internal',
      step: 'run',
      peer: name,
      message: `service "${name}" is not running`,
    });

  const send = (to: string, message: unknown) => {
    const task = tasks.get(to);
    if (task === undefined) {
      runtime.log(KERNEL_EVENTS.messageDropped, {service: to});
      return;
    }
    task.mailbox.push(message);
  };

  const ask = <R>(
    to: string,
    make: (reply: (value: R) => void) => unknown,
  ): Promise<R> =>
    new Promise((resolve, reject) => {
      const task = tasks.get(to);
      if (task === undefined) {
        reject(notRunning(to));
        return;
      }
      task.pendingAsks.add(reject);
      const reply = (value: R) => {
        task.pendingAsks.delete(reject);
        resolve(value);
      };
      task.mailbox.push(make(reply));
    });

  const release = async (task: RunningService) => {
    task.ended = true;
    if (tasks.get(task.name) === task) tasks.delete(task.name);
    task.mailbox.close();
    for (const reject of task.pendingAsks) reject(notRunning(task.name));
    task.pendingAsks.clear();
    for (const free of task.releases.reverse()) {
      try {
        await free();
      } catch (err) {
        runtime.log(KERNEL_EVENTS.serviceFailed, {
          service: task.name,
          cause: `release: ${String(err)}`,
        });
      }
    }
  };

  const restartDelay = (task: RunningService) => {
    const ranMs = runtime.clock.now() - task.startedAt;
    const count =
      ranMs > STABLE_AFTER_MS ? 0 : (restartCounts.get(task.name) ?? 0);
    restartCounts.set(task.name, count + 1);
    return Math.min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** count);
  };

  const fail = async <N extends ServiceName>(
    spec: ServiceSpec<N>,
    task: RunningService,
    cause: unknown,
  ) => {
    if (task.ended) return;
    runtime.log(KERNEL_EVENTS.serviceFailed, {
      service: spec.name,
      cause:
        cause instanceof Error ? (cause.stack ?? cause.message) : String(cause),
    });
    await release(task);
    if (stopping) return;
    const cancel = runtime.clock.after(restartDelay(task), () => {
      restartTimers.delete(cancel);
      if (!stopping) void launch(spec).catch(() => undefined);
    });
    restartTimers.add(cancel);
  };

  const contextOf = <N extends ServiceName>(
    spec: ServiceSpec<N>,
    task: RunningService,
  ): ServiceContext<N> => ({
    ...runtime,
    name: spec.name,
    mailbox: observedMailbox(spec, task),
    send,
    ask,
    own: free => {
      task.releases.push(free);
    },
    fail: cause => void fail(spec, task, cause),
  });

  /** The mailbox's stream; an error in its observer ends the task. */
  const observedMailbox = <N extends ServiceName>(
    spec: ServiceSpec<N>,
    task: RunningService,
  ) => {
    const stream = task.mailbox.stream as ServiceContext<N>['mailbox'];
    const observe = stream.observe.bind(stream);
    stream.observe = handler => {
      const done = observe(handler);
      done.catch(cause => fail(spec, task, cause));
      return done;
    };
    return stream;
  };

  const launch = async <N extends ServiceName>(spec: ServiceSpec<N>) => {
    const task: RunningService = {
      name: spec.name,
      mailbox: createMailbox<unknown>(),
      releases: [],
      pendingAsks: new Set(),
      startedAt: runtime.clock.now(),
      ended: false,
    };
    tasks.set(spec.name, task);
    try {
      await spec.start(contextOf(spec, task));
      runtime.log(KERNEL_EVENTS.serviceStarted, {service: spec.name});
    } catch (err) {
      await fail(spec, task, err);
      throw err;
    }
  };

  const stop = async () => {
    stopping = true;
    for (const cancel of restartTimers) cancel();
    for (const task of [...tasks.values()].reverse()) {
      await release(task);
      runtime.log(KERNEL_EVENTS.serviceEnded, {service: task.name});
    }
  };

  return {
    start: async spec => {
      if (tasks.has(spec.name)) {
        throw new Error(`service "${spec.name}" is started already`);
      }
      await launch(spec);
    },
    send,
    ask,
    stop,
    runningServices: () => [...tasks.keys()],
  };
}
