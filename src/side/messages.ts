/**
 * Messages of the services of a side process. `runs` owns the upstream's
 * capacity and the runs on it; `peers` owns the listening socket.
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

/** To `runs`. */
export type RunsMessage = RunsRequest | RunsEvent;

/** What other services ask of `runs`. */
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
  /** Newest accepted declarations. */
  | {readonly kind: 'config'; readonly config: NumberedDeclarations}
  /** No new offers; replies when nothing runs or waits for its owner. */
  | {readonly kind: 'drain'; readonly reply: () => void}
  | {readonly kind: 'status'; readonly reply: (status: SideStatus) => void};

/** What `runs` sends itself from its timers, streams and channels. */
export type RunsEvent =
  | {readonly kind: 'frame'; readonly channelId: number; readonly frame: RunUp}
  /** `clean`: the other end closed it, rather than the connection broke. */
  | {
      readonly kind: 'channel-closed';
      readonly channelId: number;
      readonly clean: boolean;
    }
  /** The channel can take another frame. */
  | {readonly kind: 'channel-ready'; readonly channelId: number}
  | {
      readonly kind: 'upstream';
      readonly dispatchId: DispatchId;
      readonly streamGeneration: number;
      readonly event: UpstreamEvent;
    }
  | {
      readonly kind: 'due';
      readonly dispatchId: DispatchId;
      readonly timer: 'lapse' | 'deadline' | 'prompt-gap' | 'late-call';
    }
  | {
      readonly kind: 'resume-due';
      readonly dispatchId: DispatchId;
      readonly streamGeneration: number;
    }
  | {readonly kind: 'tick'}
  | {readonly kind: 'audit'}
  | {
      readonly kind: 'listed';
      readonly sentAt: number;
      readonly outcome: Either<OnyxError, readonly EngineRunInfo[]>;
    }
  | {readonly kind: 'report'}
  | {readonly kind: 'fence-due'}
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
  | {
      readonly kind: 'fence-read';
      readonly outcome: Either<OnyxError, FencingNumber>;
    }
  | {
      readonly kind: 'order-done';
      readonly orderId: string;
      readonly outcome: Either<OnyxError, void>;
    };

/** Events of an upstream's stream; `broken` when it ended with an error. */
export type UpstreamEvent =
  | {readonly from: 'engine'; readonly event: EngineEvent}
  | {readonly from: 'service'; readonly event: CallEvent}
  | {readonly from: 'stream'; readonly error: OnyxError};

export type UpstreamReport =
  | {readonly kind: 'engine'; readonly report: EngineReport}
  | {readonly kind: 'service'; readonly report: ServiceReport};

/** State of a side, as shown to operators and checked by tests. */
export interface SideStatus {
  readonly incarnation: string;
  readonly leaving: boolean;
  /** Its upstream answers and holds nothing of an earlier incarnation. */
  readonly upstreamUp: boolean;
  readonly load: SideLoad;
  readonly reservedTokens: number;
  readonly runs: readonly SideRunStatus[];
  readonly tombstones: number;
  readonly channels: number;
}

export interface SideRunStatus {
  readonly dispatchId: DispatchId;
  readonly state: string;
  readonly owner: string;
}

declare module '../types/kernel.js' {
  interface ServiceMessages {
    runs: RunsMessage;
    /** Takes no messages. */
    peers: never;
  }
}
