/**
 * Turns an answer's bytes into text chunk by chunk. A character cut by a chunk
 * border is held back with its whole chunk until the rest is there.
 */

const CONTINUATION_MASK = 0xc0;
const CONTINUATION = 0x80;
const MAX_CHARACTER_BYTES = 4;

export interface ChunkTextDecoder {
  /** Text that is whole now; empty while a chunk is held back. */
  decode(data: Uint8Array): string;
  /** What was held back to the end. */
  finish(): string;
}

/** Starts an answer. */
export function createChunkTextDecoder(): ChunkTextDecoder {
  const decoder = new TextDecoder();
  let held: readonly Uint8Array[] = [];

  const flush = () => {
    const text = decoder.decode(Buffer.concat(held));
    held = [];
    return text;
  };

  return {
    decode: data => {
      held = [...held, data];
      return endsInsideCharacter(data) ? '' : flush();
    },
    finish: flush,
  };
}

/** True when the last character of the bytes lacks some of its own. */
export function endsInsideCharacter(bytes: Uint8Array): boolean {
  const from = Math.max(0, bytes.length - MAX_CHARACTER_BYTES);
  for (let at = bytes.length - 1; at >= from; at -= 1) {
    const byte = bytes[at] ?? 0;
    if ((byte & CONTINUATION_MASK) === CONTINUATION) continue;
    return at + characterBytes(byte) > bytes.length;
  }
  return false;
}

function characterBytes(lead: number): number {
  if (lead >= 0xf0) return 4;
  if (lead >= 0xe0) return 3;
  return lead >= 0xc0 ? 2 : 1;
}
