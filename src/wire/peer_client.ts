/**
 * Connections to one peer for one kind of traffic: kept between calls, dialled
 * again by grpc when lost, and given up for a new one when it went silent.
 */
import type {Socket} from 'node:net';
import {Client, Metadata, status} from '@grpc/grpc-js';
import type {
  ChannelOptions,
  ClientDuplexStream,
  ServiceError,
} from '@grpc/grpc-js';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {Address} from '../types/ids.js';
import type {PeerMethod, RunDown, RunUp} from '../types/peer_messages.js';
import type {Clock} from '../types/runtime.js';
import type {RunChannel} from '../types/transport.js';
import {
  failedAtPeerError,
  notSentError,
  outcomeUnknownError,
} from './call_errors.js';
import {createCallStream} from './call_stream.js';
import type {CallStream} from './call_stream.js';
import {RUN_CODEC} from './codec.js';
import type {MethodCodec} from './codec.js';
import {TLS_SERVER_NAME, clientCredentials} from './credentials.js';
import type {TlsOptions} from './credentials.js';
import {createGrpcChannel} from './grpc_channel.js';
import {isStreamed} from './heartbeat_streams.js';
import type {StreamedMethod} from './heartbeat_streams.js';

/** Timeouts in a row after which a connection counts as silent. */
const SILENT_AFTER_CONSECUTIVE_TIMEOUTS = 2;
/**
 * A connection younger than this is fresh to every run that asks for one. A
 * silent connection takes all its runs along, and they notice together; each
 * on a connection of its own would be hundreds of them at once. Silence takes
 * longer than this to notice, so no run gets back the connection it left.
 */
const FRESH_FOR_MS = 500;
/** Time for a closed run's last frames before its stream is cut. */
const CLOSE_GRACE_MS = 1_000;

const NO_CONNECTION = 'no connection in time';
const NO_ANSWER = 'no answer in time';

const STREAM_CLOSED = {
  code: status.UNAVAILABLE,
  details: 'the peer closed the stream',
};

const CHANNEL_OPTIONS: ChannelOptions = {
  // Each client has connections of its own, so that a new client is a new
  // connection and control traffic never waits behind a prompt.
  'grpc.use_local_subchannel_pool': 1,
  // Who calls decides on retries: it knows what may be repeated.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // Ends a connection that went silent under an open stream. Streams notice
  // sooner by their own beats; this frees the socket.
  'grpc.keepalive_time_ms': 20_000,
  'grpc.keepalive_timeout_ms': 5_000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.ssl_target_name_override': TLS_SERVER_NAME,
  'grpc.default_authority': TLS_SERVER_NAME,
};

/** One peer, and how to dial it. `onSocket` gets each new connection. */
export interface PeerClientOptions {
  readonly peer: Address;
  readonly clock: Clock;
  readonly tls: TlsOptions | undefined;
  readonly onSocket: (socket: Socket) => void;
}

/** Connections to one peer. */
export interface PeerClient {
  call<Req, Res>(
    method: PeerMethod,
    codec: MethodCodec<Req, Res>,
    req: Req,
    timeoutMs: number,
  ): Promise<Either<OnyxError, Res>>;
  openRun(fresh: boolean): RunChannel;
  /** When it was last used, on the process's clock. */
  lastUsedAt(): number;
  /** Ends the connection with the last call or run sent on it. */
  close(): void;
}

interface Connection {
  readonly client: Client;
  readonly dialledAt: number;
  /** Kept streams, by the method whose calls go over them. */
  readonly streams: Map<StreamedMethod, CallStream<unknown, unknown>>;
  consecutiveTimeouts: number;
}

/** What became of a call, as seen by the transport. */
interface CallFailure {
  readonly peer: Address;
  readonly method: PeerMethod;
  /** False when the request never reached a connection. */
  readonly sent: boolean;
  readonly timedOut: boolean;
  readonly err: Pick<ServiceError, 'code' | 'details'>;
}

/** Answers that the peer's own server gives when a handler fails. */
const ANSWERED_STATUSES: ReadonlySet<status> = new Set([
  status.FAILED_PRECONDITION,
  status.UNIMPLEMENTED,
]);

function toCallError(failure: CallFailure): OnyxError {
  const {peer, method, sent, timedOut, err} = failure;
  if (ANSWERED_STATUSES.has(err.code)) {
    return failedAtPeerError(method, peer, err.details);
  }
  if (!sent) {
    return notSentError(method, peer, timedOut ? NO_CONNECTION : err.details);
  }
  return outcomeUnknownError(method, peer, timedOut ? NO_ANSWER : err.details);
}

