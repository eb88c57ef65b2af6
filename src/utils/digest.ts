/**
 * Digest over an answer's bytes, made chunk by chunk at the side and checked
 * at the entry. It guards against mixed-up and lost chunks, not against an
 * attacker: the processes trust each other by certificate.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A hash that grows with each piece; pieces must come in order. */
export interface Digest {
  update(data: Uint8Array): void;
  /** Hex of all bytes so far. */
  value(): string;
}

/** Starts a digest. */
export function createDigest(): Digest {
  const state = hasher.create64();
  return {
    update: data => void state.update(data),
    value: () => state.digest().toString(16).padStart(16, '0'),
  };
}

/** Hash of one text, as used for prompt blocks and rendezvous hashing. */
export function hashText(text: string): string {
  return hasher.h64ToString(text);
}

/** Hash of bytes, chained with the hash of what came before. */
export function chainHash(previous: bigint, data: Uint8Array): bigint {
  return hasher.h64Raw(data, previous);
}
