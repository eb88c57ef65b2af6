/**
 * Collects a prompt's frames. A run starts only when its prompt is whole: a
 * frame lost, doubled or out of order can then never reach an upstream, and a
 * prompt that does not come whole is known not to have run.
 */

export interface PromptBuffer {
  /** Copies of a frame are dropped. */
  put(seq: number, data: Uint8Array): void;
  /** The number of frames is known. */
  setFrameCount(count: number): void;
  hasFrameCount(): boolean;
  /** All frames are here. */
  isComplete(): boolean;
  /** Hands the frames over, in order, and keeps none. */
  take(): AsyncIterable<Uint8Array>;
  /** Drops all frames. */
  clear(): void;
}

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
