/**
 * Collects the frames of a prompt. A run starts only when its prompt is
 * complete. Lost, duplicated or reordered frames therefore never reach an
 * upstream, and a run with an incomplete prompt is known not to have executed.
 */

/** The frames of one prompt. */
export interface PromptBuffer {
  /** Stores a frame; drops duplicates. */
  put(seq: number, data: Uint8Array): void;
  /** Sets the total number of frames. */
  setFrameCount(count: number): void;
  /** Whether the total number of frames is known. */
  hasFrameCount(): boolean;
  /** Whether all frames have arrived. */
  isComplete(): boolean;
  /** Removes the frames and returns them in order. */
  take(): AsyncIterable<Uint8Array>;
  /** Drops all frames. */
  clear(): void;
}

/** Creates an empty buffer. */
export function createPromptBuffer(): PromptBuffer {
  const frames = new Map<number, Uint8Array>();
  let count: number | undefined;

  async function* inOrder(
    orderedFrames: readonly Uint8Array[],
  ): AsyncIterable<Uint8Array> {
    yield* orderedFrames;
  }

  const isComplete = () => {
    if (count === undefined || frames.size < count) return false;
    for (let seq = 0; seq < count; seq++) {
      if (!frames.has(seq)) return false;
    }
    return true;
  };

  return {
    put: (seq, data) => {
      if (!frames.has(seq)) frames.set(seq, data);
    },
    setFrameCount: total => {
      count ??= total;
    },
    hasFrameCount: () => count !== undefined,
    isComplete,
    take: () => {
      const orderedFrames: Uint8Array[] = [];
      for (let seq = 0; seq < (count ?? 0); seq++) {
        const frame = frames.get(seq);
        if (frame !== undefined) orderedFrames.push(frame);
      }
      frames.clear();
      return inOrder(orderedFrames);
    },
    clear: () => frames.clear(),
  };
}
