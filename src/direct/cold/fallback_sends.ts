/**
 * When an entry may send to a cold replica without a permit, because the
 * replica's home is silent or new. A new home takes over only after half of the
 * time for which a replica is cold. If the replica got nothing until then, its
 * domain's capacity would return that much later.
 *
 * Each entry has one turn in a period. The periods of the entries begin at
 * random, so that their turns are spread without any messages. A turn that is
 * not used soon is lost: turns saved by many entries would be a burst.
 */

/** How long after its begin a turn may be used, in milliseconds. */
const TURN_KEPT_MS = 250;

export interface FallbackAnswer {
  readonly isTaken: boolean;
  /** When the next turn begins. */
  readonly nextAt: number;
}

/** Begin of an entry's first turn; `draw` is from 0 to 1. */
export function firstTurnAt(
  now: number,
  periodMs: number,
  draw: number,
): number {
  return now + draw * periodMs;
}

/** Takes `count` turns at once: the current one and those that follow it. */
export function takeTurns(
  nextAt: number,
  now: number,
  periodMs: number,
  count: number,
): FallbackAnswer {
  if (now < nextAt) return {isTaken: false, nextAt};
  const latestAt = nextAt + Math.floor((now - nextAt) / periodMs) * periodMs;
  return now - latestAt <= TURN_KEPT_MS
    ? {isTaken: true, nextAt: latestAt + count * periodMs}
    : {isTaken: false, nextAt: latestAt + periodMs};
}
