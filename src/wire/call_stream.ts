/** The calling end of calls that go over one kept stream; answers in order. */
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

/** What came of a call without an answer. */
export interface StreamFailure {
  /** False when the request never reached a connection. */
  readonly sent: boolean;
  readonly timedOut: boolean;
  /** Undefined for a timeout, or when the other end closed the stream. */
  readonly err: ServiceError | undefined;
}

type Settle<Res> = (failure: StreamFailure | undefined, res?: Res) => void;

/** Calls of one method over one kept stream, answered in order. */
export interface CallStream<Req, Res> {
  call(req: Req, timeoutMs: number, settle: Settle<Res>): void;
  close(): void;
}

interface Waiting<Res> {
  readonly settle: Settle<Res>;
  readonly cancelTimer: Cancel;
}

interface Opened<Req, Res> {
  readonly stream: ClientDuplexStream<Delta, Delta>;
  readonly encode: (req: Req) => Delta;
  readonly waiting: Array<Waiting<Res>>;
}

/** Opens the stream with the first call, and anew after each loss. */
export function createCallStream<M extends StreamedMethod>(
  client: Client,
  clock: Clock,
  method: M,
): CallStream<PeerCalls[M]['req'], PeerCalls[M]['res']> {
  type Req = PeerCalls[M]['req'];
  type Res = PeerCalls[M]['res'];
  const codec = CALL_CODECS[method] as unknown as MethodCodec<Req, Res>;
  const names = STREAMED_CALLS[method] as unknown as StreamedCall<M>;
  let current: Opened<Req, Res> | undefined;

  /**
   * Answers are matched to calls by their order, so after one that is missing
   * none on that stream can be trusted: all that wait there fail with it.
   */
  const lose = (
    from: Opened<Req, Res>,
    timedOut: boolean,
    err?: ServiceError,
  ): void => {
    if (current === from) current = undefined;
    const sent = from.stream.getPeer() !== client.getChannel().getTarget();
    for (const {settle, cancelTimer} of from.waiting.splice(0)) {
      cancelTimer();
      settle({sent, timedOut, err});
    }
    from.stream.cancel();
  };

  const open = (): Opened<Req, Res> => {
    const stream = client.makeBidiStreamRequest(
      names.path,
      DELTA_CODEC.encode,
      DELTA_CODEC.decode,
      new Metadata(),
    );
    const encode = createDeltaEncoder(codec.req, names.req);
    const decode = createDeltaDecoder(codec.res, names.res);
    const opened: Opened<Req, Res> = {stream, encode, waiting: []};
    stream.on('data', (delta: Delta) => {
      const first = opened.waiting.shift();
      first?.cancelTimer();
      first?.settle(undefined, decode(delta));
    });
    stream.on('error', (err: ServiceError) => lose(opened, false, err));
    stream.on('end', () => lose(opened, false));
    return opened;
  };

  return {
    call: (req, timeoutMs, settle) => {
      const on = (current ??= open());
      const cancelTimer = clock.after(timeoutMs, () => lose(on, true));
      on.waiting.push({settle, cancelTimer});
      on.stream.write(on.encode(req));
    },
    close: () => current?.stream.end(),
  };
}
