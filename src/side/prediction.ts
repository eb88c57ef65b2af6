/**
 * Predicts when a run will produce its first token and when it will end. The
 * prediction uses the learned rates and the runs that the queue policy puts
 * ahead of it. Offers are refused when the predicted end is too late.
 */
import type {OfferReq} from '../types/peer_messages.js';
import type {OrganisationId} from '../types/ids.js';
import type {SideCore} from './side_core.js';
import {lengthClassesOf, maxConcurrentRuns} from './side_core.js';
import type {QueueItem, QueueView} from './queue_policy.js';
import {classIndexOf} from './queue_policy.js';
import {isHoldOnly, memoryTokensOf, prefillTokensLeft} from './run.js';
import type {Run} from './run.js';

/** Ageing step of the queue until a configuration is known. */
const DEFAULT_AGEING_MS = 10_000;

/** Predicted times of an offer from now, in milliseconds. */
export interface Prediction {
  /** Time to the first token, including the time in the queue. */
  readonly firstTokenMs: number;
  /** Time to the end, including the time in the queue. */
  readonly endMs: number;
  /** Time to the end if its own work takes the minimum time. */
  readonly minEndMs: number;
  /** Minimum time to the end if no other run were ahead. */
  readonly minAloneMs: number;
}

/** Time from start to end for the remaining prefill and decode of a run. */
function serviceMs(
  core: SideCore,
  offer: OfferReq,
  prefillTokens: number,
  tokensLeft: number,
): number {
  if (offer.kind === 'call') return core.rates.callMs();
  return prefillTimeMs(core, offer, prefillTokens) + decodeMs(core, tokensLeft);
}

/** Time from start to end of the whole run of an offer. */
function totalServiceMs(core: SideCore, offer: OfferReq): number {
  const tokens = core.lengths.predictRemaining(offer.maxTokens, 0);
  return serviceMs(core, offer, offer.promptTokens, tokens);
}

/** Prefill time of an offer; the members of a group share the prefill. */
function prefillTimeMs(
  core: SideCore,
  offer: OfferReq,
  tokens: number,
): number {
  return core.rates.prefillMs(tokens) / (offer.group?.size ?? 1);
}

function decodeMs(core: SideCore, tokens: number): number {
  return Math.max(0, tokens) * core.rates.stepMs();
}

/**
 * Minimum time that an offer's own work may take. Until enough answers were
 * recorded this covers only the prefill, because the allowed number of tokens
 * is only an upper bound of the answer's length.
 */
function minServiceMs(core: SideCore, offer: OfferReq): number {
  const {rates, lengths} = core;
  const now = core.ctx.clock.now();
  if (offer.kind === 'call') return rates.minCallMs(now);
  const prefillMs =
    rates.minPrefillMs(offer.promptTokens, now) / (offer.group?.size ?? 1);
  if (!lengths.hasEnoughAnswers()) return prefillMs;
  const tokens = Math.max(0, lengths.predictRemaining(offer.maxTokens, 0));
  return prefillMs + tokens * rates.minStepMs(now);
}

/** A run as the queue policy sees it. */
export function toQueueItem(core: SideCore, run: Run): QueueItem {
  const prefillTokens = prefillTokensLeft(run);
  const tokensLeft = core.lengths.predictRemaining(
    run.offer.maxTokens,
    run.progress.nextToken,
  );
  return {
    dispatchId: run.id,
    organisation: run.offer.organisation,
    weight: run.offer.weight,
    priority: run.offer.priority,
    classIndex: classIndexOf(lengthClassesOf(core), run.offer.promptTokens),
    memoryTokens: run.memoryTokens,
    prefillTokens,
    enqueuedAt: run.offeredAt,
    deadlineAt: run.deadlineAt,
    serviceMs: serviceMs(core, run.offer, prefillTokens, tokensLeft),
  };
}

/** The queue as the policy sees it. */
export function toQueueView(
  core: SideCore,
  waiting: readonly Run[],
  served: ReadonlyMap<OrganisationId, number>,
): QueueView {
  const {memory, config, ctx, table} = core;
  return {
    now: ctx.clock.now(),
    waiting: waiting.map(run => toQueueItem(core, run)),
    running: table
      .runsInSlots()
      .filter(run => !isHoldOnly(run.offer))
      .map(run => toQueueItem(core, run)),
    capacityTokens: memory.capacity(),
    freeTokens: memory.free(),
    maxRunning: maxConcurrentRuns(core),
    classes: lengthClassesOf(core),
    ageingMs: config?.declarations.policy.ageingMs ?? DEFAULT_AGEING_MS,
    served,
  };
}

/** A run that holds memory until it ends. */
interface MemoryHolder {
  readonly memoryTokens: number;
  /** Predicted time until its end. */
  readonly remainingMs: number;
}

