/**
 * Least predicted time to first token: queue and prefill ahead at the rate the
 * side has learned, less what its prefix cache should spare, plus the way
 * there. Old load reports count for less, so that entries which all saw the
 * same old report do not all choose the same side; where all have stopped, only
 * what this entry itself sent counts.
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

/** Prefill rate of an engine that has not reported one yet. */
const UNKNOWN_TOKENS_PER_SEC = 8_000;
/** Time of a call ahead on a plain service; only ranks, promises nothing. */
const CALL_AHEAD_MS = 20;
/**
 * What a short prompt waits for of longer ones: engines let it pass at the next
 * step, so about a step's worth, however long their backlog is.
 */
const LONGER_MOST_TOKENS = 3_000;
const LONGER_FOR_SHORT = 0.75;
/** Part of its memory's prefill that a run has before it on average. */
const HELD_LEFT = 0.5;
/** Prompts over this keep to the share of engines for long ones. */
const LONG_TOKENS = 32_000;
const LONG_KEY = 'long prompts';
/** Cost of leaving that share, as a part of the prompt's own prefill. */
const OUTSIDE_SHARE = 0.25;
/** Cost of leaving the own failure domain, beside the measured round trip. */
const OTHER_DOMAIN_MS = 1;
/** Older reports say nothing of the load any more. */
const STALE_AGE_MS = 20_000;
/** A report of this age is half trusted. */
const HALF_TRUST_AGE_MS = 2_000;
/** A prefix that is new here leans to its home by this share of its tokens. */
const NEW_PREFIX_LEAN = 0.02;

export const predictedFirstToken: RoutingPolicy = input => {
  if (input.targets.every(target => ageOf(input, target) > STALE_AGE_MS)) {
    return byOwnAssignments(input);
  }
  const home = prefixHome(input);
  const outsideMs = outsideLongShareMs(input);
  const forLong = enginesForLong(input);
  return input.targets
    .map(target => {
      const ranked = predict(input, target, home);
      const outside = forLong.has(target.replica.address) ? 0 : outsideMs;
      return {ranked, score: scoreOf(input, ranked, home) + outside};
    })
    .sort((a, b) => a.score - b.score)
    .map(one => one.ranked);
};

/**
 * By chance in pairs, the lesser of each by this entry's own tokens first.
 * Ranked on what was last reported, all entries would go on choosing alike, for
 * as long as reports are silent.
 */
function byOwnAssignments(input: RoutingInput): readonly RankedTarget[] {
  const lesserFirst = (a: RoutingTarget, b: RoutingTarget) =>
    a.unreportedTokens - b.unreportedTokens;
  return orderPairs(shuffled(input), lesserFirst).map(target => ({
    ...predict(input, target, undefined),
    reason: 'reports are stale: lesser of a random pair by own tokens',
  }));
}

function ageOf(input: RoutingInput, {replica}: RoutingTarget): number {
  return input.now - replica.loadAt + replica.load.reportAgeMs;
}

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
    predictedFirstTokenMs: workMs + wayMs(input, target),
    cachedTokens,
    reason: atHome
      ? 'least predicted first token; home of the prefix'
      : 'least predicted first token',
  };
}

function prefillMs(
  input: RoutingInput,
  target: RoutingTarget,
  cachedTokens: number,
): number {
  const {load} = target.replica;
  const rate = load.prefillTokensPerSec || UNKNOWN_TOKENS_PER_SEC;
  const ahead = backlogAhead(input, target) + target.unreportedTokens;
  const own = Math.max(0, input.request.promptTokens - cachedTokens);
  const waitTokens = Math.max(ahead, heldAhead(input, target));
  return ((waitTokens + own) / rate) * 1_000 + load.stepMs;
}

/**
 * Tokens to prefill before the engine has memory for the request: what holds
 * the memory is on average half done. A member of a group shows no backlog of
 * its own, and yet may hold nearly all of its engine for as long as the
 * group's prefill takes.
 */
