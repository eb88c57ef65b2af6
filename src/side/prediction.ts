/**
 * Predicts when a run will give its first token and when it will end, from
 * the learned rates and what is ahead of it under the queue policy.
 */
import type {OfferReq} from '../types/peer_messages.js';
import type {OrganisationId} from '../types/ids.js';
import type {SideCore} from './side_core.js';
import {lengthClassesOf, maxConcurrentRuns} from './side_core.js';
import type {QueueItem, QueueView} from './queue_policy.js';
import {classIndexOf} from './queue_policy.js';
import {isHoldOnly, memoryTokensOf, prefillTokensLeft} from './run.js';
import type {Run} from './run.js';

const DEFAULT_AGEING_MS = 10_000;

export interface Prediction {
  readonly firstTokenMs: number;
  /** Time to the end, the queue included. */
  readonly endMs: number;
  /** The same at the least that its own work may take. */
  readonly minEndMs: number;
  /** The least time to the end if nothing were ahead. */
  readonly minAloneMs: number;
}

/** Time from start to end of a run with so much prefill and decode left. */
function serviceMs(
  core: SideCore,
  offer: OfferReq,
  prefillTokens: number,
  tokensLeft: number,
): number {
  if (offer.kind === 'call') return core.rates.callMs();
  return prefillTimeMs(core, offer, prefillTokens) + decodeMs(core, tokensLeft);
}

function totalServiceMs(core: SideCore, offer: OfferReq): number {
  const tokens = core.lengths.predictRemaining(offer.maxTokens, 0);
  return serviceMs(core, offer, offer.promptTokens, tokens);
}

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
 * The least that an offer's own work may take. Until answers were seen only its
 * first token counts: what it is allowed says how long it gets at most.
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

/** The queue as a policy sees it. */
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
      .occupyingSlots()
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

/** What holds memory and frees it when it ends. */
interface MemoryHolder {
  readonly memoryTokens: number;
  readonly remainingMs: number;
}

/**
 * Members of groups hold memory without running here. Left out, they would be
 * taken for memory that is free at once, and what waits for it would be
 * promised a time that it cannot have.
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

function memoryHoldMs(core: SideCore, run: Run): number {
  const {offer} = run;
  return totalServiceMs(core, offer);
}

/** Time until what runs has freed so many places and so much memory. */
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
  // More is ahead than runs: so many more rounds of what runs.
  const rounds = Math.max(
    missingSlots / Math.max(1, view.maxRunning),
    missingMemory / Math.max(1, view.capacityTokens),
  );
  return elapsedMs * (1 + Math.max(0, rounds));
}

const sum = (numbers: readonly number[]) => numbers.reduce((a, b) => a + b, 0);

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

/** Time until so much memory is free, as predicted. */
export function timeToFreeMemoryMs(
  core: SideCore,
  memoryTokens: number,
): number {
  const view = toQueueView(core, [], new Map());
  return timeToFreeMs(core, view, 0, memoryTokens);
}

/** Time until a place is free, as predicted. */
export function timeToFreeSlotMs(core: SideCore): number {
  const view = toQueueView(core, [], new Map());
  return timeToFreeMs(core, view, 1, 0);
}
