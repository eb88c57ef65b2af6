/**
 * Applies the shares of organisations to requests at engines: records each
 * request for its organisation, sets the price of its engine time, recognises
 * repetitions, and says when a rejected caller is to come back.
 */
import type {Clock, Log, Metrics, Random} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {answerRepeat} from '../decide/answer_repeat.js';
import type {RepeatAnswer} from '../decide/answer_repeat.js';
import type {
  PlacingDecision,
  PlacingRefusalReason,
  WaitReason,
} from '../decide/place_or_wait.js';
import type {EngineCandidate} from '../decide/score_engine.js';
import {shareFullness, sharePrice} from '../decide/share_price.js';
import type {ShareCause, SharePrice} from '../decide/share_price.js';
import type {Exchange} from '../exchange.js';
import {shortDigest} from '../crashes/request_digest.js';
import {DECAY_MS} from './engine_time_record.js';
import type {RecordedRequest} from './engine_time_record.js';
import {createOrganisationShares} from './organisation_shares.js';
import type {OrganisationShares} from './organisation_shares.js';
import {createRepeats} from './repeats.js';
import type {RepeatableRequest} from './repeats.js';
import {createReturnTimes} from './return_times.js';

/** Settings of the shares. */
export interface ShareSettings {
  /** Weights by organisation. @default 1 for each */
  readonly weights?: Readonly<Record<string, number>>;
}

/** One request at engines, from its arrival to its end. */
export interface RequestShare {
  /**
   * The answer to a request that repeats another one while the engines are
   * full; undefined where it is served like any other.
   */
  repeatAnswer(
    candidates: () => readonly EngineCandidate[],
  ): RepeatAnswer | undefined;
  /** The price of the request's engine time; undefined where it is as usual. */
  price(): SharePrice | undefined;
  /** Logs and counts a decision that the shares brought about. */
  decided(decision: PlacingDecision): void;
  /** Records that the request was placed with this expected loss of its own. */
  placed(ownLoss: number): void;
  /**
   * Records that the request is rejected, and returns the time after which its
   * caller is to come back, at least `minMs`, in milliseconds.
   */
  rejected(minMs: number): number;
}

export interface RequestShares extends Pick<
  OrganisationShares,
  'merge' | 'nextReport' | 'setEntryCount' | 'reportCount' | 'readings'
> {
  /**
   * Returns the same object for each placement of a request, which is placed
   * again if the replica received nothing of it.
   */
  open(exchange: Exchange, engineMs: number): RequestShare;
  /** Number of rejected requests that are remembered. */
  rememberedCount(): number;
}

export interface RequestSharesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Name of this entry. */
  readonly node: string;
  readonly settings: ShareSettings;
}

/** Stands for the organisation of requests without a key. */
const NO_ORGANISATION = '(no key)';
/** A caller comes back within this share of the time that it has left. */
const RETURN_TIME_LEFT_SHARE = 0.25;
/** Longest time after which a caller comes back, in milliseconds. */
const MAX_RETURN_MS = 5_000;

