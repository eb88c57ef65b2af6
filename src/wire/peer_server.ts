/**
 * Server for calls and runs from peers. It accepts connections, passes calls to
 * the handlers, and records the kind of traffic of each connection.
 */
import {createServer} from 'node:net';
import type {Server as NetServer, Socket} from 'node:net';
import {Server, status} from '@grpc/grpc-js';
import type {
  ServerDuplexStream,
  ServerUnaryCall,
  ServiceDefinition,
  UntypedServiceImplementation,
  sendUnaryData,
} from '@grpc/grpc-js';
import {OnyxError} from '../types/errors.js';
import type {Address} from '../types/ids.js';
import type {
  PeerCalls,
  PeerMethod,
  RunDown,
  RunUp,
} from '../types/peer_messages.js';
import type {Clock} from '../types/runtime.js';
import type {Listener, PeerHandlers} from '../types/transport.js';
import {answerStream} from './answer_stream.js';
import {trafficKindOf} from './byte_counter.js';
import type {ByteCounter, TrafficKind} from './byte_counter.js';
import {CALL_CODECS, RUN_CODEC} from './codec.js';
import {ipOf, serverCredentials} from './credentials.js';
import type {TlsOptions} from './credentials.js';
import type {Delta} from './delta.js';
import {createGrpcChannel} from './grpc_channel.js';
import {DELTA_CODEC, STREAMED_CALLS, isStreamed} from './heartbeat_streams.js';
import type {StreamedMethod} from './heartbeat_streams.js';

/**
 * Time in milliseconds for open calls to end after `close`. Calls still open
 * after it are aborted.
 */
const CLOSE_GRACE_MS = 1_000;

/** Address to listen at, handlers of the calls, and the byte counter. */
export interface PeerServerOptions {
  readonly address: Address;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  readonly tls: TlsOptions | undefined;
  readonly bytes: ByteCounter;
}

const METHODS = Object.keys(CALL_CODECS) as readonly PeerMethod[];

function describeFailure(err: unknown): string {
  if (err instanceof OnyxError) return `${err.code}: ${err.message}`;
  return err instanceof Error ? err.message : String(err);
}

function callDefinition(method: PeerMethod): ServiceDefinition[string] {
  const codec = CALL_CODECS[method];
  return {
    path: codec.path,
    requestStream: false,
    responseStream: false,
    requestSerialize: codec.req.encode as (value: unknown) => Buffer,
    requestDeserialize: codec.req.decode,
    responseSerialize: codec.res.encode as (value: unknown) => Buffer,
    responseDeserialize: codec.res.decode,
  };
}

function streamDefinition(method: StreamedMethod): ServiceDefinition[string] {
  return {
    path: STREAMED_CALLS[method].path,
    requestStream: true,
    responseStream: true,
    requestSerialize: DELTA_CODEC.encode,
    requestDeserialize: DELTA_CODEC.decode,
    responseSerialize: DELTA_CODEC.encode,
    responseDeserialize: DELTA_CODEC.decode,
  };
}

const RUN_DEFINITION: ServiceDefinition[string] = {
  path: RUN_CODEC.path,
  requestStream: true,
  responseStream: true,
  requestSerialize: RUN_CODEC.req.encode as (value: unknown) => Buffer,
  requestDeserialize: RUN_CODEC.req.decode,
  responseSerialize: RUN_CODEC.res.encode as (value: unknown) => Buffer,
  responseDeserialize: RUN_CODEC.res.decode,
};

function serviceDefinitionFor(handlers: PeerHandlers): ServiceDefinition {
  const served = METHODS.filter(method => handlers[method] !== undefined);
  const calls = served.map(
    method =>
      [
        method,
        isStreamed(method) ? streamDefinition(method) : callDefinition(method),
      ] as const,
  );
  const definition: ServiceDefinition = Object.fromEntries(calls);
  if (handlers.run === undefined) return definition;
  return {...definition, run: RUN_DEFINITION};
}

/** Records the kind of traffic on the connection of a peer address. */
type MarkTrafficKind = (peer: string, kind: TrafficKind) => void;

