/**
 * Pauses that replicas asked this entry for. A replica that turns a request away
 * may state for how long it wants no further request of this entry. Of several
 * pauses, the one that ends last counts.
 *
 * When a pause ends, the requests that were held back would all come at once
 * and be turned away again. So one request goes first, and each answer to a
 * request since lets two more go, until enough were answered.
 */
import type {Clock, Log, Random} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {StatedPause} from './replica_statements.js';

/**
 * Longest pause in milliseconds; a longer one counts as this. After it, a single
 * request finds out whether the replica still wants none.
 */
const MAX_PAUSE_MS = 3_600_000;
/**
 * A pause lasts longer by up to this share, at random, so that entries whose
 * pauses end at one moment do not all come back at it.
 */
const END_SPREAD = 0.1;
/** Requests that one answer after a pause lets go. */
const SENDS_PER_ANSWER = 2;
/** Answers after which the replica gets requests as before. */
const ANSWERS_TO_RECOVER = 8;
/** A request without an answer for this long, in ms, is followed by another. */
const ANSWER_TIMEOUT_MS = 1_000;
/** Time in milliseconds after which the next request may go, if none may now. */
const NEXT_SEND_MS = 50;
/**
 * Pause in milliseconds after a replica has turned a request away again without
 * asking for one.
 */
const TURNED_AWAY_AGAIN_MS = 500;

/** Whether a replica may get a request, by its pause alone. */
export type PauseAnswer =
  | {readonly kind: 'open'}
  /** The next request finds out whether the replica takes any. */
  | {readonly kind: 'untested'}
  | {readonly kind: 'closed'; readonly waitMs: number};

/** A replica's answer to a request. */
export interface RequestAnswer {
  /** When the request was sent, on this process's clock, in milliseconds. */
  readonly sentAt: number;
  /** Whether the replica turned it away as not run. */
  readonly isTurnedAway: boolean;
  /** Whether the answer asks for a pause, which `stated` takes in. */
  readonly asksForPause: boolean;
}

export interface Pauses {
  /** Takes in what an answer of the replica states. */
  stated(replicaId: string, pause: StatedPause): void;
  /** Takes in that a request was answered. */
  answered(replicaId: string, answer: RequestAnswer): void;
  ask(replicaId: string): PauseAnswer;
  /** Records that a request is sent to the replica. */
  sent(replicaId: string): void;
  /** Time left of the replica's pause, in milliseconds; 0 without one. */
  leftMs(replicaId: string): number;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas in a pause, or not recovered from one. */
  count(): number;
}

export interface PausesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Pick<Random, 'next'>;
  /** Called when a pause begins or lasts longer. */
  onPaused(replicaId: string): void;
}

interface Pause {
  /** On this process's clock, in milliseconds. */
  readonly beganAt: number;
  endsAt: number;
  /** Requests that may be sent now, after the end. */
  sendsLeft: number;
  /** Requests that were answered after the end. */
  answers: number;
  /** Requests that were turned away after the end. */
  turnedAway: number;
  lastSentAt: number;
}

const OPEN: PauseAnswer = {kind: 'open'};
const UNTESTED: PauseAnswer = {kind: 'untested'};

export function createPauses(options: PausesOptions): Pauses {
  const {clock, log, random} = options;
  const pauses = new Map<string, Pause>();
  const leftMs = (replicaId: string) =>
    Math.max(0, (pauses.get(replicaId)?.endsAt ?? 0) - clock.now());

  const extend = (replicaId: string, durationMs: number): void => {
    const now = clock.now();
    const known = pauses.get(replicaId);
    pauses.set(replicaId, {
      beganAt: known?.beganAt ?? now,
      endsAt: now + durationMs * (1 + END_SPREAD * random.next()),
      sendsLeft: 1,
      answers: 0,
      turnedAway: known?.turnedAway ?? 0,
      lastSentAt: now,
    });
    options.onPaused(replicaId);
  };
  const begin = (replicaId: string, statedMs: number): void => {
    const forMs = Math.min(MAX_PAUSE_MS, statedMs);
    const beforeMs = leftMs(replicaId);
    if (forMs <= beforeMs) return;
    extend(replicaId, forMs);
    log(DIRECT_EVENTS.replicaPaused, {
      replica: replicaId,
      forMs: Math.round(forMs),
      beforeMs: Math.round(beforeMs),
      statedMs: statedMs > MAX_PAUSE_MS ? statedMs : undefined,
    });
  };
  const recover = (replicaId: string, pause: Pause): void => {
    pause.answers++;
    pause.sendsLeft += SENDS_PER_ANSWER;
    if (pause.answers < ANSWERS_TO_RECOVER) return;
    pauses.delete(replicaId);
    log(DIRECT_EVENTS.replicaResumed, {
      replica: replicaId,
      afterMs: Math.round(clock.now() - pause.beganAt),
      turnedAway: pause.turnedAway,
    });
  };

  return {
    stated: (replicaId, pause) => {
      switch (pause.kind) {
        case 'none':
          return;
        case 'pause':
          return begin(replicaId, pause.durationMs);
        case 'unreadable':
          return log(DIRECT_EVENTS.noticeUnreadable, {
            replica: replicaId,
            notice: 'pause',
            text: pause.text,
          });
      }
    },
    answered: (replicaId, {sentAt, isTurnedAway, asksForPause}) => {
      const pause = pauses.get(replicaId);
      if (pause === undefined || sentAt < pause.endsAt) return;
      if (!isTurnedAway) return recover(replicaId, pause);
      pause.turnedAway++;
      if (!asksForPause) extend(replicaId, TURNED_AWAY_AGAIN_MS);
    },
    ask: replicaId => {
      const pause = pauses.get(replicaId);
      if (pause === undefined) return OPEN;
      const waitMs = pause.endsAt - clock.now();
      if (waitMs > 0) return {kind: 'closed', waitMs};
      const isSilent = clock.now() - pause.lastSentAt >= ANSWER_TIMEOUT_MS;
      if (pause.sendsLeft <= 0 && !isSilent) {
        return {kind: 'closed', waitMs: NEXT_SEND_MS};
      }
      return pause.answers === 0 ? UNTESTED : OPEN;
    },
    sent: replicaId => {
      const pause = pauses.get(replicaId);
      if (pause === undefined) return;
      pause.sendsLeft = Math.max(0, pause.sendsLeft - 1);
      pause.lastSentAt = clock.now();
    },
    leftMs,
    forget: replicaId => void pauses.delete(replicaId),
    count: () => pauses.size,
  };
}
