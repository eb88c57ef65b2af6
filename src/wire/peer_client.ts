/**
 * Client of one peer for one kind of traffic. It keeps its connection open
 * between calls. gRPC reconnects after a loss. The client replaces the
 * connection when the peer has stopped responding on it.
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

/**
 * Number of consecutive timeouts after which a connection is considered silent
 * and is replaced.
 */
const SILENT_AFTER_CONSECUTIVE_TIMEOUTS = 2;
/**
 * A connection younger than this, in milliseconds, is given to every run that
 * requests a fresh connection. When a connection becomes silent, all its runs
 * detect it at the same time. A new connection for each run would mean hundreds
 * at once. Detecting silence takes longer than this time, so no run gets the
 * connection that it abandoned.
 */
const FRESH_FOR_MS = 500;
/**
 * Time in milliseconds to send the last frames of a closed run. The stream is
 * cancelled after it.
 */
const CLOSE_GRACE_MS = 1_000;

const NO_CONNECTION = 'no connection in time';
const NO_ANSWER = 'no answer in time';

/** Error of a call whose stream was closed by the peer before the answer. */
const STREAM_CLOSED = {
  code: status.UNAVAILABLE,
  details: 'the peer closed the stream',
};

const CHANNEL_OPTIONS: ChannelOptions = {
  // Each client has its own connections. A new client thus opens a new
  // connection, and control traffic never waits behind a prompt.
  'grpc.use_local_subchannel_pool': 1,
  // Callers decide on retries, since they know which calls may be repeated.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // Closes a connection that stopped responding under an open stream. The
  // stream detects this sooner by its own beat frames. This frees the socket.
  'grpc.keepalive_time_ms': 20_000,
  'grpc.keepalive_timeout_ms': 5_000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.ssl_target_name_override': TLS_SERVER_NAME,
  'grpc.default_authority': TLS_SERVER_NAME,
};

/** A peer and how to dial it. `onSocket` receives each new socket. */
export interface PeerClientOptions {
  readonly peer: Address;
  readonly clock: Clock;
  readonly tls: TlsOptions | undefined;
  readonly onSocket: (socket: Socket) => void;
}

/** Client of one peer. */
export interface PeerClient {
  call<Req, Res>(
    method: PeerMethod,
    codec: MethodCodec<Req, Res>,
    req: Req,
    timeoutMs: number,
  ): Promise<Either<OnyxError, Res>>;
  /** Opens a run; `fresh` requests a newly opened connection. */
  openRun(fresh: boolean): RunChannel;
  /** Time of the last call or run, on the process's clock. */
  lastUsedAt(): number;
  /** Closes the connection when the last call or run on it has ended. */
  close(): void;
}

/** A gRPC client with one connection and the streams on it. */
interface Connection {
  readonly client: Client;
  /** Time when the client was created, on the process's clock. */
  readonly dialledAt: number;
  /** Long-lived streams by the method whose calls they carry. */
  readonly streams: Map<StreamedMethod, CallStream<unknown, unknown>>;
  consecutiveTimeouts: number;
}

/** Failure of a call, as seen by the transport. */
interface CallFailure {
  readonly peer: Address;
  readonly method: PeerMethod;
  /** False when the request never reached a connection. */
  readonly sent: boolean;
  readonly timedOut: boolean;
  readonly err: Pick<ServiceError, 'code' | 'details'>;
}

/** Statuses that the peer's server returns if a handler fails or is missing. */
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

/** Connects at the first call, and again after consecutive timeouts. */
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

  /** Ends the streams first, since an open stream keeps the connection open. */
  const closeConnection = (connection: Connection): void => {
    for (const stream of connection.streams.values()) stream.close();
    connection.client.close();
  };

  /**
   * Replaces the connection. An established connection can become silent for
   * good: writes succeed, but no call is answered. Calls and runs already sent
   * on the old connection continue. Those that still wait for it to connect
   * fail as not sent.
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
        // A call is bound to a connection when it is sent. Until then,
        // `getPeer` returns the channel's target.
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
      // The timeout uses the monotonic clock. A gRPC deadline uses the wall
      // clock, and a step of the wall clock would end every call at once.
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
