/** HTTP endpoints for the load balancer's readiness checks and the metrics. */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import './messages.js';
import {createConnectionGuards} from './boundary/connection_guard.js';
import {boundConnections} from './listening/bounded_connections.js';
import {listenAt} from './listening/listening_server.js';
import {readyStatus} from './listening/ready_status.js';

export interface ReadyOptions {
  /** IP:PORT of the readiness checks. */
  readonly ready: string;
  /** IP:PORT of the metrics. */
  readonly metrics: string;
}

const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4';

declare module '../types/kernel.js' {
  interface ServiceMessages {
    ready: {readonly kind: 'none'};
  }
}

export function createReadyServer(options: ReadyOptions): ServiceSpec<'ready'> {
  return {name: 'ready', start: ctx => start(options, ctx)};
}

async function start(
  options: ReadyOptions,
  ctx: ServiceContext<'ready'>,
): Promise<void> {
  const isReady = () =>
    ctx.ask('direct', (reply: (ready: boolean) => void) => ({
      kind: 'ready',
      reply,
    }));
  const guards = createConnectionGuards(ctx);
  const sendReady = async (res: ServerResponse): Promise<void> => {
    res.writeHead(await readyStatus(ctx.clock, isReady)).end();
  };
  const sendMetrics = (req: IncomingMessage, res: ServerResponse): void => {
    if (req.url !== METRICS_PATH) {
      res.writeHead(404).end();
      return;
    }
    const text = ctx.metrics.render();
    res.writeHead(200, {'Content-Type': METRICS_TYPE}).end(text);
  };
  const ready = createServer(({socket}, res) => {
    guards.of(socket)('readiness check', sendReady)(res);
  });
  const metrics = createServer((req, res) => {
    guards.of(req.socket)('metrics', sendMetrics)(req, res);
  });
  boundConnections(ready, ctx);
  boundConnections(metrics, ctx);
  ctx.own(() => void ready.close());
  ctx.own(() => void metrics.close());
  const addresses = [
    listenAt(ready, {...ctx, part: 'ready', address: options.ready}),
    listenAt(metrics, {...ctx, part: 'metrics', address: options.metrics}),
  ];
  addresses.forEach(({stop}) => ctx.own(stop));
  await Promise.all(addresses.map(({attempted}) => attempted));
}
