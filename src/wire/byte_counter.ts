/**
 * Counts the bytes of connections between the system's processes at their
 * sockets, including TLS and framing. Control and request traffic are counted
 * separately. Each connection carries only one of the two kinds.
 */
import type {Socket} from 'node:net';
import type {PeerMethod} from '../types/peer_messages.js';
import type {Cancel, Clock, Metrics} from '../types/runtime.js';

/**
 * Kind of traffic on a connection: `request` for the messages of a request,
 * `control` for all other messages, such as heartbeats and configuration.
 */
export type TrafficKind = 'control' | 'request';

const BYTES_METRIC = 'onyxloft_peer_bytes_total';
/** Interval at which the counters are updated, in milliseconds. */
const SAMPLE_PERIOD_MS = 1_000;

const REQUEST_TRAFFIC_METHODS: ReadonlySet<string> = new Set<PeerMethod>([
  'offer',
  'abandon',
  'locate',
]);

/** Offer, abandon and locate calls are request traffic, others are control. */
export function trafficKindOf(method: PeerMethod): TrafficKind {
  return REQUEST_TRAFFIC_METHODS.has(method) ? 'request' : 'control';
}

/** Counts the bytes of sockets by direction and kind of traffic. */
export interface ByteCounter {
  /**
   * Counts the bytes of a socket until it closes. `kind` is called at each
   * sample. While it returns undefined, the bytes are left for a later sample.
   */
  watch(socket: Socket, kind: () => TrafficKind | undefined): void;
  /** Stops sampling after a last sample. */
  close(): void;
}

/** A counted socket and the bytes of it that the metrics already include. */
interface WatchedSocket {
  readonly socket: Socket;
  readonly kind: () => TrafficKind | undefined;
  /** Received bytes that the metrics already include. */
  countedRead: number;
  /** Sent bytes that the metrics already include. */
  countedWritten: number;
}

/** Creates a counter that samples its sockets until `close`. */
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
