/**
 * Splits a byte stream into lines. A line may span any number of chunks.
 */

const NEWLINE = 0x0a;

/** Splits chunks into lines and buffers an incomplete last line. */
export interface LineSplitter {
  /** Calls `onLine` for each completed line, without its newline. */
  push(chunk: Uint8Array, onLine: (line: string) => void): void;
}

/**
 * Creates a splitter. Its `push` throws when a line exceeds `maxBytes`, so that
 * a faulty sender cannot exhaust the memory.
 */
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
