/**
 * What processes a small fleet has, with their settings: stand-ins, entries,
 * and a side beside each upstream, over three failure domains.
 */
import type {TimingSettings, TlsSettings} from '../src/config/settings.js';
import {freeAddresses} from './free_addresses.js';

/** How a fleet is made up. */
export interface FleetShape {
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  readonly failureDomains: readonly string[];
  readonly model: string;
  readonly modelVersion: string;
  readonly servicePool: string;
  readonly enginePool: string;
  /** Memory of one engine, in tokens. */
  readonly engineMemoryTokens: number;
  /** How much faster than its figures an engine runs. */
  readonly engineSpeed: number;
  /** Put a relay before each entry's callers, side, upstream, object API. */
  readonly relays: boolean;
  /** Timing of all daemons. @default that of the settings */
  readonly timing?: Partial<TimingSettings>;
  /** Mutual TLS between the daemons. @default plain TCP */
  readonly tls?: TlsSettings;
  /**
   * Daemons listen for peers at all of the machine's addresses, so that each
   * can be listed many times, as 127.0.0.1, 127.0.0.2 and so on.
   * @default false
   */
  readonly listenOnAll?: boolean;
}

export const DEMO_SHAPE: FleetShape = {
  entries: 2,
  engines: 3,
  services: 2,
  failureDomains: ['hall-north', 'hall-south', 'hall-east'],
  model: 'onyx-large',
  modelVersion: 'v1',
  servicePool: 'station-app',
  enginePool: 'onyx-pool',
  engineMemoryTokens: 420_000,
  engineSpeed: 8,
  relays: false,
};

/** One process to start. */
export interface ProcessPlan {
  readonly name: string;
  readonly role: string;
  /** Where it listens first; for a daemon its peers' address. */
  readonly address: string;
  /** Program file under the build folder, without `.js`. */
  readonly program: string;
  readonly args: readonly string[];
  /** Settings to write for it, if any. */
  readonly settings: unknown;
  /** Where its faults are switched, if it has any. */
  readonly faultsUrl: string | undefined;
  /** Answers 200 when the process is up. */
  readonly healthUrl: string;
  /** Answers 200 once it serves; for daemons. */
  readonly readyUrl: string | undefined;
}

/** Access of an organisation. */
export interface OrganisationAccess {
  readonly name: string;
  readonly key: string;
}

export interface FleetPlan {
  readonly shape: FleetShape;
  readonly processes: readonly ProcessPlan[];
  readonly callerUrls: readonly string[];
  readonly operatorUrls: readonly string[];
  readonly engineUrls: readonly string[];
  readonly serviceUrls: readonly string[];
  readonly hosts: readonly HostLine[];
  readonly hostListUrl: string;
  readonly objectApiUrl: string;
}

/** A line to put into the host list. */
export interface HostLine {
  readonly host: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly pool: string;
  readonly state: 'live';
}

/** Works out processes, addresses and settings. */
export async function planFleet(
  shape: FleetShape,
  operatorTokenHash: string,
): Promise<FleetPlan> {
  const builder = await createBuilder(shape, operatorTokenHash);
  return builder.build();
}

