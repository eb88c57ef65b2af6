/** Reads the memory of this process, and collects what it no longer uses. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Memory of a process, in bytes. */
export interface MemoryReading {
  readonly resident: number;
  readonly heapUsed: number;
  readonly heapTotal: number;
  /** Buffers, including those that are not collected yet. */
  readonly arrayBuffers: number;
  /** Memory outside the heap that its objects hold, with `arrayBuffers`. */
  readonly external: number;
}

/** `minor` collects only what was allocated lately, in a few milliseconds. */
export type Collection = 'minor' | 'major';

export interface ProcessMemory {
  /** Undefined where it cannot be read, as without a free descriptor. */
  read(): MemoryReading | undefined;
  collect(kind: Collection): void;
}

/** Without options it collects all. */
type CollectGarbage = (options?: {readonly type: 'minor'}) => void;

/** The memory of this process. */
export function createProcessMemory(): ProcessMemory {
  let collectGarbage: CollectGarbage | undefined;
  return {
    read: () => {
      try {
        const {rss, ...rest} = process.memoryUsage();
        return {resident: rss, ...rest};
      } catch {
        return undefined;
      }
    },
    collect: kind => {
      collectGarbage ??= loadCollector();
      if (kind === 'minor') collectGarbage({type: 'minor'});
      else collectGarbage();
    },
  };
}

/** Contexts that are created while the flag is set have the function `gc`. */
function loadCollector(): CollectGarbage {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as CollectGarbage;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
