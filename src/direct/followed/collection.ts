/**
 * A collection of the platform's store, as an entry reads it: its items at a
 * position in the store's history, and the changes after one.
 */
import type {Either} from 'purify-ts';
import type {LogFields} from '../../types/runtime.js';
import type {StorePosition} from '../store_position.js';

/** A call to the platform's store that gave no usable answer. */
export interface StoreFault {
  readonly step: string;
  /**
   * The store no longer has the history that was asked for; the collection has
   * to be listed again.
   */
  readonly historyGone: boolean;
  /**
   * The store answered with a value that cannot be decoded; another watch would
   * get the same value.
   */
  readonly unreadable: boolean;
  /**
   * No answer came. The connection may have failed silently, and a new one may
   * work. @default false
   */
  readonly unanswered?: boolean;
  /**
   * A call that was sent later has been answered: the store is there.
   * @default false
   */
  readonly isSuperseded?: boolean;
  readonly message: string;
  /** How long the call waited, in milliseconds. */
  readonly waitedMs?: number;
  /**
   * Time since any call was answered, in milliseconds; undefined where none was.
   */
  readonly answeredAgoMs?: number;
  /** Time that the slowest recent answer took, in milliseconds. */
  readonly slowestMs?: number;
}

/** What a log line says about a failed call. */
export function faultFields(fault: StoreFault): LogFields {
  const {step, message, waitedMs, answeredAgoMs, slowestMs} = fault;
  return {step, message, waitedMs, answeredAgoMs, slowestMs};
}

/** All items of a collection at a position in the store's history. */
export interface Listing<T> {
  readonly position: StorePosition;
  readonly items: ReadonlyMap<string, T>;
  /**
   * Part of the answer could not be decoded, so an item that is missing here
   * may still exist.
   */
  readonly isPartial: boolean;
}

/**
 * Items that changed after a position; an undefined value marks a removed item.
 */
export interface Changes<T> {
  readonly position: StorePosition;
  readonly items: ReadonlyMap<string, T | undefined>;
  /** As in `Listing`. @default false */
  readonly isPartial?: boolean;
  /**
   * Names in `items` that the answer shows only after an item that cannot be
   * read. What is shown of them may be part of that item. @default none
   */
  readonly uncertain?: ReadonlySet<string>;
  /**
   * Further names of which the answer does not show what became of them.
   * @default none
   */
  readonly unread?: ReadonlySet<string>;
  /**
   * Of a partial answer: a watch from here shows the changes that this one does
   * not. Undefined where only a list shows them.
   */
  readonly resumeAt?: StorePosition;
}

/** Objects of one kind in the platform's store. */
export interface Collection<T> {
  /** What the objects are, for logs. @default not stated */
  readonly kind?: string;
  list(): Promise<Either<StoreFault, Listing<T>>>;
  /**
   * Resolves at the first change after `from`, or after `waitMs` without a
   * change.
   */
  watch(
    from: StorePosition,
    waitMs: number,
  ): Promise<Either<StoreFault, Changes<T>>>;
  /** Reads one item; undefined if there is none or it cannot be decoded. */
  read?(name: string): Promise<Either<StoreFault, T | undefined>>;
}
