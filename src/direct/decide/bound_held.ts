/**
 * Decides which callers are disconnected because of what the entry holds for
 * them, and whether another request's body may be read.
 *
 * Many callers that read slowly or not at all, and many large bodies at once,
 * would fill the memory of an entry. If the entry crashed, the requests of all
 * its callers would be lost.
 */

/**
 * The caller of a complete answer may read nothing for this many times as long,
 * because no replica waits for it. Progress shows only when the kernel's
 * buffers of the connection have room again, so a caller that reads several
 * MB/s may seem to read nothing for most of a second.
 */
const WHOLE_ANSWER_FACTOR = 10;

/**
 * While there is no room for further requests, a caller may read nothing for at
 * most this time, in milliseconds.
 */
const SHORT_OF_ROOM_MS = 5_000;

/** What the entry holds for one request. */
export interface HeldRequest {
  /** Bytes of the answer that the caller's connection has not taken. */
  readonly answerBytes: number;
  /** Bytes of an answer that is buffered until it is complete. */
  readonly bufferedBytes: number;
  /** Bytes of the body, including those that are announced but not read yet. */
  readonly bodyBytes: number;
  /** Whether the body is still being read. */
  readonly isReadingBody: boolean;
  /** Whether the whole answer has been written and waits to be read. */
  readonly isAnswerWhole: boolean;
  /**
   * Time for which the connection has taken none of the held bytes, in
   * milliseconds; 0 when no bytes of an answer are held.
   */
  readonly stalledMs: number;
}

/** Bounds of what an entry holds. */
export interface HeldBounds {
  /**
   * Longest time for which a caller may read nothing of an answer that is not
   * complete, in milliseconds.
   */
  readonly callerTimeoutMs: number;
  /** Largest sum over all requests, in bytes. */
  readonly maxBytes: number;
  /** Whether requests are rejected for want of room. @default false */
  readonly isShort?: boolean;
}

/** Why a caller is disconnected. */
export type CutCause = 'not reading' | 'memory';

export interface Cut<T> {
  readonly held: T;
  readonly cause: CutCause;
}

export function heldBytesOf(held: HeldRequest): number {
  return held.answerBytes + held.bufferedBytes + held.bodyBytes;
}

/**
 * Returns the requests whose callers are disconnected. First come those that
 * have read nothing for too long. If the rest exceeds the bound, the requests
 * that hold most follow until it does not. Among these is no complete answer,
 * since its replica's work is done and a caller that reads needs only time, and
 * no request that is held only for its replica.
 */
export function chooseCuts<T extends HeldRequest>(
  requests: readonly T[],
  {callerTimeoutMs, maxBytes, isShort = false}: HeldBounds,
): Array<Cut<T>> {
  const longestMs = isShort ? SHORT_OF_ROOM_MS : Infinity;
  const isStalled = ({stalledMs, isAnswerWhole}: T) => {
    const factor = isAnswerWhole ? WHOLE_ANSWER_FACTOR : 1;
    return stalledMs >= Math.min(callerTimeoutMs * factor, longestMs);
  };
  const cuts: Array<Cut<T>> = requests
    .filter(isStalled)
    .map(held => ({held, cause: 'not reading'}));
  const rest = requests.filter(held => !isStalled(held));
  let sum = rest.reduce((bytes, held) => bytes + heldBytesOf(held), 0);
  if (sum <= maxBytes) return cuts;
  const byBytes = rest
    .filter(held => mayCutForMemory(held))
    .sort((one, other) => heldBytesOf(other) - heldBytesOf(one));
  for (const held of byBytes) {
    if (sum <= maxBytes) break;
    cuts.push({held, cause: 'memory'});
    sum -= heldBytesOf(held);
  }
  return cuts;
}

function mayCutForMemory(held: HeldRequest): boolean {
  if (held.isAnswerWhole) return false;
  return held.answerBytes > 0 || held.isReadingBody;
}

/** Whether a body of so many bytes may be read beside what is held already. */
export function mayReadBody(
  bodyBytes: number,
  heldBytes: number,
  {maxBytes}: HeldBounds,
): boolean {
  return heldBytes + bodyBytes <= maxBytes;
}