function callHandler<M extends PeerMethod>(
  method: M,
  handle: (req: PeerCalls[M]['req']) => Promise<PeerCalls[M]['res']>,
  markTrafficKind: MarkTrafficKind,
) {
  return (
    call: ServerUnaryCall<PeerCalls[M]['req'], PeerCalls[M]['res']>,
    answer: sendUnaryData<PeerCalls[M]['res']>,
  ): void => {
    markTrafficKind(call.getPeer(), trafficKindOf(method));
    // The async function also turns an exception of the handler into a
    // rejection.
    const handled = (async () => handle(call.request))();
    handled.then(
      res => answer(null, res),
      (err: unknown) =>
        answer({
          code: status.FAILED_PRECONDITION,
          details: describeFailure(err),
        }),
    );
  };
}

type DeltaStream = ServerDuplexStream<Delta, Delta>;

function streamHandler<M extends StreamedMethod>(
  method: M,
  handle: (req: PeerCalls[M]['req']) => Promise<PeerCalls[M]['res']>,
  markTrafficKind: MarkTrafficKind,
  openStreams: Set<DeltaStream>,
) {
  return (stream: DeltaStream): void => {
    markTrafficKind(stream.getPeer(), trafficKindOf(method));
    openStreams.add(stream);
    stream.once('close', () => openStreams.delete(stream));
    answerStream(method, handle, stream, err =>
      stream.emit('error', {
        code: status.FAILED_PRECONDITION,
        details: describeFailure(err),
      }),
    );
  };
}

function serviceImplementationFor(
  handlers: PeerHandlers,
  markTrafficKind: MarkTrafficKind,
  openStreams: Set<DeltaStream>,
): UntypedServiceImplementation {
  const implementation: UntypedServiceImplementation = {};
  for (const method of METHODS) {
    const handle = handlers[method] as
      ((req: unknown) => Promise<never>) | undefined;
    if (handle === undefined) continue;
    implementation[method] = isStreamed(method)
      ? streamHandler(method, handle, markTrafficKind, openStreams)
      : callHandler(method, handle, markTrafficKind);
  }
  const {run} = handlers;
  if (run !== undefined) {
    implementation['run'] = (stream: ServerDuplexStream<RunUp, RunDown>) => {
      markTrafficKind(stream.getPeer(), 'request');
      run(createGrpcChannel<RunDown, RunUp>(stream));
    };
  }
  return implementation;
}

function bind(server: NetServer, address: Address): Promise<Address> {
  const host = ipOf(address);
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => {
      server.off('error', reject);
      const bound = server.address();
      const boundPort =
        bound !== null && typeof bound === 'object' ? bound.port : port;
      resolve(`${host.includes(':') ? `[${host}]` : host}:${boundPort}`);
    });
  });
}

/** Listens at an address. Port 0 selects a free port. */
export async function listenForPeers(
  options: PeerServerOptions,
): Promise<Listener> {
  const {handlers, clock, tls, bytes} = options;
  const kindByPeer = new Map<string, TrafficKind>();
  const server = new Server({'grpc.enable_channelz': 0});
  const markTrafficKind: MarkTrafficKind = (peer, kind) => {
    if (kindByPeer.get(peer) === undefined) kindByPeer.set(peer, kind);
  };
  const openStreams = new Set<DeltaStream>();
  server.addService(
    serviceDefinitionFor(handlers),
    serviceImplementationFor(handlers, markTrafficKind, openStreams),
  );
  const injector = server.createConnectionInjector(serverCredentials(tls));

  const openSockets = new Set<Socket>();
  const listener = createServer((socket: Socket) => {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.setNoDelay();
    // No other listener exists if the connection is reset before the handshake.
    socket.on('error', () => socket.destroy());
    bytes.watch(socket, () => kindByPeer.get(peer));
    openSockets.add(socket);
    socket.once('close', () => {
      openSockets.delete(socket);
      kindByPeer.delete(peer);
    });
    injector.injectConnection(socket);
  });
  const address = await bind(listener, options.address);

  const close = (): Promise<void> =>
    new Promise(resolve => {
      listener.close();
      // Heartbeat streams do not end by themselves. Without this, the close
      // would wait for them.
      for (const stream of openStreams) stream.end();
      const cancel = clock.after(CLOSE_GRACE_MS, () => {
        server.forceShutdown();
        for (const socket of openSockets) socket.destroy();
        resolve();
      });
      server.tryShutdown(() => {
        cancel();
        resolve();
      });
    });
  return {address, close};
}
