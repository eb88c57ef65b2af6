/**
 * What is known of one replica's coldness, and how a newer statement changes
 * it. A replica that counts as warm too early crashes under its load, and one
 * that counts as cold for too long stays unused.
 *
 * It is not known exactly when a statement was made: a record may be as old as
 * the replica's heartbeat, and an answer may be overtaken by another. So longer
 * coldness is believed at once, and an earlier end only if the statement is
 * certainly the newer one.
 */

/** Coldness of one start of a replica. */
export interface Coldness {
  /** On this process's clock, in milliseconds. */
  readonly until: number;
  /** Latest time at which this may have been stated, on the same clock. */
  readonly statedAt: number;
}

/** A statement of a replica, of a peer about it, or a presumption. */
export interface ColdStatement {
  readonly leftMs: number;
  /** Earliest and latest time at which it may have been made. */
  readonly fromAt: number;
  readonly toAt: number;
}

/**
 * Longest coldness that is believed, in milliseconds. A wrong, larger number
 * would limit the replica until it starts again.
 */
const MAX_COLD_MS = 600_000;

/** Returns `known` itself where the statement changes nothing. */
export function updateColdness(
  known: Coldness | undefined,
  {leftMs, fromAt, toAt}: ColdStatement,
): Coldness | undefined {
  const until = toAt + Math.min(MAX_COLD_MS, leftMs);
  if (known === undefined) {
    return leftMs > 0 ? {until, statedAt: toAt} : undefined;
  }
  const isNewer =
    until > known.until ? toAt > known.statedAt : fromAt > known.statedAt;
  return isNewer ? {until, statedAt: toAt} : known;
}
