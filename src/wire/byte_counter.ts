/**
 * Counts the bytes of connections between the system's processes as their
 * sockets report them, so with TLS and framing. Control and request traffic are
 * counted separately. Each connection carries only one of the two kinds.
 */
import type {Socket} from 'node:net';
import type {PeerMethod} from '../types/peer_messages.js';
import type {Cancel, Clock, Metrics} from '../types/runtime.js';

/**
 * Kind of traffic on a connection: `request` for runs and for the calls in
 * `REQUEST_TRAFFIC_METHODS`, `control` for all other messages, such as
 * heartbeats and configuration.
 */
export type TrafficKind = 'control' | 'request';

const BYTES_METRIC = 'onyxloft_peer_bytes_total';
/** Interval at which the counters are updated, in milliseconds. */
const SAMPLE_PERIOD_MS = 1_000;

/**
 * Calls that are request traffic. Runs are request traffic too; both ends give
 * their connections that kind without `trafficKindOf`.
 */
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
   * sample and at the close. While it returns undefined, the bytes are left for
   * a later sample. They are never counted if it still does so at the close.
   */
  watch(socket: Socket, kind: () => TrafficKind | undefined): void;
  /**
   * Stops the periodic samples after a last sample. Sockets that are watched
   * before or after it are still counted when they close.
   */
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

/** Creates a counter that samples its sockets each second until `close`. */
export function createByteCounter(clock: Clock, metrics: Metrics): ByteCounter {
  const watchedSockets = new Set<WatchedSocket>();

  const countNewBytes = (watched: WatchedSocket): void => {
    const kind = watched.kind();
    if (kind === undefined) return;
    const {bytesRead, bytesWritten} = watched.socket;
    const read = bytesRead - watched.countedRead;
    const written = bytesWritten - watched.countedWritten;
    watched.countedRead = bytesRead;
    watched.countedWritten = bytesWritten;
    if (read > 0) metrics.count(BYTES_METRIC, {direction: 'in', kind}, read);
    if (written > 0) {
      metrics.count(BYTES_METRIC, {direction: 'out', kind}, written);
    }
  };

  const cancel: Cancel = clock.every(SAMPLE_PERIOD_MS, () => {
    for (const watched of watchedSockets) countNewBytes(watched);
  });

  return {
    watch: (socket, kind) => {
      const watched: WatchedSocket = {
        socket,
        kind,
        countedRead: 0,
        countedWritten: 0,
      };
      watchedSockets.add(watched);
      socket.once('close', () => {
        countNewBytes(watched);
        watchedSockets.delete(watched);
      });
    },
    close: () => {
      cancel();
      for (const watched of watchedSockets) countNewBytes(watched);
    },
  };
}
