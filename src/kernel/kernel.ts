/**
 * The micro-kernel of a process. It starts services, passes messages between
 * them by service name, and restarts a service that fails. An error at one
 * message ends that message only, where the service says that it can go on. It
 * does not depend on what the services do.
 */
import {OnyxError} from '../types/errors.js';
import type {
  ServiceContext,
  ServiceMessages,
  ServiceName,
  ServiceSpec,
} from '../types/kernel.js';
import type {Cancel, Runtime} from '../types/runtime.js';
import {causeOf} from '../utils/error_cause.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import {runEach} from '../utils/run_each.js';
import {createMailbox} from './mailbox.js';
import type {Mailbox} from './mailbox.js';

/**
 * Delay before the first restart of a failed service, in milliseconds. It
 * doubles with each further restart, up to `MAX_RESTART_DELAY_MS`.
 */
const MIN_RESTART_DELAY_MS = 50;
/** Longest delay before a restart, in milliseconds. */
const MAX_RESTART_DELAY_MS = 5_000;
/**
 * Running time in milliseconds after which a service counts as stable. The
 * next failure then restarts it after the shortest delay.
 */
const STABLE_AFTER_MS = 10_000;
/**
 * Longest wait for one cleanup of a service, in milliseconds. Without a limit, one
 * that never ends would keep the service from starting again.
 */
const MAX_RELEASE_MS = 2_000;
/** Counter of failures, also at a start, by service. */
const FAILED_METRIC = 'onyxloft_service_failed_total';
/** Counter of messages whose handler threw, by service and kind. */
const MESSAGE_FAILED_METRIC = 'onyxloft_message_failed_total';

/** Starts, connects and stops the services of one process. */
export interface Kernel {
  /**
   * Starts a service. Resolves when its `start` has resolved; rejects when it
   * fails or a service of this name is running.
   */
  start<N extends ServiceName>(spec: ServiceSpec<N>): Promise<void>;
  /**
   * Like `start`, but resolves also when the service fails: the kernel has
   * logged the cause and starts it again, as after a later failure.
   */
  keep<N extends ServiceName>(spec: ServiceSpec<N>): Promise<void>;
  /** Sends a message; drops and logs it if the service is not running. */
  send<N extends ServiceName>(to: N, message: ServiceMessages[N]): void;
  /** See `ServiceContext.ask`. */
  ask<N extends ServiceName, R>(
    to: N,
    createMessage: (reply: (value: R) => void) => ServiceMessages[N],
  ): Promise<R>;
  /** Stops all services, newest first, and waits for their cleanup. */
  stop(): Promise<void>;
  /**
   * Ends a running service as its own `fail` does, which starts it again. It is
   * for tests: an error at a message ends no service that goes on without it.
   */
  fail(name: ServiceName, cause: unknown): void;
  /** Names of the running services, oldest first. */
  runningServices(): readonly string[];
}

/** The state of a running service. */
interface RunningService {
  readonly name: string;
  readonly mailbox: Mailbox<unknown>;
  /** Cleanup functions that the service registered with `own`. */
  readonly releases: Array<() => void | Promise<void>>;
  /** Reject functions of asks that wait for a reply from this service. */
  readonly pendingAsks: Set<(err: OnyxError) => void>;
  /** The same by message. */
  readonly askOf: WeakMap<object, (err: OnyxError) => void>;
  fail(cause: unknown): void;
  /** Clock reading at the start, in milliseconds. */
  readonly startedAt: number;
  ended: boolean;
}

