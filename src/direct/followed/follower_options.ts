/** What a follower of a collection needs, and whom it notifies. */
import type {Clock, Random} from '../../types/runtime.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import type {Collection, StoreFault} from './collection.js';

/** What to follow and whom to notify. */
export interface CollectionFollowerOptions<T> extends StepOwner {
  readonly collection: Collection<T>;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * How long the next watch waits for a change, in milliseconds. It does not
   * wait if the last watch failed.
   */
  waitMs(): number;
  /**
   * Upper bound of the base of the pause after a failed call, in milliseconds.
   * The pause itself is up to one and a half times as long.
   */
  maxRetryMs(): number;
  /**
   * Pause after a watch that brought changes, in milliseconds. A watch returns
   * at the first change. Without the pause, seventy changes within a few seconds
   * would cost seventy calls.
   */
  readonly changePauseMs: number;
  /**
   * Called with all listed items. `isPartial` is true where the answer was not
   * valid JSON; an item that is missing may then still exist. An item whose own
   * content cannot be decoded is left out too, but does not set `isPartial`.
   * `sentAt` is when the list was sent, on this process's clock.
   */
  onList(
    items: ReadonlyMap<string, T>,
    isPartial: boolean,
    sentAt: number,
  ): void;
  /**
   * Called with the items that changed, as shown by a watch that was sent at
   * `sentAt`. An item is undefined if it was removed or if its content cannot
   * be decoded.
   */
  onChanges(items: ReadonlyMap<string, T | undefined>, sentAt: number): void;
  /**
   * Called after the answer to a list or a watch that was sent at `sentAt`, on
   * this process's clock. The items that were passed to `onList` and
   * `onChanges` include every write that the store acknowledged before
   * `sentAt`, except for items that could not be decoded. Not called for an
   * answer that is from an older era or that a newer answer made outdated, nor
   * for a watch whose answer shows that its position is from before a restore.
   */
  onConfirmed(sentAt: number): void;
  /**
   * Called when an answer shows that the store was restored from an older copy.
   * The restored collection is listed.
   */
  onRestored(): void;
  /**
   * Closes the idle connections to the store, which may have failed silently
   * together with one whose answer is late. @default nothing is closed
   */
  closeIdle?(): void;
  /**
   * Called with the fault of each list or watch that failed. An answer from an
   * older era is not used either, but it is not reported here.
   */
  onFault(fault: StoreFault): void;
}