async function createBuilder(shape: FleetShape, operatorTokenHash: string) {
  const upstreams = shape.engines + shape.services;
  const pool = await freeAddresses(
    5 + 2 * upstreams * 3 + shape.entries * 5 + upstreams * 4,
  );
  const take = () => pool.pop() as string;
  const objectApi = take();
  const hostList = take();
  const weightStore = take();
  const platform = {
    objectApi: `http://${objectApi}`,
    hostList: `http://${hostList}`,
    weightStore: `http://${weightStore}`,
  };
  const processes: ProcessPlan[] = [];
  const hosts: HostLine[] = [];
  const domainOf = (index: number) =>
    shape.failureDomains[index % shape.failureDomains.length] as string;

  const standin = (
    name: string,
    role: string,
    address: string,
    program: string,
    healthPath: string,
    faultsPath: string,
    more: readonly string[] = [],
  ) =>
    processes.push({
      name,
      role,
      address,
      program: `standins/${program}`,
      args: ['--listen', address, ...more],
      settings: undefined,
      faultsUrl: `http://${address}${faultsPath}`,
      healthUrl: `http://${address}${healthPath}`,
      readyUrl: undefined,
    });

  const bound = (address: string) =>
    shape.listenOnAll === true
      ? address.replace('127.0.0.1', '0.0.0.0')
      : address;

  const relay = (name: string, target: string): string => {
    if (!shape.relays) return target;
    const address = take();
    const control = take();
    processes.push({
      name: `relay-${name}`,
      role: 'relay',
      address,
      program: 'standins/relay',
      args: ['--listen', address, '--target', target, '--control', control],
      settings: undefined,
      faultsUrl: `http://${control}/faults`,
      healthUrl: `http://${control}/status`,
      readyUrl: undefined,
    });
    return address;
  };

  const reachedStore = relay('object-api', objectApi);

  const daemon = (
    name: string,
    role: 'entry' | 'side',
    listen: Readonly<Record<string, string>>,
    more: Readonly<Record<string, unknown>>,
    failureDomain: string,
  ) =>
    processes.push({
      name,
      role,
      address: listen['peers'] as string,
      program: 'src/onyxloftd',
      args: [],
      settings: {
        role,
        node: name,
        host: `host-${name}`,
        failureDomain,
        listen: {...listen, peers: bound(listen['peers'] as string)},
        advertise: {peers: listen['peers']},
        platform: {...platform, objectApi: `http://${reachedStore}`},
        timing: shape.timing,
        tls: shape.tls,
        ...more,
      },
      faultsUrl: undefined,
      healthUrl: `http://${listen['operators']}/healthz`,
      readyUrl: `http://${listen['operators']}/readyz`,
    });

  const side = (
    name: string,
    index: number,
    kind: 'engine' | 'service',
    poolName: string,
    upstream: string,
  ) => {
    const listen = {peers: take(), operators: take()};
    const reached = relay(name, listen.peers);
    const behind = relay(`${name}-upstream`, upstream);
    daemon(
      name,
      'side',
      listen,
      {
        advertise: {peers: reached},
        operatorTokenHash,
        upstream: {
          kind,
          pool: poolName,
          url: `http://${behind}`,
          refusesOldFence: kind === 'engine' && index % 2 === 0,
        },
      },
      domainOf(index),
    );
    hosts.push({
      host: `host-${name}`,
      address: reached,
      failureDomain: domainOf(index),
      pool: poolName,
      state: 'live',
    });
  };

  const build = (): FleetPlan => {
    standin(
      'object-api',
      'object-api',
      objectApi,
      'object_api',
      '/counts',
      '/faults',
    );
    standin(
      'host-list',
      'host-list',
      hostList,
      'host_list',
      '/v1/hosts',
      '/faults',
    );
    standin(
      'weight-store',
      'weight-store',
      weightStore,
      'weight_store',
      '/v1/status',
      '/faults',
    );
    const engineUrls: string[] = [];
    for (let i = 0; i < shape.engines; i++) {
      const address = take();
      engineUrls.push(`http://${address}`);
      standin(
        `engine-${i + 1}`,
        'engine',
        address,
        'engine',
        '/v1/report',
        '/faults',
        [
          '--models',
          `${shape.model}@${shape.modelVersion}`,
          '--memory-tokens',
          String(shape.engineMemoryTokens),
          '--speed',
          String(shape.engineSpeed),
          '--honours-fence',
          String(i % 2 === 0),
          '--weight-store',
          platform.weightStore,
        ],
      );
      side(`side-engine-${i + 1}`, i, 'engine', shape.enginePool, address);
    }
    const serviceUrls: string[] = [];
    for (let i = 0; i < shape.services; i++) {
      const address = take();
      serviceUrls.push(`http://${address}`);
      standin(
        `service-${i + 1}`,
        'service',
        address,
        'plain_service',
        '/-/report',
        '/-/faults',
      );
      side(`side-service-${i + 1}`, i, 'service', shape.servicePool, address);
    }
    const callerUrls: string[] = [];
    const operatorUrls: string[] = [];
    for (let i = 0; i < shape.entries; i++) {
      const listen = {callers: take(), operators: take(), peers: take()};
      const name = `entry-${i + 1}`;
      const reached = relay(name, listen.callers);
      daemon(name, 'entry', listen, {operatorTokenHash}, domainOf(i));
      callerUrls.push(`http://${reached}`);
      operatorUrls.push(`http://${listen.operators}`);
      hosts.push({
        host: `host-${name}`,
        address: listen.peers,
        failureDomain: domainOf(i),
        pool: 'entry',
        state: 'live',
      });
    }
    return {
      shape,
      processes,
      callerUrls,
      operatorUrls,
      engineUrls,
      serviceUrls,
      hosts,
      hostListUrl: platform.hostList,
      objectApiUrl: platform.objectApi,
    };
  };
  return {build};
}
