/**
 * Counts the bytes of connections between the system's processes at their
 * sockets, TLS and framing included, apart by control and request traffic.
 * Each connection carries one of the two, so a socket's bytes are of one kind.
 */
import type {Socket} from 'node:net';
import type {PeerMethod} from '../types/peer_messages.js';
import type {Cancel, Clock, Metrics} from '../types/runtime.js';

/** Control keeps the fleet together; request is the path of requests. */
export type TrafficKind = 'control' | 'request';

const BYTES_METRIC = 'onyxloft_peer_bytes_total';
const SAMPLE_PERIOD_MS = 1_000;

const REQUEST_TRAFFIC_METHODS: ReadonlySet<string> = new Set<PeerMethod>([
  'offer',
  'abandon',
  'locate',
]);

/** Offers, abandons and locates are of a request; the rest is control. */
export function trafficKindOf(method: PeerMethod): TrafficKind {
  return REQUEST_TRAFFIC_METHODS.has(method) ? 'request' : 'control';
}

/** Counts the bytes of sockets by direction and kind of traffic. */
export interface ByteCounter {
  /**
   * Counts a socket until it closes. `kind` is asked at each sample; while it
   * is undefined the bytes wait for it.
   */
  watch(socket: Socket, kind: () => TrafficKind | undefined): void;
  close(): void;
}

interface WatchedSocket {
  readonly socket: Socket;
  readonly kind: () => TrafficKind | undefined;
  countedRead: number;
  countedWritten: number;
}

/** Starts to sample; `close` takes the last sample. */
export function createByteCounter(clock: Clock, metrics: Metrics): ByteCounter {
  const watchedSockets = new Set<WatchedSocket>();

  const countNewBytes = (entry: WatchedSocket): void => {
    const kind = entry.kind();
    if (kind === undefined) return;
    const {bytesRead, bytesWritten} = entry.socket;
    const read = bytesRead - entry.countedRead;
    const written = bytesWritten - entry.countedWritten;
    entry.countedRead = bytesRead;
    entry.countedWritten = bytesWritten;
    if (read > 0) metrics.count(BYTES_METRIC, {direction: 'in', kind}, read);
    if (written > 0) {
      metrics.count(BYTES_METRIC, {direction: 'out', kind}, written);
    }
  };

  const cancel: Cancel = clock.every(SAMPLE_PERIOD_MS, () => {
    for (const entry of watchedSockets) countNewBytes(entry);
  });

  return {
    watch: (socket, kind) => {
      const entry: WatchedSocket = {
        socket,
        kind,
        countedRead: 0,
        countedWritten: 0,
      };
      watchedSockets.add(entry);
      socket.once('close', () => {
        countNewBytes(entry);
        watchedSockets.delete(entry);
      });
    },
    close: () => {
      cancel();
      for (const entry of watchedSockets) countNewBytes(entry);
    },
  };
}
