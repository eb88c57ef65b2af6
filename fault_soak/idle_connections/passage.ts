/**
 * What a link saw of one connection: when it passed on each byte to the entry,
 * and when the entry's end came. They tell whether a request reached the entry
 * before it ended the connection, however late this process reads and writes.
 */

export interface Passage {
  /** When the first `bytes` had been passed on; undefined before. */
  passedAt(bytes: number): number | undefined;
  /** When the entry's end or reset was read; undefined before. */
  entryEndedAt(): number | undefined;
}

export interface NotedPassage extends Passage {
  notePassed(bytes: number): void;
  noteEnd(): void;
}

export function createPassage(): NotedPassage {
  const pieces: Array<{readonly upTo: number; readonly at: number}> = [];
  let passed = 0;
  let entryEndedAt: number | undefined;
  return {
    passedAt: bytes => pieces.find(({upTo}) => upTo >= bytes)?.at,
    entryEndedAt: () => entryEndedAt,
    notePassed: bytes => {
      passed += bytes;
      pieces.push({upTo: passed, at: performance.now()});
    },
    noteEnd: () => {
      entryEndedAt ??= performance.now();
    },
  };
}
