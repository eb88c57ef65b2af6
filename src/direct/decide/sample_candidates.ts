/**
 * Samples the replicas of a large pool that one choice considers. Load reports
 * from an entry's own failure domain arrive at once and those from other domains
 * later, so most of the sample is from the own domain. A few replicas of other
 * domains take the overflow when the own domain is full. Entries that choose at
 * the same time consider different samples; otherwise all of them would choose
 * the engine that old load reports show as the best.
 */
import type {DirectReplica} from '../types.js';

/**
 * Largest sample; a pool of at most this size is considered whole. If all of a
 * large pool were considered, entries with old load reports would choose the
 * same replicas during a burst of long prompts.
 */
const MAX_CANDIDATES = 30;
/**
 * Smallest number of sampled replicas from other failure domains, if there are
 * that many. The best of three random replicas is far less loaded than most.
 */
const MIN_OTHER_DOMAIN_CANDIDATES = 3;

/**
 * At most `MAX_CANDIDATES` replicas for an entry in `failureDomain`. `draw`
 * returns uniform random numbers in [0, 1).
 */
export function sampleCandidates(
  replicas: readonly DirectReplica[],
  failureDomain: string,
  draw: () => number,
): readonly DirectReplica[] {
  if (replicas.length <= MAX_CANDIDATES) return replicas;
  const ownDomain = replicas.filter(it => it.failureDomain === failureDomain);
  const otherDomains = replicas.filter(
    it => it.failureDomain !== failureDomain,
  );
  const otherCount = Math.min(
    otherDomains.length,
    Math.max(MIN_OTHER_DOMAIN_CANDIDATES, MAX_CANDIDATES - ownDomain.length),
  );
  return [
    ...sample(ownDomain, MAX_CANDIDATES - otherCount, draw),
    ...sample(otherDomains, otherCount, draw),
  ];
}

/** A uniform random sample of at most `count` items. */
function sample<T>(
  items: readonly T[],
  count: number,
  draw: () => number,
): readonly T[] {
  const shuffled = [...items];
  const sampleSize = Math.min(count, shuffled.length);
  for (let at = 0; at < sampleSize; at++) {
    const other = at + Math.floor(draw() * (shuffled.length - at));
    [shuffled[at], shuffled[other]] = [shuffled[other], shuffled[at]];
  }
  return shuffled.slice(0, sampleSize);
}
