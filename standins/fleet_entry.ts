/** An entry of an in-memory fleet, without its HTTP fronts. */
import type {Either} from 'purify-ts';
import {startEntryServices} from '../src/wiring.js';
import type {TimingSettings} from '../src/config/settings.js';
import type {RoutingPolicy} from '../src/policy/routing.js';
import type {FailureDomain, HostId} from '../src/types/ids.js';
import type {
  ConfigAccepted,
  ConfigPatch,
  ConfigRejection,
  MembershipView,
} from '../src/types/services.js';
import {createFleetProcess} from './fleet_process.js';
import type {FleetProcess, FleetWorld} from './fleet_process.js';
import type {HostListCore} from './host_list_core.js';
import {gateHostList, gateWeightStore} from './process_gate.js';
import type {WeightStoreCore} from './weight_store_core.js';

export type PatchOutcome = Either<ConfigRejection, ConfigAccepted>;

export interface FleetEntry extends FleetProcess {
  readonly host: HostId;
  /** Undefined until the membership has told it. */
  view(): MembershipView | undefined;
  openRequests(): Promise<number>;
  apply(patch: ConfigPatch): Promise<PatchOutcome>;
  /** Takes no new work; resolves when what is in progress has ended. */
  drain(): Promise<void>;
}

export interface FleetEntryOptions {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly timing: TimingSettings;
  readonly world: FleetWorld;
  readonly hostList: HostListCore;
  readonly weightStore: WeightStoreCore;
  readonly routingPolicy: (name: string) => RoutingPolicy;
  readonly followReplicas: number;
  readonly onCrash: () => void;
}

export function createFleetEntry(options: FleetEntryOptions): FleetEntry {
  const {world, name, address, failureDomain} = options;
  const host = `host-${name}`;
  let view: MembershipView | undefined;

  const process = createFleetProcess({
    ...options,
    wire: async ({kernel, gate, incarnation, transport, store}) => {
      view = undefined;
      await startEntryServices(kernel, {
        node: name,
        host,
        failureDomain,
        incarnation,
        listen: address,
        address,
        timing: options.timing,
        transport,
        store,
        limits: {followReplicas: options.followReplicas},
        hostList: gateHostList(gate, world.clock, options.hostList),
        weightStore: gateWeightStore(gate, world.clock, options.weightStore),
        routingPolicy: options.routingPolicy,
      });
      kernel.send('membership', {
        kind: 'subscribe',
        listener: next => {
          view = next;
        },
      });
    },
  });

  /** Asks in the process; never answered when it crashes meanwhile. */
  const inProcess = <T>(ask: () => Promise<T>): Promise<T> =>
    new Promise((resolve, reject) => {
      process.deliver(() => {
        ask().then(resolve, reject);
      });
    });

  return {
    ...process,
    host,
    view: () => view,
    openRequests: () =>
      inProcess(() =>
        process.kernel().ask('requests', (reply: (open: number) => void) => ({
          kind: 'count',
          reply,
        })),
      ),
    apply: patch =>
      inProcess(() =>
        process
          .kernel()
          .ask('config', (reply: (outcome: PatchOutcome) => void) => ({
            kind: 'apply',
            patch,
            reply,
          })),
      ),
    drain: () =>
      inProcess(() => {
        process.kernel().send('membership', {kind: 'leave'});
        return process
          .kernel()
          .ask('requests', (reply: (done: void) => void) => ({
            kind: 'drain',
            reply: () => reply(),
          }));
      }),
  };
}