/** Dials with the first call, and anew after timeouts in a row. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {peer, clock, tls, onSocket} = options;
  const target = `${peer.startsWith('[') ? 'ipv6' : 'ipv4'}:${peer}`;
  let lastUsedAt = clock.now();

  const dial = (): Connection => ({
    client: new Client(
      target,
      clientCredentials(peer, tls, onSocket),
      CHANNEL_OPTIONS,
    ),
    dialledAt: clock.now(),
    streams: new Map(),
    consecutiveTimeouts: 0,
  });

  let current = dial();

  const useConnection = (): Connection => {
    lastUsedAt = clock.now();
    return current;
  };

  /** An open stream would keep the connection for ever. */
  const closeConnection = (connection: Connection): void => {
    for (const stream of connection.streams.values()) stream.close();
    connection.client.close();
  };

  /**
   * An established connection can go silent for good: writes succeed and no
   * answer comes, call after call. A new connection is the cure. Calls and
   * runs already sent on the old one go on; those that still wait for it to
   * connect end as not sent.
   */
  const redial = (): void => {
    const replaced = current;
    current = dial();
    closeConnection(replaced);
  };

  const countTimeout = (connection: Connection): void => {
    connection.consecutiveTimeouts++;
    if (
      connection === current &&
      connection.consecutiveTimeouts >= SILENT_AFTER_CONSECUTIVE_TIMEOUTS
    )
      redial();
  };

  const getStream = (
    connection: Connection,
    method: StreamedMethod,
  ): CallStream<unknown, unknown> => {
    const existing = connection.streams.get(method);
    if (existing !== undefined) return existing;
    const stream = createCallStream(connection.client, clock, method);
    connection.streams.set(method, stream as CallStream<unknown, unknown>);
    return stream as CallStream<unknown, unknown>;
  };

  const callOnStream = <Req, Res>(
    method: StreamedMethod,
    req: Req,
    timeoutMs: number,
  ): Promise<Either<OnyxError, Res>> => {
    const connection = useConnection();
    return new Promise(resolve => {
      getStream(connection, method).call(req, timeoutMs, (failure, res) => {
        if (failure?.timedOut === true) countTimeout(connection);
        else connection.consecutiveTimeouts = 0;
        if (failure === undefined) {
          resolve(Right(res as Res));
          return;
        }
        const err = failure.err ?? STREAM_CLOSED;
        resolve(Left(toCallError({...failure, peer, method, err})));
      });
    });
  };

  const call = <Req, Res>(
    method: PeerMethod,
    codec: MethodCodec<Req, Res>,
    req: Req,
    timeoutMs: number,
  ): Promise<Either<OnyxError, Res>> => {
    if (isStreamed(method)) return callOnStream(method, req, timeoutMs);
    const connection = useConnection();
    return new Promise(resolve => {
      let timedOut = false;
      const settle = (err: ServiceError | null, res?: Res): void => {
        cancelTimer();
        if (timedOut) countTimeout(connection);
        else connection.consecutiveTimeouts = 0;
        if (err === null) {
          resolve(Right(res as Res));
          return;
        }
        // The stream is bound to a connection from when it is sent on; until
        // then the call names the channel's target as its peer.
        const sent =
          stream.getPeer() !== connection.client.getChannel().getTarget();
        resolve(Left(toCallError({peer, method, sent, timedOut, err})));
      };
      const stream = connection.client.makeUnaryRequest(
        codec.path,
        codec.req.encode,
        codec.res.decode,
        req,
        settle,
      );
      // The deadline is on the monotonic clock. That of grpc is a reading of
      // the wall clock, whose steps would end every call at once.
      const cancelTimer = clock.after(timeoutMs, () => {
        timedOut = true;
        stream.cancel();
      });
    });
  };

  const openRun = (fresh: boolean): RunChannel => {
    if (fresh && clock.now() - current.dialledAt >= FRESH_FOR_MS) redial();
    const connection = useConnection();
    const stream: ClientDuplexStream<RunUp, RunDown> =
      connection.client.makeBidiStreamRequest(
        RUN_CODEC.path,
        RUN_CODEC.req.encode,
        RUN_CODEC.res.decode,
        new Metadata(),
      );
    return createGrpcChannel(stream, () => {
      clock.after(CLOSE_GRACE_MS, () => stream.cancel());
    });
  };

  return {
    call,
    openRun,
    lastUsedAt: () => lastUsedAt,
    close: () => closeConnection(current),
  };
}
