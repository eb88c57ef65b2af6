/** The sides of an in-memory fleet, each with its upstream. */
import {startSideServices} from '../src/wiring.js';
import type {TimingSettings} from '../src/config/settings.js';
import type {QueuePolicy} from '../src/side/queue_policy.js';
import type {SideStatus} from '../src/side/messages.js';
import type {FailureDomain, HostId} from '../src/types/ids.js';
import type {EngineRunReq} from '../src/types/upstream.js';
import type {EngineFigures} from './engine_figures.js';
import {createEngineModel} from './engine_model.js';
import type {EngineModel} from './engine_model.js';
import {
  ENGINE_POOL,
  FLEET_MODEL,
  FLEET_MODEL_VERSION,
  SERVICE_POOL,
} from './fleet_declarations.js';
import {createFleetProcess} from './fleet_process.js';
import type {FleetProcess, FleetWorld} from './fleet_process.js';
import {createMemoryEngine} from './memory_engine.js';
import type {MemoryEngine} from './memory_engine.js';
import {createMemoryService} from './memory_service.js';
import type {MemoryService} from './memory_service.js';
import {createPlainServiceCore} from './plain_service_core.js';
import type {PlainServiceCore} from './plain_service_core.js';
import {gateEngine, gateService} from './process_gate.js';

/** A run as it was handed to an engine, for a judge. */
export interface EngineStart {
  readonly at: number;
  readonly req: EngineRunReq;
}

export interface FleetSide extends FleetProcess {
  readonly host: HostId;
  readonly pool: string;
  status(): Promise<SideStatus>;
  /** Takes no new work; resolves when what is in progress has ended. */
  drain(): Promise<void>;
}

export interface FleetEngine extends FleetSide {
  readonly model: EngineModel;
  /** Starts that its sides handed to it, oldest first. */
  readonly starts: readonly EngineStart[];
  /** Connections between side and engine. */
  readonly link: () => MemoryEngine;
  kill(): void;
  revive(): void;
}

export interface FleetService extends FleetSide {
  readonly core: PlainServiceCore;
  readonly link: () => MemoryService;
}

export interface UpstreamOptions {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly timing: TimingSettings;
  readonly queuePolicy: QueuePolicy;
  readonly world: FleetWorld;
}

export interface EngineOptions extends UpstreamOptions {
  readonly figures: Partial<EngineFigures>;
  readonly honoursFence: boolean;
  readonly loadWeights?: (
    model: string,
    version: string,
    done: (ok: boolean) => void,
  ) => void;
}

function asSide(process: FleetProcess, pool: string): FleetSide {
  return {
    ...process,
    host: `host-${process.name}`,
    pool,
    status: () =>
      new Promise((resolve, reject) => {
        process.deliver(() => {
          process
            .kernel()
            .ask('runs', (reply: (status: SideStatus) => void) => ({
              kind: 'status',
              reply,
            }))
            .then(resolve, reject);
        });
      }),
    drain: () =>
      new Promise((resolve, reject) => {
        process.deliver(() => {
          process
            .kernel()
            .ask('runs', (reply: (done: void) => void) => ({
              kind: 'drain',
              reply: () => reply(),
            }))
            .then(resolve, reject);
        });
      }),
  };
}

/** A side beside a model engine; neither is started. */
export function createFleetEngine(options: EngineOptions): FleetEngine {
  const {world, name} = options;
  const {clock} = world;
  const model = createEngineModel({
    clock,
    name: `engine-${name}`,
    figures: options.figures,
    models: [{model: FLEET_MODEL, version: FLEET_MODEL_VERSION}],
    honoursFence: options.honoursFence,
    loadWeights: options.loadWeights,
  });
  const starts: EngineStart[] = [];
  let link = createMemoryEngine({model, clock});
  const process = createFleetProcess({
    ...options,
    onCrash: () => link.cut(),
    wire: ({kernel, gate, incarnation, transport, store}) => {
      link = createMemoryEngine({model, clock});
      const client = gateEngine(gate, link);
      return startSideServices(kernel, {
        node: name,
        failureDomain: options.failureDomain,
        incarnation,
        listen: options.address,
        timing: options.timing,
        transport,
        store,
        pool: ENGINE_POOL,
        queuePolicy: options.queuePolicy,
        upstream: {
          kind: 'engine',
          client: {
            ...client,
            start: (req, prompt) => {
              starts.push({at: clock.now(), req});
              return client.start(req, prompt);
            },
          },
        },
      });
    },
  });
  return {
    ...asSide(process, ENGINE_POOL),
    model,
    starts,
    link: () => link,
    kill: () => model.die(),
    revive: () => model.restart(),
  };
}

/** A side beside a plain service; neither is started. */
export function createFleetService(options: UpstreamOptions): FleetService {
  const {world, name} = options;
  const {clock} = world;
  const core = createPlainServiceCore({clock});
  let link = createMemoryService({core, clock});
  const process = createFleetProcess({
    ...options,
    onCrash: () => link.cut(),
    wire: ({kernel, gate, incarnation, transport, store}) => {
      link = createMemoryService({core, clock});
      return startSideServices(kernel, {
        node: name,
        failureDomain: options.failureDomain,
        incarnation,
        listen: options.address,
        timing: options.timing,
        transport,
        store,
        pool: SERVICE_POOL,
        queuePolicy: options.queuePolicy,
        upstream: {kind: 'service', client: gateService(gate, link)},
      });
    },
  });
  return {...asSide(process, SERVICE_POOL), core, link: () => link};
}
