/**
 * Remembers that a wait for newer evidence ended without any. While the store is
 * away, nothing says that the next wait will end otherwise, and holding requests
 * back before they are refused only costs their callers time. Further requests
 * are therefore refused at once until the evidence is recent enough again.
 */
import type {Clock} from '../../types/runtime.js';
import type {StoreEvidence} from '../evidence.js';

/**
 * A wait that lasts this much longer than it should, in milliseconds, shows that
 * the process was held up, and says nothing about the store.
 */
const MAX_DELAY_MS = 100;

export interface VainWaitsOptions {
  readonly clock: Clock;
  readonly evidence: StoreEvidence;
  /** Evidence up to this age is recent enough, in milliseconds. */
  readonly maxAgeMs: number;
  /**
   * Waits that end before this time do not count. The first confirmation of an
   * entry that starts may be on its way.
   */
  readonly countsFrom: number;
  /** Asks for newer evidence. */
  ask(): void;
}

export interface VainWaits {
  /** Whether the newest wait was in vain and nothing has changed since. */
  isLast(): boolean;
  /**
   * Resolves to whether the evidence is recent enough: after `wait`, which takes
   * `timeoutMs` at most, or at once after a wait in vain.
   */
  unlessInVain(
    timeoutMs: number,
    wait: () => Promise<boolean>,
  ): Promise<boolean>;
}

export function createVainWaits(options: VainWaitsOptions): VainWaits {
  const {clock, evidence, maxAgeMs, countsFrom, ask} = options;
  let beganAt = Number.NEGATIVE_INFINITY;

  const isEnough = (): boolean => evidence.isYoungerThan(maxAgeMs);
  evidence.onConfirm(() => {
    if (isEnough()) beganAt = Number.NEGATIVE_INFINITY;
  });
  // After a suspension the store has to be asked before anything is known.
  const isLast = (): boolean =>
    !isEnough() && beganAt > evidence.invalidatedAt();

  return {
    isLast,
    unlessInVain: async (timeoutMs, wait) => {
      if (isLast()) {
        ask();
        return false;
      }
      const sentAt = clock.now();
      const isFresh = await wait();
      const isDelayed = clock.now() - sentAt > timeoutMs + MAX_DELAY_MS;
      if (!isFresh && !isDelayed && clock.now() >= countsFrom) beganAt = sentAt;
      return isFresh;
    },
  };
}
