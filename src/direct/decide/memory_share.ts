/**
 * Divides the memory of this process: what may be used before requests wait or
 * are rejected, and what is left for buffers that the runtime frees late.
 */

/**
 * Share of the limit up to which bodies are read. The rest is for chunks that
 * were copied and are not collected yet, and for the kernel's buffers.
 */
const BODIES_SHARE = 0.8;
/** Share up to which small bodies are read and answers are buffered. */
const SMALL_SHARE = 0.86;
/**
 * Share that small requests have to themselves, so that large bodies, and those
 * that wait for room, can't keep them out.
 */
const RESERVED_SHARE = 0.06;
/** Share up to which connections are accepted. */
const CONNECTIONS_SHARE = 0.92;
/**
 * Kept free for each open request, in bytes and at most as a share of the limit:
 * the parts of its answer that are read before its caller is known not to read,
 * and its connections.
 */
const REQUEST_BYTES = 96 * 1024;
const REQUEST_SHARE = 0.0006;
/** From this share on the memory counts as high. */
const HIGH_SHARE = 0.8;
/** Below this share it counts as normal again. */
const NORMAL_SHARE = 0.65;

/** Bounds of the resident size, in bytes. */
export interface MemoryShares {
  readonly limit: number;
  readonly bodies: number;
  readonly small: number;
  /** What small requests have to themselves beyond `small`. */
  readonly reserved: number;
  readonly connections: number;
  /** Kept free for each open request. */
  readonly request: number;
  readonly high: number;
  readonly normal: number;
}

export function memoryShares(limit: number): MemoryShares {
  return {
    limit,
    bodies: limit * BODIES_SHARE,
    small: limit * SMALL_SHARE,
    reserved: limit * RESERVED_SHARE,
    connections: limit * CONNECTIONS_SHARE,
    request: Math.min(REQUEST_BYTES, limit * REQUEST_SHARE),
    high: limit * HIGH_SHARE,
    normal: limit * NORMAL_SHARE,
  };
}
