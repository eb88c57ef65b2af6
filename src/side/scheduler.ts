/**
 * Starts waiting runs in the order of the queue policy and logs each decision.
 */
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import {isUpstreamDown} from './side_core.js';
import type {FairShares} from './fair_shares.js';
import type {Lifecycle} from './lifecycle.js';
import {toQueueItem, toQueueView} from './prediction.js';
import type {QueueChoice, QueueView} from './queue_policy.js';
import type {Run} from './run.js';
import type {UpstreamRunner} from './upstream_runner.js';

/** Starts runs on the upstream. */
export interface Scheduler {
  /** Starts all waiting runs that may start now. */
  startEligible(): void;
  /** Starts a member or lead of a group, whose memory is reserved already. */
  startReserved(run: Run): void;
}

/** Creates the scheduler of one side. */
export function createScheduler(
  core: SideCore,
  shares: FairShares,
  lifecycle: Lifecycle,
  runner: UpstreamRunner,
): Scheduler {
  const {ctx, table} = core;

  /** Fails a run whose time limit has passed; returns whether it did. */
  const failIfLate = (run: Run) => {
    if (ctx.clock.now() < run.deadlineAt) return false;
    lifecycle.fail(run, {
      code: 'deadline-exceeded',
      message: 'the time limit passed in the queue',
    });
    return true;
  };

  const charge = (run: Run) => {
    const {organisation, weight, promptTokens, maxTokens, kind} = run.offer;
    const cost = kind === 'call' ? 1 : promptTokens + maxTokens;
    shares.charge(organisation, cost, weight);
  };

  const logStart = (run: Run, reason: string, view: QueueView) => {
    const now = ctx.clock.now();
    ctx.log(SIDE_EVENTS.runStarted, {
      dispatchId: run.id,
      policy: core.options.queuePolicy.name,
      reason,
      organisation: run.offer.organisation,
      promptTokens: run.offer.promptTokens,
      waitedMs: Math.round(now - run.offeredAt),
      timeLeftMs: Math.round(run.deadlineAt - now),
      memoryTokens: run.memoryTokens,
      freeTokens: view.freeTokens,
      running: view.running.length,
      waiting: view.waiting.map(item => item.dispatchId),
    });
  };

  const start = (run: Run, choice: QueueChoice, view: QueueView) => {
    logStart(run, choice.reason, view);
    charge(run);
    runner.start(run, choice.enginePriority);
  };

  const queued = () => table.all().filter(run => run.state === 'queued');

  const startNext = (): boolean => {
    const waiting = queued().filter(run => run.offer.group === undefined);
    if (waiting.length === 0) return false;
    const view = toQueueView(core, waiting, shares.served());
    const choice = core.options.queuePolicy.choose(view);
    const run = choice && table.get(choice.dispatchId);
    if (choice === undefined || run === undefined) return false;
    start(run, choice, view);
    return true;
  };

  return {
    startEligible: () => {
      for (const run of queued()) failIfLate(run);
      if (isUpstreamDown(core)) return;
      while (startNext());
    },
    startReserved: run => {
      if (failIfLate(run)) return;
      const view = toQueueView(core, [run], shares.served());
      const choice = {
        dispatchId: run.id,
        // The policy sets the priority as for any other run. With its declared
        // priority alone, the long prefill of a group would block short prompts
        // on the lead's engine.
        enginePriority: core.options.queuePolicy.enginePriority(
          toQueueItem(core, run),
        ),
        reason: 'group',
      };
      start(run, choice, view);
    },
  };
}
