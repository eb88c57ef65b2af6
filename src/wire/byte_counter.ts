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

const REQUEST_METHODS: ReadonlySet<string> = new Set<PeerMethod>([
  'offer',
  'abandon',
  'locate',
]);

/** Offers, abandons and locates are of a request; the rest is control. */
export function trafficOf(method: PeerMethod): TrafficKind {
  return REQUEST_METHODS.has(method) ? 'request' : 'control';
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

interface Watched {
  readonly socket: Socket;
  readonly kind: () => TrafficKind | undefined;
  read: number;
  written: number;
}

/** Starts to sample; `close` takes the last sample. */
export function createByteCounter(clock: Clock, metrics: Metrics): ByteCounter {
  const watched = new Set<Watched>();

  const sample = (entry: Watched): void => {
    const kind = entry.kind();
    if (kind === undefined) return;
    const {bytesRead, bytesWritten} = entry.socket;
    const read = bytesRead - entry.read;
    const written = bytesWritten - entry.written;
    entry.read = bytesRead;
    entry.written = bytesWritten;
    if (read > 0) metrics.count(BYTES_METRIC, {direction: 'in', kind}, read);
    if (written > 0) {
      metrics.count(BYTES_METRIC, {direction: 'out', kind}, written);
    }
  };

  const cancel: Cancel = clock.every(SAMPLE_PERIOD_MS, () => {
    for (const entry of watched) sample(entry);
  });

  return {
    watch: (socket, kind) => {
      const entry: Watched = {socket, kind, read: 0, written: 0};
      watched.add(entry);
      socket.once('close', () => {
        sample(entry);
        watched.delete(entry);
      });
    },
    close: () => {
      cancel();
      for (const entry of watched) sample(entry);
    },
  };
}
