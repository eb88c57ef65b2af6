/**
 * The transport between processes of the system. There are two
 * implementations: gRPC for real processes, and an in-memory network on the
 * virtual clock for tests.
 */
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import type {OnyxError} from './errors.js';
import type {Address} from './ids.js';
import type {PeerCalls, PeerMethod, RunDown, RunUp} from './peer_messages.js';

/** One end of a run's bidirectional channel. */
export interface Channel<Out, In> {
  /**
   * Sends a frame. Resolves when the channel accepts another frame
   * (back-pressure). A frame sent on a closed channel is dropped.
   */
  send(frame: Out): Promise<void>;
  /**
   * Frames from the other end, for one observer. The stream ends when the
   * channel closes.
   */
  readonly frames: Stream<In>;
  /** Closes both directions. */
  close(): void;
}

/** An entry's end of a run's channel. */
export type RunChannel = Channel<RunUp, RunDown>;
/** A side's end of a run's channel. */
export type RunServerChannel = Channel<RunDown, RunUp>;

/** Handlers of peers' calls. A call without a handler answers an error. */
export type PeerHandlers = {
  readonly [M in PeerMethod]?: (
    req: PeerCalls[M]['req'],
  ) => Promise<PeerCalls[M]['res']>;
} & {readonly run?: (channel: RunServerChannel) => void};

/** An open listening socket. */
export interface Listener {
  readonly address: Address;
  /** Stops accepting connections; open connections may finish. */
  close(): Promise<void>;
}

/** Makes calls and opens channels to peers, and listens for theirs. */
export interface Transport {
  /**
   * Makes one call. `Left` carries the peer's address and one of these codes:
   * `peer-unreachable`, `timeout` (the peer may have executed the call) or
   * `internal`.
   */
  call<M extends PeerMethod>(
    peer: Address,
    method: M,
    req: PeerCalls[M]['req'],
    timeoutMs: number,
  ): Promise<Either<OnyxError, PeerCalls[M]['res']>>;
  /**
   * Opens a run's channel. `fresh` forces a new connection, for use when an
   * established connection no longer delivers data.
   */
  openRun(peer: Address, fresh: boolean): RunChannel;
  /** Listens for calls and channels of peers. */
  listen(address: Address, handlers: PeerHandlers): Promise<Listener>;
  /** Closes all outgoing connections. */
  close(): Promise<void>;
}
