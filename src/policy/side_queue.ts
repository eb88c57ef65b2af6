/**
 * Queue policies of a side. `classQueue` reserves memory for short prompts,
 * limits the runs of a length class, raises waiting runs with age, shares service
 * between organisations by weight, and starts the run with the least slack first.
 * `fcfsQueue` serves in order of arrival and is the baseline for comparisons.
 */
import type {
  QueueChoice,
  QueueItem,
  QueuePolicy,
  QueueView,
} from '../side/queue_policy.js';

/** Engine priorities per length class; a run's own priority is added to them. */
const PRIORITIES_PER_CLASS = 100;
/** With one priority for all runs, the engine serves in order of arrival. */
const FCFS_ENGINE_PRIORITY = 0;
/**
 * Once a run has waited this many ageing steps for memory, other runs overtake it
 * only within the memory floor of the shortest class.
 */
const MAX_OVERTAKEN_STEPS = 3;

/** Time left to the deadline after the predicted service time. */
function slackMs(view: QueueView, item: QueueItem): number {
  return item.deadlineAt - view.now - item.serviceMs;
}

/** Whole ageing steps that the run has waited. */
function ageingSteps(view: QueueView, item: QueueItem): number {
  return Math.floor((view.now - item.enqueuedAt) / view.ageingMs);
}

/** Lower levels start first; each ageing step lowers the level by one. */
function urgencyLevel(view: QueueView, item: QueueItem): number {
  return item.classIndex + item.priority - ageingSteps(view, item);
}

/** Service that the run's organisation has received, divided by its weight. */
function servedShare(view: QueueView, item: QueueItem): number {
  return view.served.get(item.organisation) ?? 0;
}

/** Whether the limits of the side and of the run's class allow one more run. */
function hasFreeSlot(view: QueueView, item: QueueItem): boolean {
  if (view.running.length >= view.maxRunning) return false;
  const maxRunning = view.classes[item.classIndex]?.maxRunning ?? 0;
  if (maxRunning === 0) return true;
  const sameClass = view.running.filter(r => r.classIndex === item.classIndex);
  return sameClass.length < maxRunning;
}

/** Unused memory that is reserved for shorter classes, in tokens. */
function unusedShorterFloors(view: QueueView, item: QueueItem): number {
  let reservedTokens = 0;
  for (let index = 0; index < item.classIndex; index++) {
    const floorTokens =
      (view.classes[index]?.memoryFloor ?? 0) * view.capacityTokens;
    const usedTokens = view.running
      .filter(r => r.classIndex === index)
      .reduce((sum, r) => sum + r.memoryTokens, 0);
    reservedTokens += Math.max(0, floorTokens - usedTokens);
  }
  return reservedTokens;
}

/** Whether the free memory suffices, without the reserves of shorter classes. */
function fitsMemory(view: QueueView, item: QueueItem): boolean {
  if (view.capacityTokens === 0) return true;
  if (item.memoryTokens > view.freeTokens) return false;
  // A prompt larger than the unreserved memory would never start otherwise. It
  // may start on an idle engine.
  if (view.running.length === 0) return true;
  return item.memoryTokens <= view.freeTokens - unusedShorterFloors(view, item);
}

/** Unused part of the shortest class's memory floor, in tokens. */
function unusedShortestFloor(view: QueueView): number {
  const floorTokens = (view.classes[0]?.memoryFloor ?? 0) * view.capacityTokens;
  const usedTokens = view.running
    .filter(r => r.classIndex === 0)
    .reduce((sum, r) => sum + r.memoryTokens, 0);
  return Math.max(0, floorTokens - usedTokens);
}

/** Compares runs by level, served share, slack and arrival, in that order. */
function byUrgency(view: QueueView): (a: QueueItem, b: QueueItem) => number {
  return (a, b) =>
    urgencyLevel(view, a) - urgencyLevel(view, b) ||
    servedShare(view, a) - servedShare(view, b) ||
    slackMs(view, a) - slackMs(view, b) ||
    a.enqueuedAt - b.enqueuedAt;
}

/** Priority of the run at the engine; 0 is the most urgent. */
function enginePriorityOf(item: QueueItem): number {
  return item.classIndex * PRIORITIES_PER_CLASS + item.priority;
}

function choiceOf(item: QueueItem, reason: string): QueueChoice {
  return {
    dispatchId: item.dispatchId,
    enginePriority: enginePriorityOf(item),
    reason,
  };
}

/** The most urgent run that may start now, if any. */
function chooseByClass(view: QueueView): QueueChoice | undefined {
  const order = [...view.waiting].sort(byUrgency(view));
  let isOldRunBlocked = false;
  for (const item of order) {
    if (!hasFreeSlot(view, item)) continue;
    // Short runs would take all memory that becomes free, and a long run would
    // never start. Once it has waited long enough, only runs that fit into the
    // memory floor of the shortest class may start before it.
    const mayStart = !isOldRunBlocked || fitsShortestFloor(view, item);
    if (mayStart && fitsMemory(view, item)) {
      return choiceOf(item, reasonOf(view, item, order));
    }
    if (ageingSteps(view, item) >= MAX_OVERTAKEN_STEPS) isOldRunBlocked = true;
  }
  return undefined;
}

/** Whether the run fits into the memory floor of the shortest class. */
function fitsShortestFloor(view: QueueView, item: QueueItem): boolean {
  return (
    item.classIndex === 0 && item.memoryTokens <= unusedShortestFloor(view)
  );
}

/** Reason for the choice, for the log line of the start. */
function reasonOf(
  view: QueueView,
  item: QueueItem,
  order: readonly QueueItem[],
): string {
  if (order[0] !== item) return 'fits-before-blocked';
  return ageingSteps(view, item) > 0 ? 'aged' : 'most-urgent';
}

/** Queue with length classes, ageing, fair shares and least slack first. */
export const classQueue: QueuePolicy = {
  name: 'class',
  choose: chooseByClass,
  enginePriority: enginePriorityOf,
  waitsFor: (view, item, other) =>
    urgencyLevel(view, other) <= urgencyLevel(view, item),
};

/** The run that arrived first, if it may start now. */
function chooseFirstCome(view: QueueView): QueueChoice | undefined {
  const [first] = [...view.waiting].sort((a, b) => a.enqueuedAt - b.enqueuedAt);
  if (first === undefined) return undefined;
  if (view.running.length >= view.maxRunning) return undefined;
  const countsMemory = view.capacityTokens > 0;
  if (countsMemory && first.memoryTokens > view.freeTokens) return undefined;
  return {
    dispatchId: first.dispatchId,
    enginePriority: FCFS_ENGINE_PRIORITY,
    reason: 'first-come',
  };
}

/** First come, first served; the first run blocks all others. */
export const fcfsQueue: QueuePolicy = {
  name: 'fcfs',
  choose: chooseFirstCome,
  enginePriority: () => FCFS_ENGINE_PRIORITY,
  waitsFor: (_view, item, other) => other.enqueuedAt <= item.enqueuedAt,
};