/**
 * All holders of memory: running runs and members of groups. Members hold
 * memory without running here. If they were left out, their memory would count
 * as free at once, and waiting runs would get predictions that are too early.
 */
function memoryHoldersOf(
  core: SideCore,
  view: QueueView,
): readonly MemoryHolder[] {
  const now = core.ctx.clock.now();
  const reservations = core.table
    .all()
    .filter(run => isHoldOnly(run.offer) && core.memory.holds(run.id))
    .map(run => ({
      memoryTokens: run.memoryTokens,
      remainingMs: Math.max(0, memoryHoldMs(core, run) - (now - run.offeredAt)),
    }));
  const running = view.running.map(item => ({
    memoryTokens: item.memoryTokens,
    remainingMs: item.serviceMs,
  }));
  return [...reservations, ...running];
}

/** Predicted time for which a group member holds its memory. */
function memoryHoldMs(core: SideCore, run: Run): number {
  const {offer} = run;
  return totalServiceMs(core, offer);
}

/** Predicted time until so many slots and so much memory are free. */
function timeToFreeMs(
  core: SideCore,
  view: QueueView,
  slots: number,
  memoryTokens: number,
): number {
  let missingSlots = slots - (view.maxRunning - view.running.length);
  let missingMemory =
    view.capacityTokens > 0 ? memoryTokens - view.freeTokens : 0;
  if (missingSlots <= 0 && missingMemory <= 0) return 0;
  const soonestFirst = [...memoryHoldersOf(core, view)].sort(
    (a, b) => a.remainingMs - b.remainingMs,
  );
  let elapsedMs = 0;
  for (const item of soonestFirst) {
    elapsedMs = item.remainingMs;
    missingSlots -= 1;
    missingMemory -= item.memoryTokens;
    if (missingSlots <= 0 && missingMemory <= 0) return elapsedMs;
  }
  // The current runs do not free enough: assume as many further rounds of the
  // same duration as the missing slots and memory require.
  const rounds = Math.max(
    missingSlots / Math.max(1, view.maxRunning),
    missingMemory / Math.max(1, view.capacityTokens),
  );
  return elapsedMs * (1 + Math.max(0, rounds));
}

const sum = (numbers: readonly number[]) => numbers.reduce((a, b) => a + b, 0);

/** A new offer as the queue policy sees it. */
function offerToQueueItem(core: SideCore, offer: OfferReq): QueueItem {
  const now = core.ctx.clock.now();
  return {
    dispatchId: offer.dispatchId,
    organisation: offer.organisation,
    weight: offer.weight,
    priority: offer.priority,
    classIndex: classIndexOf(lengthClassesOf(core), offer.promptTokens),
    memoryTokens: memoryTokensOf(offer),
    prefillTokens: offer.promptTokens,
    enqueuedAt: now,
    deadlineAt: now + offer.timeLeftMs,
    serviceMs: totalServiceMs(core, offer),
  };
}

/** Predicts the times of a new offer behind the current queue. */
export function predict(core: SideCore, offer: OfferReq): Prediction {
  const item = offerToQueueItem(core, offer);
  const view = toQueueView(core, core.table.waiting(), new Map());
  const waitingAhead = view.waiting.filter(other =>
    core.options.queuePolicy.waitsFor(view, item, other),
  );
  const runningAhead = view.running.filter(other =>
    core.options.queuePolicy.waitsFor(view, item, other),
  );
  const ahead = [...waitingAhead, ...runningAhead];
  const prefillAheadMs = sum(
    ahead.map(other => core.rates.prefillMs(other.prefillTokens)),
  );
  const blockedMs = timeToFreeMs(
    core,
    view,
    waitingAhead.length + 1,
    sum(waitingAhead.map(other => other.memoryTokens)) + item.memoryTokens,
  );
  const waitMs = Math.max(prefillAheadMs, blockedMs);
  const ownMs =
    offer.kind === 'call'
      ? item.serviceMs
      : prefillTimeMs(core, offer, offer.promptTokens);
  const minMs = minServiceMs(core, offer);
  return {
    firstTokenMs: waitMs + ownMs,
    endMs: waitMs + item.serviceMs,
    minEndMs: waitMs + minMs,
    minAloneMs: minMs,
  };
}

/** Predicted time until so much memory is free. */
export function timeToFreeMemoryMs(
  core: SideCore,
  memoryTokens: number,
): number {
  const view = toQueueView(core, [], new Map());
  return timeToFreeMs(core, view, 0, memoryTokens);
}

/** Predicted time until a slot is free. */
export function timeToFreeSlotMs(core: SideCore): number {
  const view = toQueueView(core, [], new Map());
  return timeToFreeMs(core, view, 1, 0);
}
