/**
 * Server side of calls that share one long-lived stream. It answers the calls
 * of the stream in the order in which they arrive.
 */
import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {PeerCalls} from '../types/peer_messages.js';
import {CALL_CODECS} from './codec.js';
import type {MethodCodec} from './codec.js';
import {createDeltaDecoder, createDeltaEncoder} from './delta.js';
import type {Delta} from './delta.js';
import {STREAMED_CALLS} from './heartbeat_streams.js';
import type {StreamedCall, StreamedMethod} from './heartbeat_streams.js';

/** Answers the calls in order of arrival until the caller ends the stream. */
export function answerStream<M extends StreamedMethod>(
  method: M,
  handle: (req: PeerCalls[M]['req']) => Promise<PeerCalls[M]['res']>,
  stream: ServerDuplexStream<Delta, Delta>,
  onFailure: (err: unknown) => void,
): void {
  type Req = PeerCalls[M]['req'];
  type Res = PeerCalls[M]['res'];
  const codec = CALL_CODECS[method] as unknown as MethodCodec<Req, Res>;
  const streamedCall = STREAMED_CALLS[method] as unknown as StreamedCall<M>;
  const decode = createDeltaDecoder(codec.req, streamedCall.req);
  const encode = createDeltaEncoder(codec.res, streamedCall.res);
  let previousAnswer: Promise<void> = Promise.resolve();
  let isOpen = true;

  const answer = async (delta: Delta): Promise<void> => {
    if (!isOpen) return;
    const res = await handle(decode(delta));
    if (isOpen) stream.write(encode(res));
  };
  const fail = (err: unknown): void => {
    if (!isOpen) return;
    isOpen = false;
    onFailure(err);
  };
  const markClosed = (): void => {
    isOpen = false;
  };

  stream.on('data', (delta: Delta) => {
    previousAnswer = previousAnswer.then(() => answer(delta)).catch(fail);
  });
  stream.on('end', () => {
    void previousAnswer.then(() => {
      if (isOpen) stream.end();
      markClosed();
    });
  });
  stream.on('cancelled', markClosed);
  stream.on('close', markClosed);
  // Without a listener, a connection error would end the process.
  stream.on('error', markClosed);
}
