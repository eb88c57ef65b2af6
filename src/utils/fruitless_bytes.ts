/**
 * Bounds the bytes that a server sends without bringing its answer any further,
 * such as a header or an event that never ends. Silence is not counted: a sound
 * server may pause, and other limits apply to that.
 */

/**
 * Longest time between two receptions that counts as sending, in milliseconds. A
 * longer one is a pause and does not count, as between comments that keep a
 * connection alive.
 */
const MAX_COUNTED_GAP_MS = 100;

/** Largest amounts without progress. */
export interface FruitlessLimits {
  readonly maxBytes: number;
  /** Time of sending, in milliseconds. */
  readonly maxMs: number;
}

export interface FruitlessBytes {
  /** Counts received bytes; true if a limit is exceeded. */
  received(bytes: number, now: number): boolean;
  /**
   * The answer has come further. `allowedBytes` of the bytes received so far are
   * no longer counted. @default all of them
   */
  progressed(allowedBytes?: number): void;
}

export function createFruitlessBytes(limits: FruitlessLimits): FruitlessBytes {
  let bytes = 0;
  let ms = 0;
  let receivedAt = Infinity;
  return {
    received: (count, now) => {
      bytes += count;
      const gapMs = Math.max(0, now - receivedAt);
      if (gapMs <= MAX_COUNTED_GAP_MS) ms += gapMs;
      receivedAt = now;
      return bytes > limits.maxBytes || ms > limits.maxMs;
    },
    progressed: (allowedBytes = Infinity) => {
      bytes = Math.max(0, bytes - allowedBytes);
      ms = 0;
    },
  };
}
