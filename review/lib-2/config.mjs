/** Parts of the operator's configuration. */
import {CALLER_LIMITS} from './fleet.mjs';

export const HOST = 'app.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

export function routeOf({name, kind, service, ...more}) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 1_500,
    sloMs: 121,
    priority: 1,
    service,
    maxAttempts: 2,
    public: false,
    ...more,
  };
}

/** The published figures of the engines of `onyx-pool`. */
export const ENGINE = {
  slots: 11,
  kvCapacityTokens: 232_000,
  kvTokenBytes: 327_680,
  linkMbps: 400_000,
  stride: 43,
  models: [{name: 'm'}],
  step_ms: 1.02,
  per_seq_ms: 0.0033,
  context_per_k: 0.00431,
  read_per_s: 206_000,
  pairs_per_m: 0.138,
  chunk: 2_048,
  report_lag_ms: 200,
  loadsPerS: 0,
  loads_at_once: 8,
  delays: [],
  usual: {prompt: 5_000, answer: 860},
  hopMs: 0.075,
};

/** `engines` names the services of model replicas. */
export function configOf(version, routes, engines = []) {
  const services = [...new Set(routes.map(({service}) => service))];
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/health',
      maxConns: 100,
      protocol: 'h1',
      tls: false,
      ...(engines.includes(name) ? {engine: ENGINE} : {}),
    })),
    limits: CALLER_LIMITS,
    tenants: [{name: 'tenant-1', apiKeys: [KEY], priority: 1}],
  };
}
