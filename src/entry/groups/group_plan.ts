/**
 * Selects the engines that together hold a prompt too large for one engine's
 * memory. The group has the fewest engines possible and, for that size, those
 * with the most free memory.
 */
import type {RequestSpec} from '../../types/services.js';
import type {RankedTarget} from '../../policy/routing.js';

/**
 * Share of its members' memory that a group uses where enough engines are
 * available. A group that fills its members' memory blocks all short requests
 * on them for as long as it runs.
 */
const TARGET_MEMORY_SHARE = 0.85;

/**
 * One engine of a group, and the share of the request's memory that it holds.
 */
export interface GroupPart {
  readonly ranked: RankedTarget;
  readonly isLead: boolean;
  readonly holdTokens: number;
}

/** How a request is placed: on one engine, on a group, or not at all. */
export type GroupPlan =
  /** One engine is enough. */
  | {readonly kind: 'single'}
  /** Sorted by address, the order in which every entry reserves. */
  | {readonly kind: 'group'; readonly parts: readonly GroupPart[]}
  | {readonly kind: 'too-large'; readonly haveTokens: number};

/** Memory that the request needs for prompt and answer, in tokens. */
export function requiredTokens(spec: RequestSpec): number {
  return spec.promptTokens + spec.maxTokens;
}

/** Decides whether the request needs a group, and selects its members. */
export function planGroup(
  spec: RequestSpec,
  ranked: readonly RankedTarget[],
): GroupPlan {
  const needed = requiredTokens(spec);
  const known = ranked.filter(one => capacityOf(one) > 0);
  // An engine that has not reported its memory may be able to hold the whole
  // request.
  const hasUnknown = known.length < ranked.length || ranked.length === 0;
  const mayFitOne = hasUnknown || known.some(one => capacityOf(one) >= needed);
  if (spec.kind === 'call' || mayFitOne) return {kind: 'single'};
  const byFreeMemory = [...known].sort(
    (a, b) => freeOf(b) - freeOf(a) || capacityOf(b) - capacityOf(a),
  );
  // Prefers a group that leaves headroom for other requests. If too few engines
  // are available for that, any group that can hold the request is used.
  const withHeadroom = smallestGroup(
    byFreeMemory,
    needed / TARGET_MEMORY_SHARE,
  );
  const hasHeadroom = capacitySum(withHeadroom) >= needed / TARGET_MEMORY_SHARE;
  const members = hasHeadroom
    ? withHeadroom
    : smallestGroup(byFreeMemory, needed);
  const haveTokens = capacitySum(members);
  if (haveTokens < needed) return {kind: 'too-large', haveTokens};
  return {kind: 'group', parts: partsOf(members, needed, haveTokens)};
}

/**
 * Selects the smallest group that holds `needed` tokens. The size follows from
 * the engines' capacities. The members are the engines with the most free
 * memory if that many of them suffice, else those with the largest capacity.
 */
function smallestGroup(
  byFreeMemory: readonly RankedTarget[],
  needed: number,
): readonly RankedTarget[] {
  const byCapacity = [...byFreeMemory].sort(
    (a, b) => capacityOf(b) - capacityOf(a),
  );
  let sum = 0;
  const size =
    1 + byCapacity.findIndex(one => (sum += capacityOf(one)) >= needed);
  if (size === 0) return byCapacity;
  const freest = byFreeMemory.slice(0, size);
  const suffices =
    freest.reduce((sum, one) => sum + capacityOf(one), 0) >= needed;
  return suffices ? freest : byCapacity.slice(0, size);
}

/**
 * Divides the memory among the members in proportion to their capacity. The
 * first member, which has the most free memory or capacity, is the lead.
 */
function partsOf(
  members: readonly RankedTarget[],
  needed: number,
  totalCapacity: number,
): readonly GroupPart[] {
  return members
    .map((ranked, index) => ({
      ranked,
      isLead: index === 0,
      holdTokens: Math.ceil((needed * capacityOf(ranked)) / totalCapacity),
    }))
    .sort((a, b) => (addressOf(a.ranked) < addressOf(b.ranked) ? -1 : 1));
}

function capacitySum(members: readonly RankedTarget[]): number {
  return members.reduce((sum, one) => sum + capacityOf(one), 0);
}

function capacityOf(ranked: RankedTarget): number {
  return ranked.target.replica.load.capacityTokens;
}

function freeOf(ranked: RankedTarget): number {
  return ranked.target.replica.load.freeTokens;
}

function addressOf(ranked: RankedTarget): string {
  return ranked.target.replica.address;
}
