/**
 * Declares the interface of a queue policy, which selects the waiting run that
 * starts next. Policies are pure functions of a view of the queue; see
 * `policy/side_queue.ts`.
 */
import type {LengthClass} from '../types/config.js';
import type {DispatchId, OrganisationId} from '../types/ids.js';

/** A waiting or running run, as a policy sees it. */
export interface QueueItem {
  readonly dispatchId: DispatchId;
  readonly organisation: OrganisationId;
  /** Weight of the organisation for fair shares. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Index into the view's classes. */
  readonly classIndex: number;
  /** Memory that the run needs, in tokens. */
  readonly memoryTokens: number;
  /** Prompt tokens not yet prefilled. */
  readonly prefillTokens: number;
  /** Clock time when the offer was accepted. */
  readonly enqueuedAt: number;
  /** Clock time of the run's time limit. */
  readonly deadlineAt: number;
  /** Predicted time from start to end when nothing else runs. */
  readonly serviceMs: number;
}

/** State of the queue and the upstream. */
export interface QueueView {
  /** Clock time of this view. */
  readonly now: number;
  /** Runs that could start. */
  readonly waiting: readonly QueueItem[];
  readonly running: readonly QueueItem[];
  /** Memory of the upstream in tokens; 0 when it has none to account for. */
  readonly capacityTokens: number;
  /** Unreserved memory in tokens. */
  readonly freeTokens: number;
  /** Maximum number of concurrent runs. */
  readonly maxRunning: number;
  /** Length classes, shortest first. */
  readonly classes: readonly LengthClass[];
  /** Waiting time that raises a run's urgency by one level. */
  readonly ageingMs: number;
  /** Service received by each organisation, divided by its weight. */
  readonly served: ReadonlyMap<OrganisationId, number>;
}

/** The run to start next. */
export interface QueueChoice {
  readonly dispatchId: DispatchId;
  /** Priority at the engine; 0 is the most urgent. */
  readonly enginePriority: number;
  /** Why this run was chosen, for the log. */
  readonly reason: string;
}

/** Selects the order in which waiting runs start. */
export interface QueuePolicy {
  /** Name of the policy, for the log. */
  readonly name: string;
  /** The run to start now; undefined if none may start. */
  choose(view: QueueView): QueueChoice | undefined;
  /** Priority of a run at the engine; 0 is the most urgent. */
  enginePriority(item: QueueItem): number;
  /** Whether `item` waits for the prefill of `other`. */
  waitsFor(view: QueueView, item: QueueItem, other: QueueItem): boolean;
}

/** Index of the first class that fits so many prompt tokens, else the last. */
export function classIndexOf(
  classes: readonly LengthClass[],
  promptTokens: number,
): number {
  const index = classes.findIndex(c => promptTokens <= c.maxTokens);
  return index < 0 ? Math.max(0, classes.length - 1) : index;
}
