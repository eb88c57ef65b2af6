/**
 * A run's channel over one gRPC stream. The client and the server both use it.
 * The flow control of the stream limits both directions: `send` waits while the
 * stream accepts no more frames, and the peer's frames are not read until
 * `frames` is observed. From then on, they are read as they come.
 */
import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import type {Channel} from '../types/transport.js';
import {createFrameStream} from './frame_stream.js';

/**
 * Creates a channel over a gRPC stream. `close` ends the outgoing direction,
 * which notifies the peer, and drops the received frames not yet delivered. A
 * close by the peer also ends the outgoing direction. `onClosed` is called
 * once, when either end has closed the channel or the connection is lost. After
 * that, `send` drops its frame and resolves, and sends that wait resolve
 * whether or not their frames were delivered.
 */
export function createGrpcChannel<Out, In>(
  stream: ClientDuplexStream<Out, In> | ServerDuplexStream<In, Out>,
  onClosed: () => void = () => undefined,
): Channel<Out, In> {
  // Reading starts when the user of the channel observes `frames`. Until then,
  // flow control limits the peer.
  const frames = createFrameStream<In>(() => {
    stream.on('data', (frame: In) => frames.push(frame));
  });
  const pendingSends = new Set<() => void>();
  let isOpen = true;

  const resolvePendingSends = (): void => {
    for (const resolve of pendingSends) resolve();
    pendingSends.clear();
  };

  /** Returns whether this call closed the channel. */
  const closeOnce = (): boolean => {
    if (!isOpen) return false;
    isOpen = false;
    stream.end();
    resolvePendingSends();
    onClosed();
    return true;
  };

  /**
   * Handles a close by the peer and the loss of the connection. Does nothing
   * when the channel is closed already.
   */
  const handlePeerClose = (): void => {
    if (closeOnce()) frames.end();
  };

  stream.on('drain', resolvePendingSends);
  stream.on('end', handlePeerClose);
  stream.on('close', handlePeerClose);
  stream.on('cancelled', handlePeerClose);
  // Without a listener, a connection error would be thrown as an uncaught error
  // and crash the process.
  stream.on('error', handlePeerClose);

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
