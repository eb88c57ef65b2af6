/** A run's channel over one grpc stream, at either end. */
import type {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import type {Channel} from '../types/transport.js';
import {createFrameStream} from './frame_stream.js';

/**
 * Makes a channel of a grpc stream. `close` ends the own direction, which
 * tells the other end; `onClosed` is called once when the channel has closed,
 * from here or from there.
 */
export function createGrpcChannel<Out, In>(
  stream: ClientDuplexStream<Out, In> | ServerDuplexStream<In, Out>,
  onClosed: () => void = () => undefined,
): Channel<Out, In> {
  // Nothing is read before somebody observes the frames, so that until then
  // flow control holds the sender back.
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

  /** The other end closed, or the connection is lost. */
  const closedByPeer = (): void => {
    if (closeOnce()) frames.end();
  };

  stream.on('drain', resolvePendingSends);
  stream.on('end', closedByPeer);
  stream.on('close', closedByPeer);
  stream.on('cancelled', closedByPeer);
  // Without a listener an error of the connection would end the process.
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
