/**
 * Collects text or bytes in pieces of limited size. A prompt of several
 * megabytes is therefore never held, copied or sent as one block.
 */
import type {Body} from '../../types/services.js';

/** Largest piece of a body, in bytes. Further data goes into a new piece. */
export const PIECE_BYTES = 64 * 1024;

/** UTF-8 needs at most this many bytes for one UTF-16 code unit. */
const MAX_BYTES_PER_CODE_UNIT = 3;

const encoder = new TextEncoder();

/** Collects the pieces of one body. */
export interface PieceBuffer {
  /** Appends text as UTF-8. It must not end inside a surrogate pair. */
  appendText(text: string): void;
  appendBytes(bytes: Uint8Array): void;
  /** Returns all data so far as a body. */
  toBody(): Body;
}

/** Creates an empty buffer. */
export function createPieceBuffer(): PieceBuffer {
  const pieces: Uint8Array[] = [];
  let current = new Uint8Array(0);
  let usedBytes = 0;
  let totalBytes = 0;

  const finishPiece = () => {
    if (usedBytes > 0) pieces.push(current.subarray(0, usedBytes));
    current = new Uint8Array(0);
    usedBytes = 0;
  };

  const reserveSpace = (wantedBytes: number) => {
    if (
      current.length - usedBytes >=
      Math.min(wantedBytes, MAX_BYTES_PER_CODE_UNIT + 1)
    ) {
      return;
    }
    finishPiece();
    // The first piece is allocated as small as its text needs. Later pieces
    // belong to a large body and are allocated at full size.
    const size = pieces.length > 0 ? PIECE_BYTES : Math.max(wantedBytes, 4);
    current = new Uint8Array(Math.min(PIECE_BYTES, size));
  };

  const appendText = (text: string) => {
    let rest = text;
    while (rest.length > 0) {
      reserveSpace(rest.length * MAX_BYTES_PER_CODE_UNIT);
      const {read, written} = encoder.encodeInto(
        rest,
        current.subarray(usedBytes),
      );
      usedBytes += written;
      totalBytes += written;
      rest = rest.slice(read);
    }
  };

  const appendBytes = (bytes: Uint8Array) => {
    let offset = 0;
    while (offset < bytes.length) {
      if (usedBytes === current.length) {
        finishPiece();
        current = new Uint8Array(Math.min(PIECE_BYTES, bytes.length - offset));
      }
      const count = Math.min(current.length - usedBytes, bytes.length - offset);
      current.set(bytes.subarray(offset, offset + count), usedBytes);
      usedBytes += count;
      totalBytes += count;
      offset += count;
    }
  };

  return {
    appendText,
    appendBytes,
    toBody: () => {
      finishPiece();
      return {pieces: [...pieces], bytes: totalBytes};
    },
  };
}
