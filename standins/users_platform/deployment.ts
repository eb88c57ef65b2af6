/**
 * A small deployment of the users, as it stands in their store: one pool of
 * engines, one plain service, and a route for each kind of request.
 */
import type {ReplicaStandIn} from './replica.js';
import type {StoreStandIn} from './store.js';

export const HOST = 'models.example';
export const KEY = 'key-1';

/** Engine figures small enough that a test's prompt needs a group. */
export const ENGINE = {
  slots: 4,
  kvCapacityTokens: 10_000,
  stride: 4,
  step_ms: 1,
  per_seq_ms: 0,
  read_per_s: 1_000_000,
  pairs_per_m: 0,
  chunk: 2_048,
};

const ROUTES = [
  {
    name: 'stream',
    host: HOST,
    pathPrefix: '/stream/',
    kind: 'streaming',
    timeoutMs: 4_000,
    sloMs: 300,
    gapAimMs: 100,
    priority: 1,
    service: 'pool',
    maxAttempts: 2,
    resumable: true,
  },
  {
    name: 'long',
    host: HOST,
    pathPrefix: '/long/',
    kind: 'streaming',
    timeoutMs: 10_000,
    sloMs: 1_500,
    gapAimMs: 600,
    priority: 1,
    service: 'pool',
    maxAttempts: 2,
    resumable: true,
  },
  {
    name: 'once',
    host: HOST,
    pathPrefix: '/once/',
    kind: 'unsafe',
    timeoutMs: 800,
    sloMs: 100,
    service: 'desk',
    maxAttempts: 2,
  },
  {
    name: 'again',
    host: HOST,
    pathPrefix: '/again/',
    kind: 'safe',
    timeoutMs: 800,
    sloMs: 100,
    service: 'desk',
    maxAttempts: 2,
  },
  {
    name: 'open',
    host: HOST,
    pathPrefix: '/open/',
    kind: 'safe',
    timeoutMs: 800,
    service: 'desk',
    maxAttempts: 1,
    public: true,
  },
] as const;

/** How replicas of both services are after a start. */
export interface ServiceCold {
  readonly coldStartS?: number;
  readonly coldPerS?: number;
}

/** A configuration of this version. */
export function configOf(
  version: number,
  apiKeys: readonly string[] = [KEY],
  cold: ServiceCold = {},
) {
  return {
    version,
    routes: ROUTES,
    services: [
      {name: 'pool', engine: ENGINE, ...cold},
      {name: 'desk', ...cold},
    ],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [{name: 'org-1', apiKeys}],
  };
}

/** A replica's record in the store. */
export function announce(
  store: Pick<StoreStandIn, 'put'>,
  replica: Pick<ReplicaStandIn, 'id' | 'address'>,
  service: string,
  state = 'ready',
  born?: number,
  zone = 'domain-1',
  coldLeftMs?: number,
): void {
  store.put('servers', replica.id, {
    service,
    address: replica.address,
    zone,
    slots: 4,
    state,
    ...(born === undefined ? {} : {born}),
    ...(coldLeftMs === undefined ? {} : {coldLeftMs}),
  });
}
