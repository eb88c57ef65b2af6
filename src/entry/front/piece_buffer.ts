/**
 * Gathers text or bytes into pieces of bounded size, so that a prompt of
 * several megabytes is never held, copied or sent as one block.
 */
import type {Body} from '../../types/services.js';

/** Largest piece of a body, in bytes. */
export const PIECE_BYTES = 64 * 1024;

/** UTF-8 needs at most this many bytes for one UTF-16 code unit. */
const MAX_BYTES_PER_CODE_UNIT = 3;

const encoder = new TextEncoder();

export interface PieceBuffer {
  /** Adds text as UTF-8. It must not end between two halves of a pair. */
  appendText(part: string): void;
  appendBytes(part: Uint8Array): void;
  toBody(): Body;
}

/** Starts an empty buffer. */
export function createPieceBuffer(): PieceBuffer {
  const pieces: Uint8Array[] = [];
  let open = new Uint8Array(0);
  let used = 0;
  let total = 0;

  const close = () => {
    if (used > 0) pieces.push(open.subarray(0, used));
    open = new Uint8Array(0);
    used = 0;
  };

  const reserve = (wanted: number) => {
    if (open.length - used >= Math.min(wanted, MAX_BYTES_PER_CODE_UNIT + 1)) {
      return;
    }
    close();
    // Only a body that fits in its first piece gets one of its own size.
    const size = pieces.length > 0 ? PIECE_BYTES : Math.max(wanted, 4);
    open = new Uint8Array(Math.min(PIECE_BYTES, size));
  };

  const text = (part: string) => {
    let rest = part;
    while (rest.length > 0) {
      reserve(rest.length * MAX_BYTES_PER_CODE_UNIT);
      const {read, written} = encoder.encodeInto(rest, open.subarray(used));
      used += written;
      total += written;
      rest = rest.slice(read);
    }
  };

  const bytes = (part: Uint8Array) => {
    let from = 0;
    while (from < part.length) {
      if (used === open.length) {
        close();
        open = new Uint8Array(Math.min(PIECE_BYTES, part.length - from));
      }
      const count = Math.min(open.length - used, part.length - from);
      open.set(part.subarray(from, from + count), used);
      used += count;
      total += count;
      from += count;
    }
  };

  return {
    appendText: text,
    appendBytes: bytes,
    toBody: () => {
      close();
      return {pieces: [...pieces], bytes: total};
    },
  };
}
