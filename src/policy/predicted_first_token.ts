/**
 * Routes by the lowest predicted time to first token: the queued prefill at the
 * rate that the side has learned, less the expected prefix cache hits, plus the
 * network time. Older load reports count for less; otherwise entries with the
 * same old report would all choose the same side. If all reports have stopped,
 * only the entry's own assignments count.
 */
import type {Address} from '../types/ids.js';
import {orderPairs, shuffled} from './random_order.js';
import {rendezvousNames} from '../utils/rendezvous.js';
import type {
  RankedTarget,
  RoutingInput,
  RoutingPolicy,
  RoutingTarget,
} from './routing.js';

/** Prefill rate that is assumed until an engine reports one. */
const DEFAULT_TOKENS_PER_SEC = 8_000;
/** Assumed time of each call ahead on a plain service; only orders targets. */
const CALL_AHEAD_MS = 20;
/**
 * Most backlog of longer prompts that delays a short one, in tokens. Engines
 * start a short prompt at the next step, however long the other backlog is.
 */
const MAX_LONGER_TOKENS = 3_000;
/** Weight of that backlog in the prediction for a short prompt. */
const LONGER_WEIGHT = 0.75;
/** Mean share of a run's tokens that are not prefilled yet. */
const REMAINING_PREFILL_SHARE = 0.5;
/** Longer prompts go first to the share of engines for long prompts. */
const LONG_PROMPT_TOKENS = 32_000;
const LONG_PROMPTS_KEY = 'long prompts';
/** Cost of an engine outside that share, as a share of the own prefill time. */
const OUTSIDE_COST_SHARE = 0.25;
/** Cost of another failure domain, besides the measured round trip. */
const OTHER_DOMAIN_MS = 1;
/** If every load report is older than this, the reports are not used. */
const MAX_REPORT_AGE_MS = 20_000;
/** Age of a load report at which it gets half of the full random noise. */
const HALF_TRUST_AGE_MS = 2_000;
/** Bonus of the home for a new prefix, as a share of the own prefill time. */
const NEW_PREFIX_BONUS_SHARE = 0.02;

/** The routing policy; see the head of this file. */
export const predictedFirstToken: RoutingPolicy = input => {
  if (
    input.targets.every(
      target => reportAgeMs(input, target) > MAX_REPORT_AGE_MS,
    )
  ) {
    return rankByOwnAssignments(input);
  }
  const home = prefixHomeOf(input);
  const outsideCostMs = outsideCost(input);
  const longPromptEngines = enginesForLongPrompts(input);
  return input.targets
    .map(target => {
      const ranked = predict(input, target, home);
      const costMs = longPromptEngines.has(target.replica.address)
        ? 0
        : outsideCostMs;
      return {ranked, score: scoreOf(input, ranked, home) + costMs};
    })
    .sort((a, b) => a.score - b.score)
    .map(one => one.ranked);
};

/**
 * Random pairs of targets, in each the one with fewer tokens from this entry
 * first. With the last reports, all entries would choose the same targets for as
 * long as no new reports arrive.
 */
function rankByOwnAssignments(input: RoutingInput): readonly RankedTarget[] {
  const fewerTokensFirst = (a: RoutingTarget, b: RoutingTarget) =>
    a.unreportedTokens - b.unreportedTokens;
  return orderPairs(shuffled(input), fewerTokensFirst).map(target => ({
    ...predict(input, target, undefined),
    reason: 'reports are stale: lesser of a random pair by own tokens',
  }));
}

/** Age of the target's load report, in milliseconds. */
function reportAgeMs(input: RoutingInput, {replica}: RoutingTarget): number {
  return input.now - replica.loadAt + replica.load.reportAgeMs;
}

/** The target with its predicted time to first token. */
function predict(
  input: RoutingInput,
  target: RoutingTarget,
  home: string | undefined,
): RankedTarget {
  const {request} = input;
  const {replica} = target;
  const atHome = replica.address === home;
  const cachedTokens = atHome
    ? Math.min(input.knownPrefixTokens, request.promptTokens) *
      input.prefixHitRatio *
      input.weights.prefixWeight
    : 0;
  const workMs =
    request.kind === 'call'
      ? callsAhead(target) * CALL_AHEAD_MS
      : prefillMs(input, target, cachedTokens);
  return {
    target,
    predictedFirstTokenMs: workMs + networkMs(input, target),
    cachedTokens,
    reason: atHome
      ? 'least predicted first token; home of the prefix'
      : 'least predicted first token',
  };
}

/** Time to prefill the queued prompts and the own prompt, in milliseconds. */
function prefillMs(
  input: RoutingInput,
  target: RoutingTarget,
  cachedTokens: number,
): number {
  const {load} = target.replica;
  const rate = load.prefillTokensPerSec || DEFAULT_TOKENS_PER_SEC;
  const queuedTokens = backlogTokens(input, target) + target.unreportedTokens;
  const ownTokens = Math.max(0, input.request.promptTokens - cachedTokens);
  const waitTokens = Math.max(queuedTokens, memoryWaitTokens(input, target));
  return ((waitTokens + ownTokens) / rate) * 1_000 + load.stepMs;
}

