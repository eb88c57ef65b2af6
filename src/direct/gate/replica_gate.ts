/**
 * Decides whether a replica may get a request now, by what the replica stated in
 * its answers: that it is shutting down, that it wants no requests for a while,
 * or how many it takes from all entries together. A replica in a failure domain
 * that an operator has evacuated gets none.
 *
 * Whatever is sent to a replica asks first, once when the replica is selected and
 * once more when the request is sent, since it may have waited in between.
 */
import type {Cancel, Clock, Log, Random} from '../../types/runtime.js';
import type {ReplicaLimits} from '../limits/replica_limits.js';
import {MAX_RETRY_MS} from '../limits/permit_ledger.js';
import {MIN_RATE_PER_S} from '../limits/home_grants.js';
import type {RequestPermits} from '../limits/request_permits.js';
import type {ReplicaNotices} from './replica_statements.js';
import {createDepartures} from './departures.js';
import type {Evacuations} from './evacuations.js';
import {createPauses} from './pauses.js';
import type {RequestAnswer} from './pauses.js';

/**
 * Time in milliseconds after which the successor of a replica that is shutting
 * down may be known: about one heartbeat of a replica.
 */
const SUCCESSOR_MS = 1_000;
/**
 * Time in milliseconds after which a rejected caller may try again while its
 * service has replicas in evacuated domains only. When an evacuation ends is
 * not known; an operator needs seconds to end one.
 */
const EVACUATED_RETRY_MS = 2_000;

/** Why a replica may not get a request. */
export type ClosedCause =
  'leaving' | 'paused' | 'limited' | 'cold' | 'evacuated';

/** Why a request is withdrawn while its connection is being opened. */
export type WithdrawalCause = Extract<ClosedCause, 'paused' | 'evacuated'>;

export type GateAnswer =
  | {readonly kind: 'open'}
  /** The request may go there if no replica is open. */
  | {readonly kind: 'last-resort'; readonly cause: ClosedCause}
  | {
      readonly kind: 'closed';
      readonly cause: ClosedCause;
      /**
       * Time until the replica, or its successor, may get the request, in
       * milliseconds.
       */
      readonly waitMs: number;
    };

/** What the gate needs to know of a request. */
export interface GateRequest {
  /** Time of arrival on this process's clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Smaller is more urgent. */
  readonly urgency: number;
  /** Whether it may not be repeated once a replica may have run it. */
  readonly isOnce: boolean;
  /** Whether it may be sent to another replica if this one turns it away. */
  readonly hasRetry: boolean;
}

/** What a dispatch's log line tells of the chosen replica. */
export interface DispatchNotices {
  /** Time in milliseconds since the replica stated that it shuts down. */
  readonly leavingForMs: number | undefined;
  /** Time left of the pause that the replica asked for, in milliseconds. */
  readonly pauseLeftMs: number | undefined;
}

export interface ReplicaGate {
  /** Takes in what any answer of the replica states. */
  stated(replicaId: string, notices: ReplicaNotices): void;
  /** Takes in that a request was answered, and what the answer states. */
  answered(
    replicaId: string,
    answer: Omit<RequestAnswer, 'asksForPause'>,
    notices: ReplicaNotices,
  ): void;
  /** Whether no known statement closes any replica. */
  isOpenToAll(): boolean;
  ask(replicaId: string, req: GateRequest): GateAnswer;
  /**
   * Asks again for a request that is about to be sent, with its permits taken:
   * the replica may have stated something since the choice.
   */
  maySend(replicaId: string, req: GateRequest): boolean;
  /** Records that a request is sent to the replica. */
  sent(replicaId: string): void;
  /**
   * Calls `onClosed` when the replica asks for a pause, and when its failure
   * domain is evacuated, until cancelled.
   */
  watchClosing(
    replicaId: string,
    onClosed: (cause: WithdrawalCause) => void,
  ): Cancel;
  /** Whether the replica is in a failure domain that is evacuated. */
  isEvacuated(replicaId: string): boolean;
  /** Whether the replica stated that it is shutting down. */
  isLeaving(replicaId: string): boolean;
  dispatchNotices(replicaId: string): DispatchNotices;
  /**
   * What was stated under the id of one start may be of another, later one,
   * because the record of the replica was outdated.
   */
  moveDeparture(fromId: string, toId: string): void;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas that stated that they shut down. */
  leavingCount(): number;
  /** Number of replicas in a pause, or not recovered from one. */
  pausedCount(): number;
}

export interface ReplicaGateOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Pick<Random, 'next'>;
  readonly limits: Pick<ReplicaLimits, 'limitOf' | 'count'>;
  readonly permits: Pick<RequestPermits, 'waitMs'>;
  /** Whether only its coldness limits the replica. @default never */
  isCold?(replicaId: string): boolean;
  /** How long a replica that is shutting down still serves, in milliseconds. */
  readonly leavingMs: number;
  /** @default no domain is ever evacuated */
  readonly evacuations?: Pick<
    Evacuations,
    'isEvacuated' | 'sent' | 'watchBegan' | 'count'
  >;
}

