/**
 * Accepts or refuses offers of runs. An accepted offer is queued and lapses if
 * no `go` follows. A duplicate of an offer gets the same reply as the first.
 */
import type {
  OfferAccepted,
  OfferRefused,
  OfferReq,
  OfferRes,
  RefusalReason,
} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import {isUpstreamDown} from './side_core.js';
import type {FairShares} from './fair_shares.js';
import type {Prediction} from './prediction.js';
import {timeToFreeMemoryMs, timeToFreeSlotMs, predict} from './prediction.js';
import {createRun, isFinished, memoryTokensOf} from './run.js';
import type {Run} from './run.js';

/** Minimum delay before a retry; applies when the prediction is shorter. */
const MIN_RETRY_AFTER_MS = 100;
/** Sent when this side can never accept the offer: the entry does not retry. */
const NO_RETRY_MS = 0;

/** Why an offer is refused, and when a retry makes sense. */
interface Refusal {
  readonly reason: RefusalReason;
  /** 0 when a retry at this side does not help. */
  readonly retryAfterMs: number;
}

/** Handles offers of runs. */
export interface Offers {
  /** Accepts or refuses an offer. */
  offer(req: OfferReq): OfferRes;
}

/** Creates the handling of offers; `startTimers` is called on acceptance. */
export function createOffers(
  core: SideCore,
  shares: FairShares,
  startTimers: (run: Run) => void,
): Offers {
  const {ctx, table, tombstones, memory, bounds, timing, incarnation} = core;

  const refusedResponse = (refusal: Refusal): OfferRefused => ({
    kind: 'refused',
    incarnation,
    reason: refusal.reason,
    retryAfterMs: Math.ceil(refusal.retryAfterMs),
  });

  const hasModel = (req: OfferReq) => {
    const upstreamKind = core.options.upstream.kind;
    if (req.kind === 'call') return upstreamKind === 'service';
    return core.upstream.models.some(
      state =>
        state.ready &&
        state.model === req.model &&
        (req.adapter === '' || state.adapters.includes(req.adapter)),
    );
  };

  const isQueueFull = (req: OfferReq) => {
    const waiting = table.waiting();
    const waitingTokens = waiting.reduce(
      (sum, r) => sum + r.offer.promptTokens,
      0,
    );
    // An offer whose id could not be tombstoned is not accepted: without a
    // tombstone, a late copy of it could run.
    if (tombstones.isFull()) return true;
    if (waiting.length >= bounds.maxQueued) return true;
    return (
      waiting.length > 0 &&
      waitingTokens + req.promptTokens > bounds.maxQueuedTokens
    );
  };

  /** Refuses an offer that the side cannot serve in its current state. */
  const checkState = (req: OfferReq): Refusal | undefined => {
    if (req.incarnation !== incarnation) {
      return {reason: 'incarnation', retryAfterMs: NO_RETRY_MS};
    }
    if (core.leaving) return {reason: 'leaving', retryAfterMs: NO_RETRY_MS};
    if (isUpstreamDown(core)) {
      return {reason: 'engine-down', retryAfterMs: timing.upstreamDownMs};
    }
    if (!hasModel(req)) return {reason: 'no-model', retryAfterMs: NO_RETRY_MS};
    return undefined;
  };

  /** Refuses an offer for lack of memory or of space in the queue. */
  const checkCapacity = (req: OfferReq): Refusal | undefined => {
    const neededTokens = memoryTokensOf(req);
    if (neededTokens > memory.capacity() && req.kind === 'completion') {
      return {reason: 'full', retryAfterMs: NO_RETRY_MS};
    }
    if (req.group !== undefined && neededTokens > memory.free()) {
      const retryAfterMs = Math.max(
        MIN_RETRY_AFTER_MS,
        timeToFreeMemoryMs(core, neededTokens),
      );
      return {reason: 'full', retryAfterMs};
    }
    if (isQueueFull(req)) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, timeToFreeSlotMs(core));
      return {reason: 'queue-full', retryAfterMs};
    }
    return undefined;
  };

  /** Refuses an offer that cannot end within its time limit. */
  const checkDeadline = (
    req: OfferReq,
    prediction: Prediction,
  ): Refusal | undefined => {
    if (prediction.minEndMs <= req.timeLeftMs) return undefined;
    const fitsAlone = prediction.minAloneMs <= req.timeLeftMs;
    const excessMs = prediction.minEndMs - req.timeLeftMs;
    if (!fitsAlone) core.rates.recordRefusal(ctx.clock.now());
    return {
      reason: 'too-late',
      retryAfterMs: fitsAlone ? excessMs : NO_RETRY_MS,
    };
  };

  const refuse = (req: OfferReq, refusal: Refusal): OfferRefused => {
    const answer = refusedResponse(refusal);
    // An offer to an earlier incarnation may be a late copy of one whose run
    // started there. With a tombstone for a refused offer, the side would tell
    // the entry that the run did not execute, and it would run twice. No
    // tombstone is needed: the incarnation check alone refuses its go.
    if (refusal.reason !== 'incarnation') {
      tombstones.add(
        {
          dispatchId: req.dispatchId,
          organisation: req.organisation,
          started: false,
          answer,
        },
        ctx.clock.now(),
      );
    }
    ctx.metrics.count('onyxloft_side_refusals_total', {reason: refusal.reason});
    ctx.log(SIDE_EVENTS.offerRefused, {
      dispatchId: req.dispatchId,
      reason: refusal.reason,
      promptTokens: req.promptTokens,
      timeLeftMs: req.timeLeftMs,
      retryAfterMs: answer.retryAfterMs,
    });
    return answer;
  };

  const activeOrganisations = () =>
    table
      .all()
      .filter(run => !isFinished(run))
      .map(run => run.offer.organisation);

  const accept = (req: OfferReq, prediction: Prediction): OfferAccepted => {
    const answer: OfferAccepted = {
      kind: 'accepted',
      incarnation,
      predictedFirstTokenMs: prediction.firstTokenMs,
      lapseMs: timing.offerLapseMs,
    };
    const run = createRun({offer: req, answer, now: ctx.clock.now()});
    shares.join(req.organisation, activeOrganisations());
    table.add(run);
    // A group starts with all members or not at all. A member's memory is
    // reserved at its offer so that it is still free when the lead starts.
    // Otherwise two groups could wait for each other.
    if (req.group !== undefined) memory.reserve(run.id, run.memoryTokens);
    startTimers(run);
    ctx.log(SIDE_EVENTS.offerAccepted, {
      dispatchId: req.dispatchId,
      organisation: req.organisation,
      promptTokens: req.promptTokens,
      predictedFirstTokenMs: Math.round(prediction.firstTokenMs),
      predictedEndMs: Math.round(prediction.endMs),
    });
    return answer;
  };

  /** The reply to a duplicate of a known offer; undefined for a new one. */
  const previousResponse = (req: OfferReq): OfferRes | undefined => {
    const tombstone = tombstones.get(req.dispatchId);
    if (tombstone !== undefined) {
      const tombstoned = {
        reason: 'tombstoned',
        retryAfterMs: NO_RETRY_MS,
      } as const;
      return tombstone.answer ?? refusedResponse(tombstoned);
    }
    return table.get(req.dispatchId)?.answer;
  };

  const decide = (req: OfferReq): OfferRes => {
    const refusal = checkState(req) ?? checkCapacity(req);
    if (refusal !== undefined) return refuse(req, refusal);
    const prediction = predict(core, req);
    const deadlineRefusal = checkDeadline(req, prediction);
    if (deadlineRefusal !== undefined) return refuse(req, deadlineRefusal);
    return accept(req, prediction);
  };

  return {offer: req => previousResponse(req) ?? decide(req)};
}