/** Creates a kernel without services. */
export function createKernel(runtime: Runtime): Kernel {
  const services = new Map<string, RunningService>();
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
    const service = services.get(to);
    if (service === undefined) {
      runtime.log(KERNEL_EVENTS.messageDropped, {service: to});
      return;
    }
    service.mailbox.push(message);
  };

  const ask = <R>(
    to: string,
    createMessage: (reply: (value: R) => void) => unknown,
  ): Promise<R> =>
    new Promise((resolve, reject) => {
      const service = services.get(to);
      if (service === undefined) {
        reject(notRunning(to));
        return;
      }
      service.pendingAsks.add(reject);
      const reply = (value: R) => {
        // First, so that no error keeps the answer from the one who asked.
        resolve(value);
        service.pendingAsks.delete(reject);
      };
      const message = createMessage(reply);
      if (isObject(message)) service.askOf.set(message, reject);
      service.mailbox.push(message);
    });

  /** Rejects where the release takes longer. */
  const within = async (limitMs: number, released: void | Promise<void>) => {
    if (!(released instanceof Promise)) return;
    let cancel: Cancel = () => undefined;
    const late = new Promise<never>((_, reject) => {
      const giveUp = () => reject(new Error(`not released in ${limitMs} ms`));
      cancel = runtime.clock.after(limitMs, giveUp, 'release of a service');
    });
    await Promise.race([released, late]).finally(cancel);
  };
  const reportRelease =
    ({name}: RunningService) =>
    (err: unknown): void =>
      runtime.log(KERNEL_EVENTS.serviceFailed, {
        service: name,
        cause: `release: ${String(err)}`,
      });
  const releaseService = async (service: RunningService) => {
    service.ended = true;
    if (services.get(service.name) === service) services.delete(service.name);
    service.mailbox.close();
    for (const reject of service.pendingAsks) reject(notRunning(service.name));
    service.pendingAsks.clear();
    for (const runRelease of service.releases.reverse()) {
      try {
        await within(MAX_RELEASE_MS, runRelease());
      } catch (err) {
        reportRelease(service)(err);
      }
    }
  };

  const restartDelay = (service: RunningService) => {
    const ranMs = runtime.clock.now() - service.startedAt;
    const count =
      ranMs > STABLE_AFTER_MS ? 0 : (restartCounts.get(service.name) ?? 0);
    restartCounts.set(service.name, count + 1);
    return Math.min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** count);
  };

  const fail = async <N extends ServiceName>(
    spec: ServiceSpec<N>,
    service: RunningService,
    cause: unknown,
  ) => {
    if (service.ended) return;
    runtime.metrics.count(FAILED_METRIC, {service: spec.name});
    runtime.log(KERNEL_EVENTS.serviceFailed, {
      service: spec.name,
      cause: causeOf(cause),
    });
    await releaseService(service).catch(reportRelease(service));
    if (!stopping) scheduleRestart(spec, service);
  };

  /** A restart that can't be prepared is tried again: nobody else would. */
  const scheduleRestart = <N extends ServiceName>(
    spec: ServiceSpec<N>,
    service: RunningService,
  ) => {
    const schedule = () => {
      const cancel = runtime.clock.after(
        restartDelay(service),
        () => {
          runEach([() => restartTimers.delete(cancel)]);
          if (!stopping) void launch(spec).catch(() => undefined);
        },
        `restart of ${spec.name}`,
      );
      runEach([() => restartTimers.add(cancel)]);
    };
    if (!runEach([schedule])) schedule();
  };

  const contextOf = <N extends ServiceName>(
    spec: ServiceSpec<N>,
    service: RunningService,
  ): ServiceContext<N> => {
    const ctx: ServiceContext<N> = {
      ...runtime,
      name: spec.name,
      mailbox: observedMailbox(spec, service, () => ctx),
      send,
      ask,
      own: runRelease => {
        service.releases.push(runRelease);
      },
      fail: service.fail,
    };
    return ctx;
  };

  /**
   * Ends a message whose handler threw. Each step runs though another one fails:
   * nothing here may end the service.
   */
  const endMessage = (
    service: RunningService,
    message: unknown,
    cause: unknown,
    repair: () => void,
  ): void => {
    const kind = kindOf(message);
    const labels = {service: service.name, kind};
    const reject = isObject(message) ? service.askOf.get(message) : undefined;
    runEach([
      () => runtime.metrics.count(MESSAGE_FAILED_METRIC, labels),
      () =>
        runtime.log(KERNEL_EVENTS.messageFailed, {
          ...labels,
          cause: causeOf(cause),
        }),
      () => {
        // First, so that no error keeps the rejection from the one who asked.
        reject?.(
          new OnyxError({
            code: 'internal',
            step: 'run',
            peer: service.name,
            message: `service "${service.name}" failed at "${kind}"`,
          }),
        );
      },
      () => {
        if (reject !== undefined) service.pendingAsks.delete(reject);
      },
      repair,
    ]);
  };

  /**
   * The mailbox's stream. An error in its observer ends the message where the
   * service can go on without it, and otherwise fails the service.
   */
  const observedMailbox = <N extends ServiceName>(
    spec: ServiceSpec<N>,
    service: RunningService,
    createContext: () => ServiceContext<N>,
  ) => {
    const {messageFailed} = spec;
    const stream = service.mailbox.stream as ServiceContext<N>['mailbox'];
    const observe = stream.observe.bind(stream);
    const contain =
      (handler: (message: ServiceMessages[N]) => unknown) =>
      (message: ServiceMessages[N]): void => {
        const handleError = (err: unknown): void => {
          if (messageFailed === undefined) throw err;
          endMessage(service, message, err, () =>
            messageFailed(createContext(), message),
          );
        };
        try {
          const done = handler(message);
          if (!(done instanceof Promise)) return;
          done
            .catch(handleError)
            .catch((err: unknown) => fail(spec, service, err));
        } catch (err) {
          handleError(err);
        }
      };
    stream.observe = handler => {
      const done = observe(contain(handler));
      done.catch(cause => fail(spec, service, cause));
      return done;
    };
    return stream;
  };

  const launch = async <N extends ServiceName>(spec: ServiceSpec<N>) => {
    const {messageFailed} = spec;
    const service: RunningService = {
      name: spec.name,
      mailbox: createMailbox<unknown>({
        goesOn: messageFailed !== undefined,
        onError: err =>
          endMessage(service, undefined, err, () =>
            messageFailed?.(contextOf(spec, service), undefined),
          ),
      }),
      releases: [],
      pendingAsks: new Set(),
      askOf: new WeakMap(),
      fail: cause => void fail(spec, service, cause),
      startedAt: runtime.clock.now(),
      ended: false,
    };
    try {
      services.set(spec.name, service);
      await spec.start(contextOf(spec, service));
      runtime.log(KERNEL_EVENTS.serviceStarted, {service: spec.name});
    } catch (err) {
      await fail(spec, service, err);
      throw err;
    }
  };

  const stop = async () => {
    stopping = true;
    for (const cancel of restartTimers) cancel();
    for (const service of [...services.values()].reverse()) {
      await releaseService(service);
      runtime.log(KERNEL_EVENTS.serviceEnded, {service: service.name});
    }
  };

  const start = async <N extends ServiceName>(spec: ServiceSpec<N>) => {
    if (services.has(spec.name)) {
      throw new Error(`service "${spec.name}" is already running`);
    }
    await launch(spec);
  };

  return {
    start,
    keep: async spec => {
      if (services.has(spec.name)) return start(spec);
      await launch(spec).catch(() => undefined);
    },
    send,
    ask,
    stop,
    fail: (name, cause) => services.get(name)?.fail(cause),
    runningServices: () => [...services.keys()],
  };
}

function isObject(message: unknown): message is object {
  return typeof message === 'object' && message !== null;
}

/** Messages are told apart by their kind. */
function kindOf(message: unknown): string {
  return isObject(message) && 'kind' in message ? String(message.kind) : '';
}
