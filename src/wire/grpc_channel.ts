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
  const waiting = new Set<() => void>();
  let open = true;

  const release = (): void => {
    for (const resolve of waiting) resolve();
    waiting.clear();
  };

  const shut = (): boolean => {
    if (!open) return false;
    open = false;
    stream.end();
    release();
    onClosed();
    return true;
  };

  /** The other end closed, or the connection is lost. */
  const closedByPeer = (): void => {
    if (shut()) frames.end();
  };

  stream.on('drain', release);
  stream.on('end', closedByPeer);
  stream.on('close', closedByPeer);
  stream.on('cancelled', closedByPeer);
  // Without a listener an error of the connection would end the process.
  stream.on('error', closedByPeer);

  return {
    frames: frames.stream,
    send: frame => {
      if (!open || stream.write(frame)) return Promise.resolve();
      return new Promise(resolve => waiting.add(resolve));
    },
    close: () => {
      if (shut()) frames.cut();
    },
  };
}
