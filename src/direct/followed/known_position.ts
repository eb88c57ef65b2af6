/**
 * The position in the store's history up to which a collection is known, and
 * where an answer stands relative to it. Answers may overtake each other, and
 * the store may be restored from an older copy; see `store_position.ts`.
 */
import type {Clock} from '../../types/runtime.js';
import {comparePositions, isOlderEra} from '../store_position.js';
import type {StoreEra, StorePosition} from '../store_position.js';

/**
 * Where an answer stands relative to the position that is known. An era is the
 * time between two restores of the store.
 */
export type AnswerOrder =
  /** The answer is as new as the known position, or newer. */
  | 'current'
  /**
   * The answer is older than the known position, because a call that was sent
   * earlier was answered later.
   */
  | 'overtaken'
  /** The store was restored from an older copy since the known position. */
  | 'restored'
  /** The answer is from an earlier era than one whose position was taken over. */
  | 'older era';

export interface KnownPosition {
  /** Undefined before the first answer, and after it was given up. */
  current(): StorePosition | undefined;
  /**
   * Compares an answer's position with the known one. `sentAt` is when the call
   * was sent.
   */
  classify(answerPosition: StorePosition, sentAt: number): AnswerOrder;
  /** Takes over the position of an answer. */
  advance(answerPosition: StorePosition): void;
  /** The collection has to be listed to get a position again. */
  giveUp(): void;
  /** Whether the known position is from an older era than this one. */
  isBefore(era: StoreEra): boolean;
}

export function createKnownPosition(clock: Clock): KnownPosition {
  let position: StorePosition | undefined;
  /** The newest position, also after it was given up. */
  let newest: StorePosition | undefined;
  /** Time on this process's clock at which the position was set. */
  let positionSetAt = Number.NEGATIVE_INFINITY;
  /** The newest era of the answers whose position was taken over. */
  let era: StoreEra;

  return {
    current: () => position,
    classify: (answerPosition, sentAt) => {
      if (isOlderEra(answerPosition.era, era)) return 'older era';
      // A call that was sent before the position was given up may be answered
      // later, and must not undo what that position included.
      const isOvertaken =
        position === undefined &&
        newest !== undefined &&
        sentAt <= positionSetAt &&
        comparePositions(answerPosition, newest) === 'older';
      if (isOvertaken) return 'overtaken';
      if (position === undefined) return 'current';
      switch (comparePositions(answerPosition, position)) {
        case 'newer era':
          return 'restored';
        case 'same or newer':
          return 'current';
        // If the call was sent after the known position was set, its answer
        // should have been as new as that. The history itself went back, so the
        // store was restored.
        case 'older':
          return sentAt > positionSetAt ? 'restored' : 'overtaken';
      }
    },
    advance: answerPosition => {
      position = answerPosition;
      newest = answerPosition;
      positionSetAt = clock.now();
      era = answerPosition.era ?? era;
    },
    giveUp: () => {
      position = undefined;
    },
    isBefore: storeEra =>
      position !== undefined && isOlderEra(position.era, storeEra),
  };
}
