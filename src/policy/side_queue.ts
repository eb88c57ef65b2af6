/**
 * Queue policies of a side. `classQueue` keeps memory and places for short
 * prompts, ages what waits, shares between organisations by weight and takes
 * the least slack first; `fcfsQueue` is the baseline.
 */
import type {
  QueueChoice,
  QueueItem,
  QueuePolicy,
  QueueView,
} from '../side/queue_policy.js';

/** Engine priorities of one length class; declared ones lie within. */
const PRIORITIES_PER_CLASS = 100;
/** Without classes the engine serves in order of arrival. */
const FIRST_COME_PRIORITY = 0;
/** A run that waited this many ageing steps is not overtaken for memory. */
const PATIENCE_STEPS = 3;

function slackOf(view: QueueView, item: QueueItem): number {
  return item.deadlineAt - view.now - item.serviceMs;
}

function agedSteps(view: QueueView, item: QueueItem): number {
  return Math.floor((view.now - item.enqueuedAt) / view.ageingMs);
}

/** Lower goes first; each ageing step lifts by one. */
function levelOf(view: QueueView, item: QueueItem): number {
  return item.classIndex + item.priority - agedSteps(view, item);
}

function servedOf(view: QueueView, item: QueueItem): number {
  return view.served.get(item.organisation) ?? 0;
}

function hasPlace(view: QueueView, item: QueueItem): boolean {
  if (view.running.length >= view.maxRunning) return false;
  const most = view.classes[item.classIndex]?.maxRunning ?? 0;
  if (most === 0) return true;
  const same = view.running.filter(r => r.classIndex === item.classIndex);
  return same.length < most;
}

/** Memory that shorter classes have kept free and do not use yet. */
function keptForShorter(view: QueueView, item: QueueItem): number {
  let kept = 0;
  for (let index = 0; index < item.classIndex; index++) {
    const floor = (view.classes[index]?.memoryFloor ?? 0) * view.capacityTokens;
    const used = view.running
      .filter(r => r.classIndex === index)
      .reduce((sum, r) => sum + r.memoryTokens, 0);
    kept += Math.max(0, floor - used);
  }
  return kept;
}

function fitsMemory(view: QueueView, item: QueueItem): boolean {
  if (view.capacityTokens === 0) return true;
  if (item.memoryTokens > view.freeTokens) return false;
  // A prompt over the unkept part would never start: alone, it may.
  if (view.running.length === 0) return true;
  return item.memoryTokens <= view.freeTokens - keptForShorter(view, item);
}

/** The floor of the shortest class that is still unused. */
function floorLeft(view: QueueView): number {
  const floor = (view.classes[0]?.memoryFloor ?? 0) * view.capacityTokens;
  const used = view.running
    .filter(r => r.classIndex === 0)
    .reduce((sum, r) => sum + r.memoryTokens, 0);
  return Math.max(0, floor - used);
}

function byUrgency(view: QueueView): (a: QueueItem, b: QueueItem) => number {
  return (a, b) =>
    levelOf(view, a) - levelOf(view, b) ||
    servedOf(view, a) - servedOf(view, b) ||
    slackOf(view, a) - slackOf(view, b) ||
    a.enqueuedAt - b.enqueuedAt;
}

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

function chooseByClass(view: QueueView): QueueChoice | undefined {
  const order = [...view.waiting].sort(byUrgency(view));
  let patientWaits = false;
  for (const item of order) {
    if (!hasPlace(view, item)) continue;
    // Short runs would take each piece of memory that gets free, and a long
    // one would wait for ever: once it has waited long enough, only what stays
    // within the short floor passes it.
    const passes = !patientWaits || mayPass(view, item);
    if (passes && fitsMemory(view, item)) {
      return choiceOf(item, reasonOf(view, item, order));
    }
    if (agedSteps(view, item) >= PATIENCE_STEPS) patientWaits = true;
  }
  return undefined;
}

function mayPass(view: QueueView, item: QueueItem): boolean {
  return item.classIndex === 0 && item.memoryTokens <= floorLeft(view);
}

function reasonOf(
  view: QueueView,
  item: QueueItem,
  order: readonly QueueItem[],
): string {
  if (order[0] !== item) return 'fits-before-blocked';
  return agedSteps(view, item) > 0 ? 'aged' : 'most-urgent';
}

/** Length classes, ageing, fair shares, least slack. */
export const classQueue: QueuePolicy = {
  name: 'class',
  choose: chooseByClass,
  enginePriority: enginePriorityOf,
  waitsFor: (view, item, other) => levelOf(view, other) <= levelOf(view, item),
};

function chooseFirst(view: QueueView): QueueChoice | undefined {
  const [first] = [...view.waiting].sort((a, b) => a.enqueuedAt - b.enqueuedAt);
  if (first === undefined) return undefined;
  if (view.running.length >= view.maxRunning) return undefined;
  const counted = view.capacityTokens > 0;
  if (counted && first.memoryTokens > view.freeTokens) return undefined;
  return {
    dispatchId: first.dispatchId,
    enginePriority: FIRST_COME_PRIORITY,
    reason: 'first-come',
  };
}

/** First come, first served. */
export const fcfsQueue: QueuePolicy = {
  name: 'fcfs',
  choose: chooseFirst,
  enginePriority: () => FIRST_COME_PRIORITY,
  waitsFor: (_view, item, other) => other.enqueuedAt <= item.enqueuedAt,
};
