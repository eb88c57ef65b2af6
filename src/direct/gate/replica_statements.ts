/** What replicas state about themselves in their answers to any request. */
import type {StatedCold} from '../cold/cold_types.js';

/**
 * What an answer states about the replica's request limit: the requests a
 * second that the replica takes from all entries together.
 */
export type StatedLimit =
  | {readonly kind: 'none'}
  | {readonly kind: 'limited'; readonly perSecond: number}
  | {readonly kind: 'unreadable'; readonly text: string};

/** Whether an answer states that its replica is shutting down. */
export type StatedLeaving =
  | {readonly kind: 'none'}
  | {readonly kind: 'leaving'}
  | {readonly kind: 'unreadable'; readonly text: string};

/**
 * Whether an answer asks for a pause, in which the replica wants no requests of
 * the entry that it answers.
 */
export type StatedPause =
  | {readonly kind: 'none'}
  | {readonly kind: 'pause'; readonly durationMs: number}
  | {readonly kind: 'unreadable'; readonly text: string};

/** What a replica states about itself in the answer to any request. */
export interface ReplicaNotices {
  readonly leaving: StatedLeaving;
  readonly pause: StatedPause;
  /** @default nothing is stated */
  readonly cold?: StatedCold;
}

/**
 * Calls `onNotices` with the notices in each answer to an order or a query of
 * the state, and with the IP:PORT of the replica that was asked.
 */
export type WatchNotices = (
  onNotices: (address: string, notices: ReplicaNotices) => void,
) => void;
