/**
 * The service `handover`, which serves what this entry knows about the store to
 * its peers, the other entries, and fetches the same from them. The store may
 * refuse some machines and serve the others. Without the handover, an entry
 * that is refused would stay on its old configuration. After the next change it
 * would refuse every request with a key as soon as nine tenths of the limit on
 * removed keys have passed.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import {answerWithin} from '../utils/answer_limit.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {createCallReport} from './boundary/contained_errors.js';
import {
  decodeEvacuations,
  decodeHandoverConfig,
  decodeReplicas,
  encodeConfig,
  encodeEvacuations,
  encodeReplicas,
} from './handover_codec.js';
import {createConnectionGuards} from './boundary/connection_guard.js';
import {boundConnections} from './listening/bounded_connections.js';
import {listenAt} from './listening/listening_server.js';
import './messages.js';
import type {StoreState} from './messages.js';
import {MAX_FETCH_MS, fetchText} from './peers/fetch_text.js';
import type {ReadTurns} from '../utils/read_turns.js';
import type {EntryAddress} from './types.js';

/** Path of the newest configuration. */
const CONFIG_PATH = '/config';
/** Path of the known replicas. */
const REPLICAS_PATH = '/replicas';
/** Path of the evacuated failure domains. */
const EVACUATIONS_PATH = '/evacuations';
const NOT_FOUND = 404;
/** Longest wait for what is handed over to one peer, in milliseconds. */
const BODY_LIMIT_MS = 500;

export interface HandoverOptions {
  readonly self: EntryAddress;
  /** @default the work with what peers send is not bounded */
  readonly turns?: ReadTurns | undefined;
}

export function createHandover(
  options: HandoverOptions,
): ServiceSpec<'handover'> {
  return {
    name: 'handover',
    start: ctx => startHandover(options, ctx),
    // A fetch that is lost is repeated by the service that asked for it.
    messageFailed: () => undefined,
  };
}

async function startHandover(
  {self, turns}: HandoverOptions,
  ctx: ServiceContext<'handover'>,
): Promise<void> {
  const getState = () =>
    ctx.ask('followed', (reply: (state: StoreState) => void) => ({
      kind: 'state',
      reply,
    }));
  // A configuration contains the callers' keys, so it is served to peers only.
  const isKnownEntry = (ip = '') =>
    ctx.ask('sharing', (reply: (isEntry: boolean) => void) => ({
      kind: 'is-entry',
      ip,
      reply,
    }));
  const encodeCached = createConfigCache();
  const loadBody = async ({url, socket}: IncomingMessage) =>
    (await isKnownEntry(socket.remoteAddress))
      ? selectBody(url, await getState(), encodeCached)
      : undefined;
  const guards = createConnectionGuards(ctx);
  const handOver = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    try {
      sendBody(
        res,
        await answerWithin(ctx.clock, BODY_LIMIT_MS, loadBody(req)),
      );
    } catch (err) {
      const message = String(err);
      ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'hand over', message});
      res.destroy();
    }
  };
  const server = createServer((req, res) => {
    guards.of(req.socket)('handover', handOver)(req, res);
  });
  boundConnections(server, ctx, MAX_FETCH_MS);
  ctx.own(() => closeServer(server));
  const address = listenAt(server, {
    ...ctx,
    part: 'peers-tcp',
    address: `${self.ip}:${self.port}`,
  });
  ctx.own(address.stop);
  await address.attempted;

  const fetchDecoded = async <T>(
    from: Pick<EntryAddress, 'ip' | 'port'>,
    path: string,
    decode: (text: string) => Either<string, T>,
  ): Promise<T | undefined> => {
    const url = `http://${from.ip}:${from.port}`;
    const text = await fetchText({clock: ctx.clock, turns, from, path});
    return text
      .chain(decode)
      .ifLeft(message =>
        ctx.log(DIRECT_EVENTS.handoverFailed, {step: 'fetch', url, message}),
      )
      .toMaybe()
      .extract();
  };
  /** An error of the entry within one fetch ends it without a result. */
  const fetch = <T>(
    from: Pick<EntryAddress, 'ip' | 'port'>,
    path: string,
    decode: (text: string) => Either<string, T>,
    reply: (value: T | undefined) => void,
  ): void => {
    const report = createCallReport(ctx, {to: `${from.ip}:${from.port}`});
    void fetchDecoded(from, path, decode)
      .catch((err: unknown) => {
        report(err, path);
        return undefined;
      })
      .then(reply);
  };
  void ctx.mailbox.observe(message => {
    const {from} = message;
    switch (message.kind) {
      case 'fetch-config':
        return fetch(from, CONFIG_PATH, decodeHandoverConfig, message.reply);
      case 'fetch-replicas':
        return fetch(from, REPLICAS_PATH, decodeReplicas, message.reply);
      case 'fetch-evacuations':
        return fetch(from, EVACUATIONS_PATH, decodeEvacuations, message.reply);
    }
  });
}

function selectBody(
  path: string | undefined,
  {config, replicas, evacuations}: StoreState,
  encodeCached: ReturnType<typeof createConfigCache>,
): string | undefined {
  if (path === REPLICAS_PATH) return encodeReplicas(replicas);
  if (path === EVACUATIONS_PATH) {
    return evacuations && encodeEvacuations(evacuations);
  }
  return path === CONFIG_PATH && config !== undefined
    ? encodeCached(config)
    : undefined;
}

/**
 * Keeps the encoded text of the newest version, because many entries that the
 * store refuses fetch the same version at the same time.
 */
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

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
