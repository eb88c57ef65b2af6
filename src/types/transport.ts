/**
 * How processes of the system reach each other. Two implementations: grpc for
 * processes, and an in-memory network on the virtual clock for tests.
 */
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import type {OnyxError} from './errors.js';
import type {Address} from './ids.js';
import type {PeerCalls, PeerMethod, RunDown, RunUp} from './peer_messages.js';

/** One end of a run's two-way channel. */
export interface Channel<Out, In> {
  /**
   * Sends a frame. Resolves when the channel can take another (back-pressure);
   * a frame sent on a closed channel is dropped.
   */
  send(frame: Out): Promise<void>;
  /** Frames from the other end, one observer; ends when the channel closes. */
  readonly frames: Stream<In>;
  /** Closes both directions. */
  close(): void;
}

/** An entry's end of a run's channel. */
export type RunChannel = Channel<RunUp, RunDown>;
/** A side's end of a run's channel. */
export type RunServerChannel = Channel<RunDown, RunUp>;

/** Answers calls of peers; a method left out is answered as an error. */
export type PeerHandlers = {
  readonly [M in PeerMethod]?: (
    req: PeerCalls[M]['req'],
  ) => Promise<PeerCalls[M]['res']>;
} & {readonly run?: (channel: RunServerChannel) => void};

/** An open listening socket. */
export interface Listener {
  readonly address: Address;
  /** Stops taking connections; open ones may end. */
  close(): Promise<void>;
}

/** Calls and channels to other processes, and listening for theirs. */
export interface Transport {
  /**
   * One call. Left: `peer-unreachable`, `timeout` (the peer may have done it)
   * or `internal`, with the peer's address.
   */
  call<M extends PeerMethod>(
    peer: Address,
    method: M,
    req: PeerCalls[M]['req'],
    timeoutMs: number,
  ): Promise<Either<OnyxError, PeerCalls[M]['res']>>;
  /**
   * Opens a run's channel. With `fresh`, on a new connection: for when an
   * established one has gone silent.
   */
  openRun(peer: Address, fresh: boolean): RunChannel;
  listen(address: Address, handlers: PeerHandlers): Promise<Listener>;
  /** Closes all outgoing connections. */
  close(): Promise<void>;
}
