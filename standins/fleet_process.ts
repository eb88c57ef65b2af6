/**
 * One process of an in-memory fleet: its kernel with the real services, and
 * the faults of a process. A crash runs none of its code any more, as a killed
 * process runs none; a restart is another incarnation at the same address.
 */
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import type {
  Address,
  ConfigNumber,
  FailureDomain,
  Incarnation,
  NodeId,
} from '../src/types/ids.js';
import type {NumberedDeclarations} from '../src/types/config.js';
import type {ObjectStore} from '../src/types/platform.js';
import type {
  EventSpec,
  LogFields,
  Random,
  Runtime,
} from '../src/types/runtime.js';
import type {Transport} from '../src/types/transport.js';
import type {MemoryNetwork} from './memory_network.js';
import {createMemoryObjectStore} from './memory_object_store.js';
import type {MemoryObjectStore} from './memory_object_store.js';
import type {ObjectStoreCore} from './object_store_core.js';
import {createProcessGate, gateStore} from './process_gate.js';
import type {ProcessGate} from './process_gate.js';
import {createRecordedMetrics} from './recording_runtime.js';
import type {RecordedMetrics} from './recording_runtime.js';
import type {VirtualClock} from './virtual_clock.js';

/** One log event of a fleet. */
export interface FleetEvent {
  /** On the virtual clock. */
  readonly at: number;
  readonly node: NodeId;
  readonly event: EventSpec;
  readonly fields: LogFields;
}

/** What the processes of a fleet share. */
export interface FleetWorld {
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork;
  readonly store: ObjectStoreCore;
  /** Chance of one process, by its name. */
  readonly randomOf: (name: string) => Random;
  readonly onEvent: (event: FleetEvent) => void;
  readonly onViolation: (message: string) => void;
}

export interface ProcessPlace {
  readonly name: NodeId;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
}

/** What a start gets, to wire the services of its role. */
export interface ProcessStart {
  readonly kernel: Kernel;
  readonly gate: ProcessGate;
  readonly incarnation: Incarnation;
  readonly transport: Transport;
  readonly store: ObjectStore;
}

export interface FleetProcess extends ProcessPlace {
  /** Of the incarnation that runs now, or ran last. */
  readonly kernel: () => Kernel;
  readonly incarnation: () => Incarnation;
  readonly metrics: () => RecordedMetrics;
  /** Numbers of the configuration in force, of this incarnation. */
  readonly configNumbers: () => readonly ConfigNumber[];
  readonly config: () => NumberedDeclarations | undefined;
  isAlive(): boolean;
  isFrozen(): boolean;
  /** When it was last thawed or started. */
  awakeSince(): number;
  /** Runs `fn` in the process: now, when it thaws, or never. */
  deliver(fn: () => void): void;
  start(): Promise<void>;
  crash(): void;
  /** Crashes it, if it lives, and starts another incarnation. */
  restart(): Promise<void>;
  /** Holds its timers and all that comes for it. */
  freeze(ms: number): void;
  /** While cut, its calls to the object API time out. */
  cutStore(cut: boolean): void;
}

export interface FleetProcessOptions extends ProcessPlace {
  readonly world: FleetWorld;
  /** Starts the services of its role. */
  readonly wire: (start: ProcessStart) => Promise<void>;
  /** Called at a crash, for what else breaks with it. */
  readonly onCrash: () => void;
}

const INCARNATION_BYTES = 6;

/** All that one incarnation has. */
interface Life {
  readonly gate: ProcessGate;
  readonly kernel: Kernel;
  readonly incarnation: Incarnation;
  readonly metrics: RecordedMetrics;
  readonly store: MemoryObjectStore;
  readonly numbers: ConfigNumber[];
  config: NumberedDeclarations | undefined;
}

export function createFleetProcess(options: FleetProcessOptions): FleetProcess {
  const {world, name, address, failureDomain} = options;
  const random = world.randomOf(name);
  let life = createLife(options, random);
  let awakeSince = 0;
  let started = false;

  const start = async (): Promise<void> => {
    if (started) life = createLife(options, random);
    started = true;
    awakeSince = world.clock.now();
    const {kernel, gate, incarnation} = life;
    const now = life;
    await options.wire({
      kernel,
      gate,
      incarnation,
      transport: world.network.transport(address),
      store: gateStore(gate, life.store),
    });
    gate.deliver(() =>
      kernel.send('config', {
        kind: 'subscribe',
        listener: config => {
          now.config = config;
          now.numbers.push(config.number);
        },
      }),
    );
  };

  const crash = (): void => {
    if (!life.gate.isAlive()) return;
    life.gate.crash();
    world.network.faults.down(address);
    options.onCrash();
  };

  const thaw = (frozen: Life): void => {
    if (frozen !== life || !life.gate.isAlive()) return;
    awakeSince = world.clock.now();
    life.gate.thaw();
    world.network.faults.thaw(address);
  };

  return {
    name,
    address,
    failureDomain,
    kernel: () => life.kernel,
    incarnation: () => life.incarnation,
    metrics: () => life.metrics,
    configNumbers: () => life.numbers,
    config: () => life.config,
    isAlive: () => life.gate.isAlive(),
    isFrozen: () => life.gate.isFrozen(),
    awakeSince: () => awakeSince,
    deliver: fn => life.gate.deliver(fn),
    start,
    crash,
    restart: async () => {
      crash();
      await start();
    },
    freeze: ms => {
      const frozen = life;
      if (!frozen.gate.isAlive() || frozen.gate.isFrozen()) return;
      frozen.gate.freeze();
      world.network.faults.freeze(address);
      world.clock.after(ms, () => thaw(frozen));
    },
    cutStore: cut => life.store.setCut(cut),
  };
}

function createLife(options: FleetProcessOptions, random: Random): Life {
  const {world} = options;
  const gate = createProcessGate(world.clock);
  const metrics = createRecordedMetrics();
  const runtime = createRuntime(options, gate, random, metrics);
  return {
    gate,
    metrics,
    kernel: createKernel(runtime),
    incarnation: random.hex(INCARNATION_BYTES),
    store: createMemoryObjectStore({core: world.store, clock: world.clock}),
    numbers: [],
    config: undefined,
  };
}

function createRuntime(
  {world, name}: FleetProcessOptions,
  gate: ProcessGate,
  random: Random,
  metrics: RecordedMetrics,
): Runtime {
  return {
    clock: gate.clock,
    random,
    metrics,
    log: (event, fields) => {
      if (!gate.isAlive()) return;
      world.onEvent({at: world.clock.now(), node: name, event, fields});
    },
    invariant: (holds, what, fields) => {
      if (holds || !gate.isAlive()) return;
      const message = `${name}: "${what}" broken: ${JSON.stringify(fields)}`;
      world.onViolation(message);
      throw new Error(message);
    },
  };
}
