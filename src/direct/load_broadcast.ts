/**
 * When an entry tells the others of its load. Told to everyone at each change,
 * the talk would grow with the square of the entries.
 *
 * Entries of the same failure domain choose among the same engines first, so
 * they hear of every change at once. Those of other domains hear of it within a
 * budget of datagrams: at once while they are few, and less often the more there
 * are. A long read is told to all at once, since two on one engine hold up each
 * other, and all who write there, for seconds.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/** An entry of the own failure domain without news hears so this often. */
const NEAR_BEAT_MS = 300;
/** The same in another domain. */
const FAR_BEAT_MS = 1_000;
/**
 * Datagrams to other failure domains in a second. To read as many takes less
 * than a hundredth of a core. With far fewer, long prompts would go to engines
 * that others have filled since.
 */
const FAR_PER_S = 200;

export interface Telling {
  /** The load has changed; `isLong` where a long read was added. */
  changed(isLong: boolean): void;
  /** Says that this entry is there where nothing else has said so. */
  beat(): void;
  stop: Cancel;
}

export interface TellingOptions<Peer> {
  readonly clock: Clock;
  /** Entries of the own failure domain. */
  near(): readonly Peer[];
  far(): readonly Peer[];
  /** Sends the load as it is now. */
  tell(peers: readonly Peer[]): void;
}

/** How often `beat` is to be called, in milliseconds. */
export const BEAT_MS = NEAR_BEAT_MS;

export function createTelling<Peer>(options: TellingOptions<Peer>): Telling {
  const {clock, near, far, tell} = options;
  let nearAt = Number.NEGATIVE_INFINITY;
  let farAt = Number.NEGATIVE_INFINITY;
  let allowance = FAR_PER_S;
  let allowedAt = clock.now();
  let cancelLater: Cancel | undefined;

  const accrue = (most: number): void => {
    const now = clock.now();
    const more = ((now - allowedAt) / 1_000) * FAR_PER_S;
    allowance = Math.min(most, allowance + more);
    allowedAt = now;
  };
  const tellFar = (peers: readonly Peer[]): void => {
    cancelLater?.();
    cancelLater = undefined;
    allowance -= peers.length;
    farAt = clock.now();
    tell(peers);
  };
  const tellFarLater = (delayMs: number): void => {
    cancelLater ??= clock.after(delayMs, () => tellFar(far()));
  };
  const tellFarInBudget = (isLong: boolean): void => {
    const peers = far();
    accrue(Math.max(FAR_PER_S, peers.length));
    // A debt of one round: a burst of long prompts must not lift the budget.
    const least = isLong ? 0 : peers.length;
    if (allowance >= least) tellFar(peers);
    else tellFarLater(((least - allowance) / FAR_PER_S) * 1_000);
  };
  const tellNear = (): void => {
    nearAt = clock.now();
    tell(near());
  };

  return {
    changed: isLong => {
      tellNear();
      tellFarInBudget(isLong);
    },
    beat: () => {
      const now = clock.now();
      if (now - nearAt >= NEAR_BEAT_MS) tellNear();
      if (now - farAt >= FAR_BEAT_MS) tellFar(far());
    },
    stop: () => cancelLater?.(),
  };
}