export function createRequestShares(
  options: RequestSharesOptions,
): RequestShares {
  const {clock, log, metrics, random, node, settings} = options;
  const {weights} = settings;
  const shares = createOrganisationShares({clock, node, weights});
  const repeats = createRepeats(clock);
  const returnTimes = createReturnTimes(clock, random);

  const opened = new WeakMap<Exchange, RequestShare>();
  const create = (exchange: Exchange, engineMs: number): RequestShare => {
    const {route, arrivedAt} = exchange;
    // Until it runs, the request may go to another service, and counts there.
    const recorded = () => recordedOf(exchange, engineMs);
    const repeatable = repeatableOf(exchange);
    const earlier = repeats.earlierOf(repeatable);
    const onEnd = (fn: () => void): void =>
      exchange.signal.addEventListener(
        'abort',
        exchange.guard('shares at the end', fn),
        {once: true},
      );
    onEnd(repeats.runs(repeatable));
    const firstAt = earlier.kind === 'rejected' ? earlier.firstAt : arrivedAt;
    let isAnswered = false;
    let isCounted = false;
    let isPlaced = false;
    /** Why the last decision did not place it, if the shares did that. */
    let heldFor: ShareCause | undefined;
    // A request is counted when it is placed or has ended without that. If it
    // were counted on arrival, those that wait a moment would look unserved.
    const count = () => {
      // What a repetition wants was counted with the first request.
      if (!isCounted && earlier.kind === 'none') {
        // If these were counted by their urgency, a flood of urgent requests
        // would hold back less urgent ones of all other organisations.
        if (heldFor === 'above its share') shares.askedAboveShare(recorded());
        else shares.asked(recorded());
      }
      isCounted = true;
    };
    onEnd(count);
    let lastHeld: string | undefined;

    const logHeld = (outcome: 'waits' | 'refused', cause: ShareCause): void => {
      if (lastHeld === outcome) return;
      lastHeld = outcome;
      const {excess, servedLead, gainLead} = shares.standingOf(recorded());
      log(DIRECT_EVENTS.shareHeld, {
        requestId: exchange.id,
        organisation: recorded().organisation,
        outcome,
        cause,
        excess: Number(excess.toFixed(2)),
        servedLead: Number(servedLead.toFixed(2)),
        gainLead: Number(gainLead.toFixed(2)),
        waitedMs: Math.round(exchange.elapsedMs()),
      });
      const labels = {cause, outcome};
      metrics.count('onyxloft_direct_share_held_total', labels);
    };

    return {
      repeatAnswer: candidates => {
        if (earlier.kind === 'none' || isAnswered) return undefined;
        isAnswered = true;
        const answer = answerRepeat(earlier, {
          now: clock.now(),
          aimMs: route.aimMs,
          fullness: shareFullness(candidates()),
        });
        if (answer !== undefined) logRepeat(options, exchange, answer);
        return answer;
      },
      price: () =>
        sharePrice(
          shares.standingOf(recorded()),
          (clock.now() - firstAt) / route.aimMs,
        ),
      decided: decision => {
        heldFor = undefined;
        if (decision.kind === 'place' || !isShareCause(decision.reason)) return;
        heldFor = decision.reason;
        const outcome = decision.kind === 'wait' ? 'waits' : 'refused';
        logHeld(outcome, decision.reason);
      },
      placed: ownLoss => {
        count();
        if (!isPlaced) shares.placed(recorded(), 1 - ownLoss);
        isPlaced = true;
      },
      rejected: minMs => {
        const maxMs = Math.max(
          minMs,
          Math.min(
            MAX_RETURN_MS,
            exchange.timeLeftMs() * RETURN_TIME_LEFT_SHARE,
          ),
        );
        const usedRate = shares.ownUsedMs(exchange.service) / DECAY_MS;
        // A caller that came back too early keeps the time that it was told.
        const leftMs =
          earlier.kind === 'rejected' ? earlier.comeBackAt - clock.now() : 0;
        const comeBackMs =
          leftMs > minMs
            ? leftMs
            : returnTimes.book(engineMs, usedRate, {minMs, maxMs});
        repeats.rejected(repeatable, firstAt, clock.now() + comeBackMs);
        return comeBackMs;
      },
    };
  };

  const open = (exchange: Exchange, engineMs: number): RequestShare => {
    const share = opened.get(exchange) ?? create(exchange, engineMs);
    opened.set(exchange, share);
    return share;
  };

  return {
    open,
    merge: shares.merge,
    nextReport: shares.nextReport,
    setEntryCount: shares.setEntryCount,
    reportCount: shares.reportCount,
    readings: shares.readings,
    rememberedCount: repeats.rememberedCount,
  };
}

function recordedOf(
  {owner, route, service}: Exchange,
  engineMs: number,
): RecordedRequest {
  return {
    service,
    organisation: owner?.organisation ?? NO_ORGANISATION,
    urgency: owner?.priority ?? route.priority,
    engineMs,
  };
}

function repeatableOf(exchange: Exchange): RepeatableRequest {
  const {owner, route, facts, body} = exchange;
  return {
    outline: JSON.stringify([
      owner?.organisation,
      route.name,
      facts.promptTokens,
      facts.maxTokens,
      body.length,
    ]),
    digest: exchange.digest,
  };
}

function isShareCause(
  reason: WaitReason | PlacingRefusalReason,
): reason is ShareCause {
  return reason === 'above its share' || reason === 'less urgent';
}

function logRepeat(
  {log, metrics}: Pick<RequestSharesOptions, 'log' | 'metrics'>,
  exchange: Exchange,
  {reason, comeBackMs}: RepeatAnswer,
): void {
  log(DIRECT_EVENTS.repeatRefused, {
    requestId: exchange.id,
    digest: shortDigest(exchange.digest()),
    reason,
    comeBackMs: Math.round(comeBackMs),
  });
  metrics.count('onyxloft_direct_repeats_refused_total', {reason});
}
