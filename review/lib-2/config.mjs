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

export function configOf(version, routes) {
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
    })),
    limits: CALLER_LIMITS,
    tenants: [{name: 'tenant-1', apiKeys: [KEY], priority: 1}],
  };
}
