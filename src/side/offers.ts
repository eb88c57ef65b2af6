/**
 * Takes or refuses offers. An offer that is taken has a place in the queue; it
 * lapses without a go. A copy of an offer gets the answer of the first.
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

/** Least time to come back where nothing better is known. */
const MIN_RETRY_AFTER_MS = 100;
/** Coming back does not help: this side can never run it in its time. */
const NO_RETRY_MS = 0;

interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

export interface Offers {
  offer(req: OfferReq): OfferRes;
}

/** `watch` sets the timers of an accepted run. */
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
    const tokens = waiting.reduce((sum, r) => sum + r.offer.promptTokens, 0);
    // Without room to remember an id, a late copy of it could run: no offer is
    // taken that could not be buried.
    if (tombstones.isFull()) return true;
    if (waiting.length >= bounds.maxQueued) return true;
    return (
      waiting.length > 0 && tokens + req.promptTokens > bounds.maxQueuedTokens
    );
  };

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

  const checkCapacity = (req: OfferReq): Refusal | undefined => {
    const neededTokens = memoryTokensOf(req);
    if (neededTokens > memory.capacity() && req.kind === 'completion') {
      return {reason: 'full', retryAfterMs: NO_RETRY_MS};
    }
    if (req.group !== undefined && neededTokens > memory.free()) {
      const afterMs = Math.max(
        MIN_RETRY_AFTER_MS,
        timeToFreeMemoryMs(core, neededTokens),
      );
      return {reason: 'full', retryAfterMs: afterMs};
    }
    if (isQueueFull(req)) {
      const afterMs = Math.max(MIN_RETRY_AFTER_MS, timeToFreeSlotMs(core));
      return {reason: 'queue-full', retryAfterMs: afterMs};
    }
    return undefined;
  };

  const checkDeadline = (
    req: OfferReq,
    prediction: Prediction,
  ): Refusal | undefined => {
    if (prediction.minEndMs <= req.timeLeftMs) return undefined;
    const fitsAlone = prediction.minAloneMs <= req.timeLeftMs;
    const excess = prediction.minEndMs - req.timeLeftMs;
    if (!fitsAlone) core.rates.recordRefusal(ctx.clock.now());
    return {reason: 'too-late', retryAfterMs: fitsAlone ? excess : NO_RETRY_MS};
  };

  const refuse = (req: OfferReq, refusal: Refusal): OfferRefused => {
    const answer = refusedResponse(refusal);
    // A late copy of an offer to an earlier incarnation may be of a run that
    // started there: buried as refused, it would be called "not run" to the
    // entry that comes back for it, and run twice. Its go is refused by the
    // incarnation alone.
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
    // Members of a group are all or nothing: what a member promised must still
    // be free when its lead goes, or two groups could wait for each other.
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

  /** The answer that a copy of a known offer gets. */
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