function heldAhead(input: RoutingInput, target: RoutingTarget): number {
  const {capacityTokens, freeTokens} = target.replica.load;
  if (capacityTokens === 0) return 0;
  const {promptTokens, maxTokens} = input.request;
  const free = freeTokens - target.unreportedTokens;
  if (promptTokens + maxTokens <= free) return 0;
  return (capacityTokens - freeTokens) * HELD_LEFT;
}

function backlogAhead(input: RoutingInput, target: RoutingTarget): number {
  const {prefillBacklogTokens, shortBacklogTokens} = target.replica.load;
  if (!input.request.short) return prefillBacklogTokens;
  const longer = Math.max(0, prefillBacklogTokens - shortBacklogTokens);
  return (
    shortBacklogTokens + Math.min(longer, LONGER_MOST_TOKENS) * LONGER_FOR_SHORT
  );
}

function callsAhead(target: RoutingTarget): number {
  const {running, queued} = target.replica.load;
  return running + queued + target.unreportedRequests;
}

function wayMs(input: RoutingInput, target: RoutingTarget): number {
  const {replica} = target;
  const other = replica.failureDomain !== input.ownFailureDomain;
  return replica.rttMs + (other ? OTHER_DOMAIN_MS : 0);
}

/**
 * The engines to which long prompts go first: the same for all entries, so
 * that the other engines stay free of long prefill for short prompts.
 */
function enginesForLong(input: RoutingInput): ReadonlySet<Address> {
  const addresses = input.targets.map(target => target.replica.address);
  const count = Math.ceil(input.weights.longShare * addresses.length);
  return new Set(rendezvousNames(LONG_KEY, addresses).slice(0, count));
}

/** A lean, not a wall: with those engines full, a long prompt goes elsewhere. */
function outsideLongShareMs(input: RoutingInput): number {
  const {promptTokens} = input.request;
  if (promptTokens <= LONG_TOKENS) return 0;
  return (promptTokens / UNKNOWN_TOKENS_PER_SEC) * 1_000 * OUTSIDE_SHARE;
}

/** The prediction as it ranks: noise grows with the age of the report. */
function scoreOf(
  input: RoutingInput,
  ranked: RankedTarget,
  home: string | undefined,
): number {
  const {replica} = ranked.target;
  const ageMs = ageOf(input, ranked.target);
  const doubt = ageMs / (ageMs + HALF_TRUST_AGE_MS);
  const noise = 1 + doubt * input.random.next();
  const lean = replica.address === home ? newPrefixLeanMs(input, ranked) : 0;
  return ranked.predictedFirstTokenMs * noise - lean;
}

function newPrefixLeanMs(input: RoutingInput, ranked: RankedTarget): number {
  if (ranked.cachedTokens > 0) return 0;
  const {load} = ranked.target.replica;
  const rate = load.prefillTokensPerSec || UNKNOWN_TOKENS_PER_SEC;
  return (input.request.promptTokens / rate) * 1_000 * NEW_PREFIX_LEAN;
}

/**
 * The target where prompts with these leading blocks meet: first in rendezvous
 * order whose load is not too far over the mean, so that one popular prefix
 * cannot bury its home.
 */
function prefixHome(input: RoutingInput): string | undefined {
  const leading = input.request.prefixHashes[0];
  if (leading === undefined || input.weights.prefixWeight <= 0) {
    return undefined;
  }
  const byAddress = new Map(
    input.targets.map(target => [target.replica.address, target]),
  );
  const mean = meanOf(input.targets.map(workOf));
  const most = (mean + input.request.promptTokens) * factorOf(input);
  return rendezvousNames(leading, [...byAddress.keys()]).find(address => {
    const target = byAddress.get(address);
    return (
      target !== undefined &&
      workOf(target) + input.request.promptTokens <= most
    );
  });
}

function factorOf(input: RoutingInput): number {
  return Math.max(1, input.weights.boundedLoadFactor);
}

/** Prompt tokens ahead at a target. */
function workOf(target: RoutingTarget): number {
  return target.replica.load.prefillBacklogTokens + target.unreportedTokens;
}

function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
