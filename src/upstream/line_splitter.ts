/** Cuts a byte stream into lines, across the borders of its chunks. */

const NEWLINE = 0x0a;

/** Keeps the part of a line that has not ended yet. */
export interface LineSplitter {
  /** Calls `onLine` for each line that is whole now, without its newline. */
  push(chunk: Uint8Array, onLine: (line: string) => void): void;
}

/** Throws from `push` when a line grows over `maxBytes`. */
export function createLineSplitter(maxBytes: number): LineSplitter {
  let rest: Uint8Array[] = [];
  let restBytes = 0;

  const keep = (part: Uint8Array) => {
    if (part.length === 0) return;
    rest.push(part);
    restBytes += part.length;
    if (restBytes > maxBytes) throw new Error(`line over ${maxBytes} bytes`);
  };

  const takeLine = (): string => {
    const line = Buffer.concat(rest).toString('utf8');
    rest = [];
    restBytes = 0;
    return line;
  };

  return {
    push: (chunk, onLine) => {
      let from = 0;
      let at = chunk.indexOf(NEWLINE);
      while (at >= 0) {
        keep(chunk.subarray(from, at));
        onLine(takeLine());
        from = at + 1;
        at = chunk.indexOf(NEWLINE, from);
      }
      keep(chunk.subarray(from));
    },
  };
}
