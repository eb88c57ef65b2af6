/**
 * Decodes the UTF-8 chunks of an answer to text. A chunk that ends in the
 * middle of a character is buffered as a whole until the next chunk completes
 * the character. Every chunk of an event stream therefore has valid text.
 */

/** Selects the upper two bits, which mark a UTF-8 continuation byte. */
const CONTINUATION_MASK = 0xc0;
const CONTINUATION = 0x80;
/** Length of the longest UTF-8 character, in bytes. */
const MAX_CHARACTER_BYTES = 4;

/** Decodes the chunks of one answer, in order. */
export interface ChunkTextDecoder {
  /**
   * Returns the text of this chunk and the buffered ones. Returns an empty text
   * while they are buffered.
   */
  decode(data: Uint8Array): string;
  /** Returns the text of the chunks that are still buffered. */
  finish(): string;
}

/** Creates a decoder for one answer. */
export function createChunkTextDecoder(): ChunkTextDecoder {
  const decoder = new TextDecoder();
  let buffered: readonly Uint8Array[] = [];

  const flush = () => {
    const text = decoder.decode(Buffer.concat(buffered));
    buffered = [];
    return text;
  };

  return {
    decode: data => {
      buffered = [...buffered, data];
      return endsInsideCharacter(data) ? '' : flush();
    },
    finish: flush,
  };
}

/** True when the last character of the bytes is incomplete. */
export function endsInsideCharacter(bytes: Uint8Array): boolean {
  const firstIndex = Math.max(0, bytes.length - MAX_CHARACTER_BYTES);
  for (let index = bytes.length - 1; index >= firstIndex; index -= 1) {
    const byte = bytes[index] ?? 0;
    if ((byte & CONTINUATION_MASK) === CONTINUATION) continue;
    return index + characterLength(byte) > bytes.length;
  }
  return false;
}

function characterLength(leadByte: number): number {
  if (leadByte >= 0xf0) return 4;
  if (leadByte >= 0xe0) return 3;
  return leadByte >= 0xc0 ? 2 : 1;
}
