/**
 * The queue policy's face: which waiting run starts next. Policies are pure
 * functions of a view of the queue; see `policy/side_queue.ts`.
 */
import type {LengthClass} from '../types/config.js';
import type {DispatchId, OrganisationId} from '../types/ids.js';

/** A run that waits or runs. */
export interface QueueItem {
  readonly dispatchId: DispatchId;
  readonly organisation: OrganisationId;
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Index into the view's classes. */
  readonly classIndex: number;
  readonly memoryTokens: number;
  /** Prompt tokens not yet prefilled. */
  readonly prefillTokens: number;
  /** When the offer was accepted. */
  readonly enqueuedAt: number;
  readonly deadlineAt: number;
  /** Predicted time from start to end, nothing else running. */
  readonly serviceMs: number;
}

export interface QueueView {
  readonly now: number;
  /** Runs that could start. */
  readonly waiting: readonly QueueItem[];
  readonly running: readonly QueueItem[];
  /** 0 when the upstream has no memory to count. */
  readonly capacityTokens: number;
  readonly freeTokens: number;
  readonly maxRunning: number;
  readonly classes: readonly LengthClass[];
  readonly ageingMs: number;
  /** Service got by each organisation, divided by its weight. */
  readonly served: ReadonlyMap<OrganisationId, number>;
}

export interface QueueChoice {
  readonly dispatchId: DispatchId;
  /** 0 is the most urgent at the engine. */
  readonly enginePriority: number;
  readonly reason: string;
}

export interface QueuePolicy {
  readonly name: string;
  /** The run to start now, if any may. */
  choose(view: QueueView): QueueChoice | undefined;
  /** Priority at the engine; 0 is the most urgent. */
  enginePriority(item: QueueItem): number;
  /** Whether `item` waits for the prefill of `other`. */
  waitsFor(view: QueueView, item: QueueItem, other: QueueItem): boolean;
}

/** Index of the first class that holds a prompt of so many tokens. */
export function classIndexOf(
  classes: readonly LengthClass[],
  promptTokens: number,
): number {
  const index = classes.findIndex(c => promptTokens <= c.maxTokens);
  return index < 0 ? Math.max(0, classes.length - 1) : index;
}
