/**
 * Calls of a follower to the store. A call without an answer is overdue after a
 * time that goes by recent answers: its connection may have failed silently, and
 * another call may be answered at once. It is not given up, though: a store that
 * is slow answers each call late, and a late answer still shows everything that
 * was written before its call was sent.
 */
import {Left} from 'purify-ts/Either';
import type {Either} from 'purify-ts';
import {createAnswerTimes, unlessOverdue} from '../../stores/answer_times.js';
import type {Clock} from '../../types/runtime.js';
import {createGuard, toProcess} from '../../utils/callback_guard.js';
import type {OnError} from '../../utils/callback_guard.js';
import type {StoreFault} from './collection.js';

/**
 * Shortest time after which an answer is overdue, in milliseconds. The store
 * answers within milliseconds. A change, such as the removal of a replica, is
 * then read over a new connection in time for the limit that applies to it.
 */
const MIN_OVERDUE_MS = 500;
/** An older answer is no evidence for callers' keys any longer. */
const MAX_OVERDUE_MS = 4_000;

export interface PatientCall<T> {
  readonly step: string;
  /** How long the store itself may wait, in milliseconds. */
  readonly waitMs: number;
  send(): Promise<Either<StoreFault, T>>;
  /**
   * Called when an answer is late, though not overdue yet: another connection
   * may be quicker. @default nothing is done
   */
  onSlow?(): void;
  /** Called with an answer that was overdue. */
  onLate(value: T): void;
}

export interface PatientCalls {
  /** Resolves to the answer, or to a fault when the answer is overdue. */
  call<T>(call: PatientCall<T>): Promise<Either<StoreFault, T>>;
  /** Time of the slowest recent answer, in milliseconds; 0 without any. */
  slowestMs(): number;
}

/** `onError` takes errors in the callbacks of a call. */
export function createPatientCalls(
  clock: Clock,
  onError: OnError = toProcess,
): PatientCalls {
  const guard = createGuard(onError);
  const times = createAnswerTimes({
    clock,
    floorMs: MIN_OVERDUE_MS,
    ceilingMs: MAX_OVERDUE_MS,
  });
  let answeredAt: number | undefined;
  /** When the newest call was sent that has been answered. */
  let newestSentAt = Number.NEGATIVE_INFINITY;

  const overdueFault = (step: string, sentAt: number): StoreFault => ({
    step,
    historyGone: false,
    unreadable: false,
    unanswered: true,
    message: 'the answer is overdue',
    waitedMs: Math.round(clock.now() - sentAt),
    answeredAgoMs: answeredAt && Math.round(clock.now() - answeredAt),
    slowestMs: Math.round(times.slowestMs()),
  });

  return {
    call: async ({step, waitMs, send, onSlow, onLate}) => {
      const sentAt = clock.now();
      const limitMs = waitMs + times.limitMs();
      const sent = send();
      const cancelSlow =
        onSlow && limitMs > waitMs + MIN_OVERDUE_MS
          ? clock.after(waitMs + MIN_OVERDUE_MS, guard(step, onSlow))
          : undefined;
      const noteAnswer = (answer: Either<StoreFault, unknown>) => {
        cancelSlow?.();
        if (answer.isLeft()) return;
        answeredAt = clock.now();
        newestSentAt = Math.max(newestSentAt, sentAt);
        // A watch that a change ends early does not show how late its answer is.
        const lateMs = clock.now() - sentAt - waitMs;
        if (lateMs >= 0) times.answered(lateMs);
      };
      // The one who awaits the call sees its failure.
      void sent.then(guard(step, noteAnswer), () => cancelSlow?.());
      const takeLate = guard(step, (late: Awaited<typeof sent>) => {
        late.ifRight(onLate);
      });
      const answer = await unlessOverdue(clock, sent, limitMs, takeLate);
      const outcome = answer ?? Left(overdueFault(step, sentAt));
      return newestSentAt > sentAt
        ? outcome.mapLeft(fault => ({...fault, isSuperseded: true}))
        : outcome;
    },
    slowestMs: times.slowestMs,
  };
}
