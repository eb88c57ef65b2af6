/**
 * Non-cryptographic hashes. The side computes a digest over an answer's bytes
 * chunk by chunk, and the entry checks it. The digest detects reordered and
 * lost chunks. It does not protect against an attacker: the processes
 * authenticate each other by certificate.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** An incremental hash over bytes that are added in order. */
export interface Digest {
  update(data: Uint8Array): void;
  /** Hash of all bytes so far, as 16 hex digits. */
  value(): string;
}

/** Creates a digest over no bytes. */
export function createDigest(): Digest {
  const state = hasher.create64();
  return {
    update: data => void state.update(data),
    value: () => state.digest().toString(16).padStart(16, '0'),
  };
}

/** Hash of a text as hex, for prompt blocks and rendezvous hashing. */
export function hashText(text: string): string {
  return hasher.h64ToString(text);
}

/** Hash of `data`, seeded with the hash of the preceding bytes. */
export function chainHash(previous: bigint, data: Uint8Array): bigint {
  return hasher.h64Raw(data, previous);
}
