/**
 * A run's channel over one gRPC stream. The client and the server both use it.
 * It limits the sender by the flow control of the stream.
 */
import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import type {Channel} from '../types/transport.js';
import {createFrameStream} from './frame_stream.js';

/**
 * Creates a channel over a gRPC stream. `close` ends the outgoing direction,
 * which notifies the peer. `onClosed` is called once, when either end has
 * closed the channel.
 */
export function createGrpcChannel<Out, In>(
  stream: ClientDuplexStream<Out, In> | ServerDuplexStream<In, Out>,
  onClosed: () => void = () => undefined,
): Channel<Out, In> {
  // Reading starts when the frames are observed. Until then, flow control
  // limits the sender.
  const frames = createFrameStream<In>(() => {
    stream.on('data', (frame: In) => frames.push(frame));
  });
  const pendingSends = new Set<() => void>();
  let isOpen = true;

  const resolvePendingSends = (): void => {
    for (const resolve of pendingSends) resolve();
    pendingSends.clear();
  };

  const closeOnce = (): boolean => {
    if (!isOpen) return false;
    isOpen = false;
    stream.end();
    resolvePendingSends();
    onClosed();
    return true;
  };

  /** Handles a close by the peer and the loss of the connection. */
  const closedByPeer = (): void => {
    if (closeOnce()) frames.end();
  };

  stream.on('drain', resolvePendingSends);
  stream.on('end', closedByPeer);
  stream.on('close', closedByPeer);
  stream.on('cancelled', closedByPeer);
  // Without a listener, a connection error would end the process.
  stream.on('error', closedByPeer);

  return {
    frames: frames.stream,
    send: frame => {
      if (!isOpen || stream.write(frame)) return Promise.resolve();
      return new Promise(resolve => pendingSends.add(resolve));
    },
    close: () => {
      if (closeOnce()) frames.abort();
    },
  };
}