/**
 * Tokens to prefill before the engine has memory for the request. The runs that
 * use the memory are half prefilled on average. A member of a group reports no
 * backlog of its own, but may use nearly all memory of its engine during the
 * group's prefill.
 */
function memoryWaitTokens(input: RoutingInput, target: RoutingTarget): number {
  const {capacityTokens, freeTokens} = target.replica.load;
  if (capacityTokens === 0) return 0;
  const {promptTokens, maxTokens} = input.request;
  const freeAfterOwn = freeTokens - target.unreportedTokens;
  if (promptTokens + maxTokens <= freeAfterOwn) return 0;
  return (capacityTokens - freeTokens) * REMAINING_PREFILL_SHARE;
}

/** Reported backlog that delays the request, in tokens. */
function backlogTokens(input: RoutingInput, target: RoutingTarget): number {
  const {prefillBacklogTokens, shortBacklogTokens} = target.replica.load;
  if (!input.request.short) return prefillBacklogTokens;
  const longerTokens = Math.max(0, prefillBacklogTokens - shortBacklogTokens);
  return (
    shortBacklogTokens +
    Math.min(longerTokens, MAX_LONGER_TOKENS) * LONGER_WEIGHT
  );
}

function callsAhead(target: RoutingTarget): number {
  const {running, queued} = target.replica.load;
  return running + queued + target.unreportedRequests;
}

/** Round trip to the target and the cost of another failure domain. */
function networkMs(input: RoutingInput, target: RoutingTarget): number {
  const {replica} = target;
  const isOtherDomain = replica.failureDomain !== input.ownFailureDomain;
  return replica.rttMs + (isOtherDomain ? OTHER_DOMAIN_MS : 0);
}

/**
 * The engines that long prompts prefer. All entries compute the same set, so the
 * other engines stay free of long prefills for short prompts.
 */
function enginesForLongPrompts(input: RoutingInput): ReadonlySet<Address> {
  const addresses = input.targets.map(target => target.replica.address);
  const count = Math.ceil(input.weights.longShare * addresses.length);
  return new Set(rendezvousNames(LONG_PROMPTS_KEY, addresses).slice(0, count));
}

/**
 * Cost of an engine outside that set for a long prompt, in milliseconds; 0 for
 * other prompts. The cost is small enough that a long prompt uses other engines
 * when those in the set are full.
 */
function outsideCost(input: RoutingInput): number {
  const {promptTokens} = input.request;
  if (promptTokens <= LONG_PROMPT_TOKENS) return 0;
  return (promptTokens / DEFAULT_TOKENS_PER_SEC) * 1_000 * OUTSIDE_COST_SHARE;
}

/** The prediction with random noise that grows with the age of the report. */
function scoreOf(
  input: RoutingInput,
  ranked: RankedTarget,
  home: string | undefined,
): number {
  const {replica} = ranked.target;
  const ageMs = reportAgeMs(input, ranked.target);
  const uncertainty = ageMs / (ageMs + HALF_TRUST_AGE_MS);
  const noiseFactor = 1 + uncertainty * input.random.next();
  const bonusMs =
    replica.address === home ? newPrefixBonusMs(input, ranked) : 0;
  return ranked.predictedFirstTokenMs * noiseFactor - bonusMs;
}

/** Bonus that brings prompts with a new prefix to their home. */
function newPrefixBonusMs(input: RoutingInput, ranked: RankedTarget): number {
  if (ranked.cachedTokens > 0) return 0;
  const {load} = ranked.target.replica;
  const rate = load.prefillTokensPerSec || DEFAULT_TOKENS_PER_SEC;
  return (input.request.promptTokens / rate) * 1_000 * NEW_PREFIX_BONUS_SHARE;
}

/**
 * The target that serves prompts with this leading block: the first in
 * rendezvous order whose load is within a bound above the mean. The bound
 * prevents that one popular prefix overloads its home.
 */
function prefixHomeOf(input: RoutingInput): string | undefined {
  const leadingBlock = input.request.prefixHashes[0];
  if (leadingBlock === undefined || input.weights.prefixWeight <= 0) {
    return undefined;
  }
  const byAddress = new Map(
    input.targets.map(target => [target.replica.address, target]),
  );
  const meanTokens = meanOf(input.targets.map(pendingTokens));
  const maxPendingTokens =
    (meanTokens + input.request.promptTokens) * loadFactorOf(input);
  return rendezvousNames(leadingBlock, [...byAddress.keys()]).find(address => {
    const target = byAddress.get(address);
    return (
      target !== undefined &&
      pendingTokens(target) + input.request.promptTokens <= maxPendingTokens
    );
  });
}

/** Bound on a home's load, as a multiple of the mean. */
function loadFactorOf(input: RoutingInput): number {
  return Math.max(1, input.weights.boundedLoadFactor);
}

/** Prompt tokens queued at a target, with those not yet reported. */
function pendingTokens(target: RoutingTarget): number {
  return target.replica.load.prefillBacklogTokens + target.unreportedTokens;
}

function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
