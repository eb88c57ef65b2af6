/**
 * The transport between processes, by grpc over TCP. Each peer has one
 * connection for control traffic and one for requests, so that heartbeats do
 * not wait behind a prompt of megabytes and the bytes of both can be told
 * apart at the socket.
 */
import type {Socket} from 'node:net';
import type {Address} from '../types/ids.js';
import type {Clock, Metrics} from '../types/runtime.js';
import type {Transport} from '../types/transport.js';
import {createByteCounter, trafficKindOf} from './byte_counter.js';
import type {TrafficKind} from './byte_counter.js';
import {CALL_CODECS} from './codec.js';
import type {TlsOptions} from './credentials.js';
import {createPeerClient} from './peer_client.js';
import type {PeerClient} from './peer_client.js';
import {listenForPeers} from './peer_server.js';

/** Unused time after which the connections to a peer are dropped. */
const MAX_UNUSED_MS = 600_000;

/** Time, metrics and certificates of the transport. */
export interface GrpcTransportOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Mutual TLS. @default plain TCP */
  readonly tls?: TlsOptions;
}

/** Makes a transport; nothing is dialled before the first call. */
export function createGrpcTransport(options: GrpcTransportOptions): Transport {
  const {clock, metrics, tls} = options;
  const bytes = createByteCounter(clock, metrics);
  const clients = new Map<string, PeerClient>();

  /** Hosts are replaced at any time; their addresses do not come back. */
  const closeUnusedClients = (): void => {
    const usedBefore = clock.now() - MAX_UNUSED_MS;
    for (const [key, client] of clients) {
      if (client.lastUsedAt() > usedBefore) continue;
      client.close();
      clients.delete(key);
    }
  };

  const getClient = (peer: Address, kind: TrafficKind): PeerClient => {
    const key = `${kind} ${peer}`;
    const existing = clients.get(key);
    if (existing !== undefined) return existing;
    closeUnusedClients();
    const onSocket = (socket: Socket): void => bytes.watch(socket, () => kind);
    const client = createPeerClient({peer, clock, tls, onSocket});
    clients.set(key, client);
    return client;
  };

  return {
    call: (peer, method, req, timeoutMs) =>
      getClient(peer, trafficKindOf(method)).call(
        method,
        CALL_CODECS[method],
        req,
        timeoutMs,
      ),
    openRun: (peer, fresh) => getClient(peer, 'request').openRun(fresh),
    listen: (address, handlers) =>
      listenForPeers({address, handlers, clock, tls, bytes}),
    close: () => {
      for (const client of clients.values()) client.close();
      clients.clear();
      bytes.close();
      return Promise.resolve();
    },
  };
}
