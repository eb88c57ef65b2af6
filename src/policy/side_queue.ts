/**
 * Queue policies of a side; they select the waiting run that starts next.
 *
 * `classQueue` orders runs by urgency level, which combines length class,
 * priority and age. Within a level it prefers the organisation that has
 * received the least service for its weight, and then the run with the least
 * slack. It limits the concurrent runs of each length class. While any run is
 * running, it keeps the memory floor of a class free from runs of longer
 * classes.
 *
 * `fcfsQueue` serves in order of arrival and is the baseline for comparisons.
 */
import type {
  QueueChoice,
  QueueItem,
  QueuePolicy,
  QueueView,
} from '../side/queue_policy.js';

/**
 * Distance between the engine priorities of two neighbouring length classes. At
 * the engine, a shorter class precedes a longer one whatever the runs' own
 * priorities are, as long as these are below this number. Otherwise a long
 * prefill would block short prompts on the engine.
 */
const PRIORITIES_PER_CLASS = 100;
/**
 * With `fcfsQueue`, all runs get this engine priority, so the engine serves by
 * arrival.
 */
const FCFS_ENGINE_PRIORITY = 0;
/**
 * A run that has been queued for this many ageing steps and cannot start for
 * lack of memory is overtaken only by runs of the shortest class that fit into
 * the unused part of that class's memory floor. The steps count from when the
 * run was queued, whatever it waited for.
 */
const OLD_RUN_STEPS = 3;

/**
 * Milliseconds between the predicted end of the run, if it started now, and its
 * deadline.
 */
function slackMs(view: QueueView, item: QueueItem): number {
  return item.deadlineAt - view.now - item.serviceMs;
}

/** Whole ageing steps since the run was queued. */
function ageingSteps(view: QueueView, item: QueueItem): number {
  return Math.floor((view.now - item.enqueuedAt) / view.ageingMs);
}

/**
 * Level of the run in the queue; lower levels start first. Each ageing step
 * lowers the level by one. A class counts as much as one step here, so that a
 * long run catches up with newer short ones after a few steps.
 */
function urgencyLevel(view: QueueView, item: QueueItem): number {
  return item.classIndex + item.priority - ageingSteps(view, item);
}

/**
 * Service that the run's organisation has received. The values in `view.served`
 * are already divided by the organisation's weight.
 */
function servicePerWeight(view: QueueView, item: QueueItem): number {
  return view.served.get(item.organisation) ?? 0;
}

/**
 * Whether the limits on concurrent runs of the side and of the run's class allow
 * one more run. A class with a limit of 0 is not limited.
 */
function hasFreeSlot(view: QueueView, item: QueueItem): boolean {
  if (view.running.length >= view.maxRunning) return false;
  const maxRunning = view.classes[item.classIndex]?.maxRunning ?? 0;
  if (maxRunning === 0) return true;
  const sameClass = view.running.filter(r => r.classIndex === item.classIndex);
  return sameClass.length < maxRunning;
}

/** Sum of the unused memory floors of all shorter classes, in tokens. */
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

/**
 * Whether the run fits into the free memory without using the memory floors of
 * shorter classes. While nothing runs, it may use these too. Always true where
 * the upstream has no memory to account for, which a capacity of 0 means.
 */
function fitsMemory(view: QueueView, item: QueueItem): boolean {
  if (view.capacityTokens === 0) return true;
  if (item.memoryTokens > view.freeTokens) return false;
  // An idle engine may also use the memory floors. Otherwise a run that needs
  // more than the memory without the floors would never start.
  if (view.running.length === 0) return true;
  return item.memoryTokens <= view.freeTokens - unusedShorterFloors(view, item);
}

/** Unused memory floor of the shortest class, in tokens. */
function shortestFloorLeft(view: QueueView): number {
  const floorTokens = (view.classes[0]?.memoryFloor ?? 0) * view.capacityTokens;
  const usedTokens = view.running
    .filter(r => r.classIndex === 0)
    .reduce((sum, r) => sum + r.memoryTokens, 0);
  return Math.max(0, floorTokens - usedTokens);
}

/** Compares runs by level, service received, slack and arrival, in that order. */
function byUrgency(view: QueueView): (a: QueueItem, b: QueueItem) => number {
  return (a, b) =>
    urgencyLevel(view, a) - urgencyLevel(view, b) ||
    servicePerWeight(view, a) - servicePerWeight(view, b) ||
    slackMs(view, a) - slackMs(view, b) ||
    a.enqueuedAt - b.enqueuedAt;
}

/** Priority of the run at the engine; 0 is the most urgent. */
function enginePriorityOf(item: QueueItem): number {
  return item.classIndex * PRIORITIES_PER_CLASS + item.priority;
}

/** The choice that starts the run. */
function choiceOf(item: QueueItem, reason: string): QueueChoice {
  return {
    dispatchId: item.dispatchId,
    enginePriority: enginePriorityOf(item),
    reason,
  };
}

/** The first run in order of urgency that may start now, if any. */
function chooseMostUrgent(view: QueueView): QueueChoice | undefined {
  const order = [...view.waiting].sort(byUrgency(view));
  let isOldRunBlocked = false;
  for (const item of order) {
    if (!hasFreeSlot(view, item)) continue;
    // If short runs always took the memory that becomes free, a long run would
    // never start. After an old run that could not start for lack of memory,
    // only runs of the shortest class that fit into the unused part of its
    // memory floor may start.
    const mayStart = !isOldRunBlocked || fitsShortestFloor(view, item);
    if (mayStart && fitsMemory(view, item)) {
      return choiceOf(item, reasonOf(view, item, order));
    }
    if (ageingSteps(view, item) >= OLD_RUN_STEPS) isOldRunBlocked = true;
  }
  return undefined;
}

/**
 * Whether the run belongs to the shortest class and fits into the unused part of
 * its memory floor.
 */
function fitsShortestFloor(view: QueueView, item: QueueItem): boolean {
  return item.classIndex === 0 && item.memoryTokens <= shortestFloorLeft(view);
}

/**
 * Why the run was chosen, for the log: runs before it could not start, it is
 * the first and has aged by a step or more, or it is the first and has not.
 */
function reasonOf(
  view: QueueView,
  item: QueueItem,
  order: readonly QueueItem[],
): string {
  if (order[0] !== item) return 'fits-before-blocked';
  return ageingSteps(view, item) > 0 ? 'aged' : 'most-urgent';
}

/**
 * Orders runs by urgency level, which combines length class, priority and age,
 * and then by fair share, slack and arrival.
 */
export const classQueue: QueuePolicy = {
  name: 'class',
  choose: chooseMostUrgent,
  enginePriority: enginePriorityOf,
  // `item` waits for all runs at its own level and at lower ones. Fair share
  // and slack do not count.
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

/**
 * First come, first served. While the run that arrived first cannot start, no
 * other run starts.
 */
export const fcfsQueue: QueuePolicy = {
  name: 'fcfs',
  choose: chooseFirstCome,
  enginePriority: () => FCFS_ENGINE_PRIORITY,
  waitsFor: (_view, item, other) => other.enqueuedAt <= item.enqueuedAt,
};
