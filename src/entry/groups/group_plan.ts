/**
 * Which engines together hold a prompt that is over one engine's memory: the
 * fewest, and of those the roomiest.
 */
import type {RequestSpec} from '../../types/services.js';
import type {RankedTarget} from '../../policy/routing.js';

/**
 * Share of its members' memory that a group takes where it can. A group that
 * fills its members stops all short work on them for as long as it runs.
 */
const TARGET_MEMORY_SHARE = 0.85;

/** One engine of a group and its part. */
export interface GroupPart {
  readonly ranked: RankedTarget;
  readonly isLead: boolean;
  readonly holdTokens: number;
}

export type GroupPlan =
  /** One engine will do. */
  | {readonly kind: 'single'}
  /** In the global order of reservation: by address. */
  | {readonly kind: 'group'; readonly parts: readonly GroupPart[]}
  | {readonly kind: 'too-large'; readonly haveTokens: number};

/** Memory that the request takes: prompt and answer, in tokens. */
export function requiredTokens(spec: RequestSpec): number {
  return spec.promptTokens + spec.maxTokens;
}

export function planGroup(
  spec: RequestSpec,
  ranked: readonly RankedTarget[],
): GroupPlan {
  const needed = requiredTokens(spec);
  const known = ranked.filter(one => capacityOf(one) > 0);
  // An engine that has not reported its memory may well take it alone.
  const hasUnknown = known.length < ranked.length || ranked.length === 0;
  const mayFitOne = hasUnknown || known.some(one => capacityOf(one) >= needed);
  if (spec.kind === 'call' || mayFitOne) return {kind: 'single'};
  const byFreeMemory = [...known].sort(
    (a, b) => freeOf(b) - freeOf(a) || capacityOf(b) - capacityOf(a),
  );
  // Engines that together leave room beside the group; where there are too few
  // of them, any that hold it.
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
 * The smallest size is found from capacities; the members are then the
 * roomiest of that size that suffice, so free memory decides between equals.
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
