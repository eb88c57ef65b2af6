/**
 * Ownership of runs by entries, as leases kept alive by heartbeats and open
 * channels, and how long what is over is kept.
 */
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {isFinished} from './run.js';
import type {Run} from './run.js';

export interface RunOwners {
  /** An entry said which dispatches it owns. */
  renew(entry: string, owned: readonly string[]): void;
  sweep(): void;
  /** After a freeze of this process: no entry could be heard. */
  resetSilence(): void;
  /** Somebody may still come for the run's outcome. */
  isAwaited(run: Run): boolean;
}

export function createRunOwners(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
): RunOwners {
  const {ctx, table, timing, bounds, tombstones} = core;

  const isOwnerSilent = (run: Run) =>
    run.channelId === undefined &&
    ctx.clock.now() - run.ownerLastSeenAt > timing.holdMs;

  // An entry that died never says so. Its runs would hold memory until their
  // time limit, which for a long prompt is many minutes.
  const cancelOrphans = () => {
    for (const run of table.all()) {
      if (isFinished(run) || run.state === 'offered' || !isOwnerSilent(run))
        continue;
      if (run.offer.kind === 'call' && run.started) continue;
      ctx.log(SIDE_EVENTS.ownerLost, {dispatchId: run.id, owner: run.owner});
      lifecycle.cancel(run, 'owner-lost', `entry ${run.owner} is silent`);
    }
  };

  const isBeingDelivered = (run: Run) =>
    run.channelId !== undefined && run.outcomeSentAt === undefined;

  /** On a channel that lives on, what was sent has arrived by now. */
  const markDelivered = () => {
    const sentBefore = ctx.clock.now() - timing.channelSilenceMs;
    for (const run of table.finished()) {
      if (run.channelId === undefined || run.outcomeSentAt === undefined)
        continue;
      if (run.outcomeSentAt < sentBefore) run.delivered = true;
    }
  };

  const forget = (run: Run) => {
    // An id that can not be remembered stays in the table until it can be.
    if (tombstones.isFull() && tombstones.get(run.id) === undefined) return;
    if (run.channelId !== undefined) {
      channels.closeWith(run.channelId, undefined);
    }
    lifecycle.forget(run);
  };

  const forgetExpired = () => {
    const now = ctx.clock.now();
    const kept: Run[] = [];
    for (const run of table.finished()) {
      if (run.lateCall || isBeingDelivered(run)) continue;
      if (now - run.endedAt > timing.retentionMs) forget(run);
      else kept.push(run);
    }
    forgetOverLimit(kept);
  };

  const forgetOverLimit = (kept: readonly Run[]) => {
    let bytes = kept.reduce((total, run) => total + run.chunkLog.bytes(), 0);
    const oldestFirst = [...kept].sort((a, b) => a.endedAt - b.endedAt);
    for (const run of oldestFirst) {
      if (bytes <= bounds.retentionBytes) return;
      bytes -= run.chunkLog.bytes();
      forget(run);
    }
  };

  return {
    renew: (entry, owned) => {
      for (const id of owned) {
        const run = table.get(id);
        if (run?.owner === entry) run.ownerLastSeenAt = ctx.clock.now();
      }
    },
    sweep: () => {
      tombstones.sweep(ctx.clock.now());
      cancelOrphans();
      markDelivered();
      forgetExpired();
    },
    resetSilence: () => {
      for (const run of table.all()) run.ownerLastSeenAt = ctx.clock.now();
    },
    isAwaited: run =>
      !isFinished(run) || (!run.delivered && !isOwnerSilent(run)),
  };
}
