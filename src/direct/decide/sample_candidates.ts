/**
 * The replicas that a choice looks at, where there are more than it needs. An
 * entry hears of its own failure domain at once and of the others later, so it
 * looks at its own first, and at a few drawn from the others, to which the work
 * spills when its own are full. Entries that choose in the same instant look at
 * unlike sets, so they do not all take the engine that was best on old news.
 */
import type {DirectReplica} from '../types.js';

/**
 * Replicas looked at. With all of a large pool in sight, entries on old news
 * would choose the same ones while long prompts come in numbers.
 */
const MOST = 30;
/**
 * Of them from other failure domains at the least, where there are so many: the
 * best of three drawn ones is far less loaded than most.
 */
const LEAST_FAR = 3;

/** At most `MOST` replicas; `draw` is uniform in [0, 1). */
export function sampleCandidates(
  replicas: readonly DirectReplica[],
  failureDomain: string,
  draw: () => number,
): readonly DirectReplica[] {
  if (replicas.length <= MOST) return replicas;
  const near = replicas.filter(it => it.failureDomain === failureDomain);
  const far = replicas.filter(it => it.failureDomain !== failureDomain);
  const farCount = Math.min(
    far.length,
    Math.max(LEAST_FAR, MOST - near.length),
  );
  return [
    ...drawSome(near, MOST - farCount, draw),
    ...drawSome(far, farCount, draw),
  ];
}

/** So many of the items, each as likely as any other. */
function drawSome<T>(
  items: readonly T[],
  count: number,
  draw: () => number,
): readonly T[] {
  const left = [...items];
  const most = Math.min(count, left.length);
  for (let at = 0; at < most; at++) {
    const other = at + Math.floor(draw() * (left.length - at));
    [left[at], left[other]] = [left[other], left[at]];
  }
  return left.slice(0, most);
}
