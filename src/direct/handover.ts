/**
 * The service `handover`: hands other entries what this one knows of the store,
 * and fetches it from them. The store can turn some machines away and serve the
 * others; without this an entry that is turned away stays on the configuration
 * that it had, and from nine tenths of the bound on keys after the next change
 * on it refuses every request with a key.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import {createHttpClient} from '../stores/http_client.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {
  decodeHandoverConfig,
  decodeReplicas,
  encodeConfig,
  encodeReplicas,
} from './handover_codec.js';
import './messages.js';
import type {StoreState} from './messages.js';
import type {EntryAddress} from './types.js';

const CONFIG_PATH = '/config';
const REPLICAS_PATH = '/replicas';
const NOT_FOUND = 404;
/**
 * A configuration of a thousand routes has hundreds of KB, and the link may be
 * thin and shared with answers to callers.
 */
const FETCH_TIMEOUT_MS = 2_000;

export interface HandoverOptions {
  readonly self: EntryAddress;
}

export function createHandover({
  self,
}: HandoverOptions): ServiceSpec<'handover'> {
  return {name: 'handover', start: ctx => startHandover(self, ctx)};
}

async function startHandover(
  self: EntryAddress,
  ctx: ServiceContext<'handover'>,
): Promise<void> {
  const getState = () =>
    ctx.ask('followed', (reply: (state: StoreState) => void) => ({
      kind: 'state',
      reply,
    }));
  // A configuration holds the callers' keys.
  const isKnownEntry = (ip = '') =>
    ctx.ask('sharing', (reply: (is: boolean) => void) => ({
      kind: 'is-entry',
      ip,
      reply,
    }));
  const encodeCached = createConfigCache();
  const loadBody = async ({url, socket}: IncomingMessage) =>
    (await isKnownEntry(socket.remoteAddress))
      ? selectBody(url, await getState(), encodeCached)
      : undefined;
  const server = createServer((req, res) => {
    loadBody(req)
      .then(text => sendBody(res, text))
      .catch(err => {
        const message = String(err);
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'hand over', message});
        res.destroy();
      });
  });
  ctx.own(() => closeServer(server));
  await listen(server, self);

  const fetch = async <T>(
    from: Pick<EntryAddress, 'ip' | 'port'>,
    path: string,
    decode: (text: string) => Either<string, T>,
  ): Promise<T | undefined> => {
    const url = `http://${from.ip}:${from.port}`;
    const {clock} = ctx;
    const client = createHttpClient({url, clock, timeoutMs: FETCH_TIMEOUT_MS});
    const response = await client.call({method: 'GET', path});
    void client.close();
    return response
      .mapLeft(({message}) => message)
      .chain(({body}) => decode(body))
      .ifLeft(message =>
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'fetch', url, message}),
      )
      .toMaybe()
      .extract();
  };
  void ctx.mailbox.observe(message => {
    if (message.kind === 'fetch-config') {
      void fetch(message.from, CONFIG_PATH, decodeHandoverConfig).then(
        message.reply,
      );
      return;
    }
    void fetch(message.from, REPLICAS_PATH, decodeReplicas).then(message.reply);
  });
}

function selectBody(
  path: string | undefined,
  {config, replicas}: StoreState,
  encodeCached: ReturnType<typeof createConfigCache>,
): string | undefined {
  if (path === REPLICAS_PATH) return encodeReplicas(replicas);
  return path === CONFIG_PATH && config !== undefined
    ? encodeCached(config)
    : undefined;
}

/** Many entries that are turned away fetch the same version at once. */
function createConfigCache() {
  let cached: {readonly version: number; readonly text: string} | undefined;
  return (config: NonNullable<StoreState['config']>): string => {
    if (cached?.version !== config.version) {
      cached = {version: config.version, text: encodeConfig(config)};
    }
    return cached.text;
  };
}

function sendBody(res: ServerResponse, text: string | undefined): void {
  if (text === undefined) res.writeHead(NOT_FOUND).end();
  else res.end(text);
}

function listen(server: Server, {ip, port}: EntryAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
