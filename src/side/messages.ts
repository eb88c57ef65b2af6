/**
 * Declares the messages between the services of a side process. The `runs`
 * service owns the upstream's capacity and the runs on it; the `peers` service
 * owns the listening socket.
 */
import type {Either} from 'purify-ts';
import type {NumberedDeclarations} from '../types/config.js';
import type {OnyxError} from '../types/errors.js';
import type {DispatchId, FencingNumber} from '../types/ids.js';
import type {
  AbandonReq,
  AbandonRes,
  LocateReq,
  LocateRes,
  OfferReq,
  OfferRes,
  OrderReq,
  OrderRes,
  RunUp,
  SideHeartbeatReq,
  SideHeartbeatRes,
  SideLoad,
} from '../types/peer_messages.js';
import type {RunServerChannel} from '../types/transport.js';
import type {
  CallEvent,
  EngineEvent,
  EngineReport,
  EngineRunInfo,
  ServiceReport,
} from '../types/upstream.js';

/** Any message to `runs`. */
export type RunsMessage = RunsRequest | RunsEvent;

/** Requests from other services to `runs`. */
export type RunsRequest =
  | {
      readonly kind: 'offer';
      readonly req: OfferReq;
      readonly reply: (res: OfferRes) => void;
    }
  | {
      readonly kind: 'abandon';
      readonly req: AbandonReq;
      readonly reply: (res: AbandonRes) => void;
    }
  | {
      readonly kind: 'locate';
      readonly req: LocateReq;
      readonly reply: (res: LocateRes) => void;
    }
  | {
      readonly kind: 'heartbeat';
      readonly req: SideHeartbeatReq;
      readonly reply: (res: SideHeartbeatRes) => void;
    }
  | {
      readonly kind: 'order';
      readonly req: OrderReq;
      readonly reply: (res: OrderRes) => void;
    }
  /** A peer opened a run's channel. */
  | {readonly kind: 'channel'; readonly channel: RunServerChannel}
  /** The newest accepted configuration. */
  | {readonly kind: 'config'; readonly config: NumberedDeclarations}
  /**
   * Stops accepting offers. Replies once no run is active and no outcome waits
   * for its owner.
   */
  | {readonly kind: 'drain'; readonly reply: () => void}
  | {readonly kind: 'status'; readonly reply: (status: SideStatus) => void};

/** Messages that `runs` sends to itself from timers, streams and channels. */
export type RunsEvent =
  | {readonly kind: 'frame'; readonly channelId: number; readonly frame: RunUp}
  /** `clean`: the other end closed the channel; the connection did not break. */
  | {
      readonly kind: 'channel-closed';
      readonly channelId: number;
      readonly clean: boolean;
    }
  /** The channel can accept another chunk. */
  | {readonly kind: 'channel-ready'; readonly channelId: number}
  /** An event of a run's upstream stream. */
  | {
      readonly kind: 'upstream';
      readonly dispatchId: DispatchId;
      readonly streamGeneration: number;
      readonly event: UpstreamEvent;
    }
  /** A timer of a run has fired. */
  | {
      readonly kind: 'due';
      readonly dispatchId: DispatchId;
      readonly timer: 'lapse' | 'deadline' | 'prompt-gap' | 'late-call';
    }
  /** The delay before a broken engine stream is resumed has passed. */
  | {
      readonly kind: 'resume-due';
      readonly dispatchId: DispatchId;
      readonly streamGeneration: number;
    }
  /** Time for heartbeats, sweeps and gauges. */
  | {readonly kind: 'tick'}
  /** Time to request the engine's list of runs. */
  | {readonly kind: 'audit'}
  /** The engine's list of runs that was requested at `sentAt`. */
  | {
      readonly kind: 'listed';
      readonly sentAt: number;
      readonly outcome: Either<OnyxError, readonly EngineRunInfo[]>;
    }
  /** Time to request the upstream's load report. */
  | {readonly kind: 'report'}
  /** Time to read the highest fencing number. */
  | {readonly kind: 'fence-due'}
  /** The upstream's load report. */
  | {
      readonly kind: 'reported';
      readonly outcome: Either<OnyxError, UpstreamReport>;
    }
  /** The engine answered a cancel of this run. */
  | {
      readonly kind: 'freed';
      readonly dispatchId: DispatchId;
      readonly outcome: Either<OnyxError, void>;
    }
  /** The highest fencing number as read from the lease. */
  | {
      readonly kind: 'fence-read';
      readonly outcome: Either<OnyxError, FencingNumber>;
    }
  /** The engine's response to an order. */
  | {
      readonly kind: 'order-done';
      readonly orderId: string;
      readonly outcome: Either<OnyxError, void>;
    };

/** An event of an upstream's stream; from `stream` when the stream ended. */
export type UpstreamEvent =
  | {readonly from: 'engine'; readonly event: EngineEvent}
  | {readonly from: 'service'; readonly event: CallEvent}
  | {readonly from: 'stream'; readonly error: OnyxError};

/** A load report of either kind of upstream. */
export type UpstreamReport =
  | {readonly kind: 'engine'; readonly report: EngineReport}
  | {readonly kind: 'service'; readonly report: ServiceReport};

/** State of a side, as shown to operators and checked by tests. */
export interface SideStatus {
  readonly incarnation: string;
  /** The side is draining and accepts no new offers. */
  readonly leaving: boolean;
  /** The upstream reports and holds no runs of an earlier incarnation. */
  readonly upstreamUp: boolean;
  readonly load: SideLoad;
  /** Engine memory reserved for runs, in tokens. */
  readonly reservedTokens: number;
  readonly runs: readonly SideRunStatus[];
  /** Number of ids that must not run again. */
  readonly tombstones: number;
  /** Number of open channels. */
  readonly channels: number;
}

/** State of one run, as shown to operators. */
export interface SideRunStatus {
  readonly dispatchId: DispatchId;
  readonly state: string;
  /** The entry that owns the run. */
  readonly owner: string;
}

/** Adds the side's services to the kernel's message types. */
declare module '../types/kernel.js' {
  interface ServiceMessages {
    runs: RunsMessage;
    /** Takes no messages. */
    peers: never;
  }
}
