/**
 * What stands between one process of an in-memory fleet and the rest of the
 * world. While the process is frozen, all that comes for it waits; once it has
 * crashed, nothing reaches its code any more.
 */
import {Left, Right} from 'purify-ts';
import {defaultScheduler} from 'most';
import type {Stream} from 'most';
import {OnyxError} from '../src/types/errors.js';
import type {
  HostList,
  ObjectStore,
  WeightStore,
} from '../src/types/platform.js';
import type {Clock} from '../src/types/runtime.js';
import type {EngineClient, ServiceClient} from '../src/types/upstream.js';
import {pushStream} from '../src/upstream/push_stream.js';
import type {HostListCore} from './host_list_core.js';
import {createPausableClock} from './pausable_clock.js';
import type {PausableClock} from './pausable_clock.js';
import type {WeightStoreCore} from './weight_store_core.js';

export interface ProcessGate {
  readonly clock: PausableClock;
  /** Runs `fn` in the process: now, when it thaws, or never. */
  deliver(fn: () => void): void;
  isAlive(): boolean;
  isFrozen(): boolean;
  freeze(): void;
  thaw(): void;
  crash(): void;
}

export function createProcessGate(shared: Clock): ProcessGate {
  const clock = createPausableClock(shared);
  const held: Array<() => void> = [];
  let alive = true;
  let frozen = false;
  const deliver = (fn: () => void): void => {
    if (!alive) return;
    if (frozen) held.push(fn);
    else fn();
  };
  return {
    clock,
    deliver,
    isAlive: () => alive,
    isFrozen: () => frozen,
    freeze: () => {
      frozen = true;
      clock.pause();
    },
    thaw: () => {
      frozen = false;
      clock.resume();
      for (const fn of held.splice(0)) deliver(fn);
    },
    crash: () => {
      alive = false;
      held.length = 0;
      clock.stop();
    },
  };
}

/** The answer as the process gets it. */
function gated<T>(gate: ProcessGate, answer: Promise<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    answer.then(
      value => gate.deliver(() => resolve(value)),
      err => gate.deliver(() => reject(err)),
    );
  });
}

function gatedStream<T>(gate: ProcessGate, inner: Stream<T>): Stream<T> {
  return pushStream<T>(push => {
    const running = inner.source.run(
      {
        event: (_, value) => gate.deliver(() => push.event(value)),
        end: () => gate.deliver(() => push.end()),
        error: (_, err) => gate.deliver(() => push.error(err)),
      },
      defaultScheduler,
    );
    return () => void running.dispose();
  });
}

export function gateStore(gate: ProcessGate, store: ObjectStore): ObjectStore {
  return {
    get: (key, purpose) => gated(gate, store.get(key, purpose)),
    create: (key, value, purpose) =>
      gated(gate, store.create(key, value, purpose)),
    update: (key, value, version, purpose) =>
      gated(gate, store.update(key, value, version, purpose)),
    remove: (key, version, purpose) =>
      gated(gate, store.remove(key, version, purpose)),
    list: (prefix, purpose) => gated(gate, store.list(prefix, purpose)),
    watch: (key, version, waitMs, purpose) =>
      gated(gate, store.watch(key, version, waitMs, purpose)),
  };
}

export function gateEngine(
  gate: ProcessGate,
  engine: EngineClient,
): EngineClient {
  return {
    start: (req, prompt) => gatedStream(gate, engine.start(req, prompt)),
    resume: (runId, from) => gatedStream(gate, engine.resume(runId, from)),
    cancel: runId => gated(gate, engine.cancel(runId)),
    list: () => gated(gate, engine.list()),
    report: () => gated(gate, engine.report()),
    setPriority: (runId, priority) =>
      gated(gate, engine.setPriority(runId, priority)),
    cacheEvents: afterSeq => gated(gate, engine.cacheEvents(afterSeq)),
    order: order => gated(gate, engine.order(order)),
  };
}

export function gateService(
  gate: ProcessGate,
  service: ServiceClient,
): ServiceClient {
  return {
    call: (runId, head, body) =>
      gatedStream(gate, service.call(runId, head, body)),
    report: () => gated(gate, service.report()),
  };
}

const PLATFORM_LATENCY_MS = 1;

const platformDown = (peer: string): OnyxError =>
  new OnyxError({
    code: 'peer-unreachable',
    step: 'host-list',
    peer,
    message: `${peer} gave no answer`,
  });

/** Reads the host list as the process's own client would. */
export function gateHostList(
  gate: ProcessGate,
  clock: Clock,
  core: HostListCore,
): HostList {
  return () =>
    new Promise(resolve => {
      clock.after(PLATFORM_LATENCY_MS, () => {
        const view = core.read();
        gate.deliver(() => {
          if (view === undefined) resolve(Left(platformDown('host-list')));
          else resolve(Right(view.hosts));
        });
      });
    });
}

export function gateWeightStore(
  gate: ProcessGate,
  clock: Clock,
  core: WeightStoreCore,
): WeightStore {
  return () =>
    new Promise(resolve => {
      clock.after(PLATFORM_LATENCY_MS, () => {
        const status = core.status();
        gate.deliver(() => {
          if (status === undefined) resolve(Left(platformDown('weight-store')));
          else resolve(Right(status));
        });
      });
    });
}
