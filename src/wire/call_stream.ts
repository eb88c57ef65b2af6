/**
 * Client side of calls that share one long-lived stream. Answers carry no id.
 * They are matched to the calls by their order.
 */
import {Metadata} from '@grpc/grpc-js';
import type {Client, ClientDuplexStream, ServiceError} from '@grpc/grpc-js';
import type {PeerCalls} from '../types/peer_messages.js';
import type {Cancel, Clock} from '../types/runtime.js';
import {CALL_CODECS} from './codec.js';
import type {MethodCodec} from './codec.js';
import {createDeltaDecoder, createDeltaEncoder} from './delta.js';
import type {Delta} from './delta.js';
import {DELTA_CODEC, STREAMED_CALLS} from './heartbeat_streams.js';
import type {StreamedCall, StreamedMethod} from './heartbeat_streams.js';

/** Failure of a call that got no answer. */
export interface StreamFailure {
  /** False when the request never reached a connection. */
  readonly sent: boolean;
  readonly timedOut: boolean;
  /** Undefined for a timeout, or when the other end closed the stream. */
  readonly err: ServiceError | undefined;
}

/** Receives the failure of a call, or undefined and its answer. */
type Settle<Res> = (failure: StreamFailure | undefined, res?: Res) => void;

/** Calls of one method over one long-lived stream, answered in order. */
export interface CallStream<Req, Res> {
  /** Sends a call. `settle` is called once, with a failure or an answer. */
  call(req: Req, timeoutMs: number, settle: Settle<Res>): void;
  /** Ends the stream after the calls already sent on it. */
  close(): void;
}

/** A call that waits for its answer, and the timer of its timeout. */
interface PendingCall<Res> {
  readonly settle: Settle<Res>;
  readonly cancelTimer: Cancel;
}

/** An open stream and the calls on it that wait for an answer. */
interface OpenStream<Req, Res> {
  readonly stream: ClientDuplexStream<Delta, Delta>;
  readonly encode: (req: Req) => Delta;
  readonly pendingCalls: Array<PendingCall<Res>>;
}

/** Opens the stream at the first call, and a new one after each failure. */
export function createCallStream<M extends StreamedMethod>(
  client: Client,
  clock: Clock,
  method: M,
): CallStream<PeerCalls[M]['req'], PeerCalls[M]['res']> {
  type Req = PeerCalls[M]['req'];
  type Res = PeerCalls[M]['res'];
  const codec = CALL_CODECS[method] as unknown as MethodCodec<Req, Res>;
  const streamedCall = STREAMED_CALLS[method] as unknown as StreamedCall<M>;
  let current: OpenStream<Req, Res> | undefined;

  /**
   * Fails all pending calls of a stream and cancels the stream. Answers are
   * matched to calls by their order. After a missing answer, every later answer
   * on that stream would be matched to the wrong call.
   */
  const failStream = (
    failed: OpenStream<Req, Res>,
    timedOut: boolean,
    err?: ServiceError,
  ): void => {
    if (current === failed) current = undefined;
    const sent = failed.stream.getPeer() !== client.getChannel().getTarget();
    for (const {settle, cancelTimer} of failed.pendingCalls.splice(0)) {
      cancelTimer();
      settle({sent, timedOut, err});
    }
    failed.stream.cancel();
  };

  const openStream = (): OpenStream<Req, Res> => {
    const stream = client.makeBidiStreamRequest(
      streamedCall.path,
      DELTA_CODEC.encode,
      DELTA_CODEC.decode,
      new Metadata(),
    );
    const encode = createDeltaEncoder(codec.req, streamedCall.req);
    const decode = createDeltaDecoder(codec.res, streamedCall.res);
    const opened: OpenStream<Req, Res> = {stream, encode, pendingCalls: []};
    stream.on('data', (delta: Delta) => {
      const oldest = opened.pendingCalls.shift();
      oldest?.cancelTimer();
      oldest?.settle(undefined, decode(delta));
    });
    stream.on('error', (err: ServiceError) => failStream(opened, false, err));
    stream.on('end', () => failStream(opened, false));
    return opened;
  };

  return {
    call: (req, timeoutMs, settle) => {
      const openedStream = (current ??= openStream());
      const cancelTimer = clock.after(timeoutMs, () =>
        failStream(openedStream, true),
      );
      openedStream.pendingCalls.push({settle, cancelTimer});
      openedStream.stream.write(openedStream.encode(req));
    },
    close: () => current?.stream.end(),
  };
}
