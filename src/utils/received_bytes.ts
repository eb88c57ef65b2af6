/**
 * Keeps bytes that come in pieces of any size. A list of the pieces would cost a
 * hundred bytes and more for each of them, and a piece that is a part of a larger
 * read keeps the whole read in memory. Small pieces are therefore copied into
 * blocks, so that the cost follows the bytes.
 */

const FIRST_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Smaller pieces are copied. */
const LEAST_KEPT_BYTES = 4 * 1024;

export interface ReceivedBytes {
  add(piece: Buffer): void;
  length(): number;
  /** All bytes in one buffer; none are kept after that. */
  take(): Buffer;
  drop(): void;
}

export function createReceivedBytes(): ReceivedBytes {
  let full: Buffer[] = [];
  /** Its first `used` bytes hold pieces. */
  let block: Buffer | undefined;
  let used = 0;
  let length = 0;

  const closeBlock = (): void => {
    if (block !== undefined) full.push(block.subarray(0, used));
    block = undefined;
    used = 0;
  };
  const copy = (piece: Buffer): void => {
    for (let from = 0; from < piece.length;) {
      if (block === undefined || used === block.length) {
        closeBlock();
        const bytes = Math.max(FIRST_BLOCK_BYTES, length, piece.length - from);
        block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, bytes));
      }
      const copied = piece.copy(block, used, from);
      used += copied;
      from += copied;
    }
  };
  const drop = (): void => {
    full = [];
    block = undefined;
    used = 0;
    length = 0;
  };
  return {
    add: piece => {
      if (isWorthKeeping(piece)) {
        closeBlock();
        full.push(piece);
      } else copy(piece);
      length += piece.length;
    },
    length: () => length,
    take: () => {
      closeBlock();
      const [only] = full;
      const whole =
        full.length === 1 && only !== undefined ? only : Buffer.concat(full);
      drop();
      return whole;
    },
    drop,
  };
}

/** Whether it takes up most of the memory that it keeps. */
function isWorthKeeping({length, buffer}: Buffer): boolean {
  return length >= LEAST_KEPT_BYTES && length * 2 >= buffer.byteLength;
}