const OPEN: GateAnswer = {kind: 'open'};

export function createReplicaGate(options: ReplicaGateOptions): ReplicaGate {
  const {limits, permits, evacuations} = options;
  const departures = createDepartures(options);
  const watchers = new Map<string, Set<(cause: WithdrawalCause) => void>>();
  const notifyClosed = (replicaId: string, cause: WithdrawalCause): void => {
    for (const onClosed of [...(watchers.get(replicaId) ?? [])]) {
      onClosed(cause);
    }
  };
  const pauses = createPauses({
    ...options,
    onPaused: replicaId => notifyClosed(replicaId, 'paused'),
  });
  const isEvacuated = (replicaId: string): boolean =>
    evacuations?.isEvacuated(replicaId) ?? false;
  evacuations?.watchBegan(() => {
    for (const replicaId of [...watchers.keys()].filter(isEvacuated)) {
      notifyClosed(replicaId, 'evacuated');
    }
  });

  const stated: ReplicaGate['stated'] = (replicaId, {leaving, pause}) => {
    departures.stated(replicaId, leaving);
    pauses.stated(replicaId, pause);
  };
  /** By its failure domain, and by what the replica stated about itself. */
  const askNotices = (
    replicaId: string,
    {arrivedAt, hasRetry}: GateRequest,
  ): GateAnswer => {
    if (isEvacuated(replicaId)) {
      return {kind: 'closed', cause: 'evacuated', waitMs: EVACUATED_RETRY_MS};
    }
    const isLeaving = departures.isLeaving(replicaId);
    if (isLeaving && !departures.stillServes(replicaId, arrivedAt)) {
      return {kind: 'closed', cause: 'leaving', waitMs: SUCCESSOR_MS};
    }
    const pause = pauses.ask(replicaId);
    if (pause.kind === 'closed') return {...pause, cause: 'paused'};
    if (isLeaving) return {kind: 'last-resort', cause: 'leaving'};
    // Not risked where another replica takes it: turned away, it is lost.
    return pause.kind === 'untested' && !hasRetry
      ? {kind: 'last-resort', cause: 'paused'}
      : OPEN;
  };
  /** Time until a permit may be available, in milliseconds; 0 for now. */
  const permitWaitMs = (
    replicaId: string,
    {urgency, isOnce}: GateRequest,
  ): number => {
    // At a lower limit, permits are granted only to find out whether it still
    // holds. A request that may run only once is not risked for that.
    const limit = limits.limitOf(replicaId);
    const isNearZero = limit !== undefined && limit < MIN_RATE_PER_S;
    if (isNearZero && isOnce) return MAX_RETRY_MS;
    return permits.waitMs(replicaId, urgency);
  };

  const limitCauseOf = (replicaId: string): ClosedCause =>
    options.isCold?.(replicaId) === true ? 'cold' : 'limited';

  return {
    stated,
    answered: (replicaId, answer, notices) => {
      const {pause} = notices;
      const asksForPause = pause.kind === 'pause' && pause.durationMs > 0;
      pauses.answered(replicaId, {...answer, asksForPause});
      stated(replicaId, notices);
    },
    isOpenToAll: () =>
      departures.count() + pauses.count() + limits.count() === 0 &&
      (evacuations?.count() ?? 0) === 0,
    ask: (replicaId, req) => {
      const byNotices = askNotices(replicaId, req);
      if (byNotices.kind === 'closed') return byNotices;
      const waitMs = permitWaitMs(replicaId, req);
      return waitMs > 0
        ? {kind: 'closed', cause: limitCauseOf(replicaId), waitMs}
        : byNotices;
    },
    maySend: (replicaId, req) => askNotices(replicaId, req).kind !== 'closed',
    sent: replicaId => {
      pauses.sent(replicaId);
      evacuations?.sent(replicaId);
    },
    watchClosing: (replicaId, onClosed) => {
      const known = watchers.get(replicaId) ?? new Set();
      watchers.set(replicaId, known.add(onClosed));
      return () => {
        known.delete(onClosed);
        if (known.size === 0) watchers.delete(replicaId);
      };
    },
    isEvacuated,
    isLeaving: departures.isLeaving,
    dispatchNotices: replicaId => {
      const leavingForMs = departures.leavingForMs(replicaId);
      const pauseLeftMs = pauses.leftMs(replicaId);
      return {
        leavingForMs: leavingForMs && Math.round(leavingForMs),
        pauseLeftMs: pauseLeftMs === 0 ? undefined : Math.round(pauseLeftMs),
      };
    },
    moveDeparture: departures.move,
    forget: replicaId => {
      departures.forget(replicaId);
      pauses.forget(replicaId);
    },
    leavingCount: departures.count,
    pausedCount: pauses.count,
  };
}
