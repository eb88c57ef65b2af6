/**
 * Transport between processes over gRPC and TCP. Each peer has one connection
 * for control traffic and one for requests. Heartbeats therefore do not wait
 * behind prompts of several megabytes, and the bytes of both kinds can be
 * counted separately at the sockets.
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

/**
 * Connections to a peer that were unused for this many milliseconds are closed
 * when the next client is created.
 */
const MAX_UNUSED_MS = 600_000;

/** Clock, metrics and certificates of the transport. */
export interface GrpcTransportOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Mutual TLS. @default plain TCP */
  readonly tls?: TlsOptions;
}

/** Creates a transport. It connects to a peer at the first call or run. */
export function createGrpcTransport(options: GrpcTransportOptions): Transport {
  const {clock, metrics, tls} = options;
  const bytes = createByteCounter(clock, metrics);
  const clients = new Map<string, PeerClient>();

  /**
   * Closes the clients of peers that are no longer called. Hosts may be
   * replaced at any time, and their addresses are not used again.
   */
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
