/**
 * Manages the ownership of runs by entries. Ownership is a lease that an open
 * channel or the entry's heartbeats renew; a run whose owner is silent is
 * cancelled. This module also removes finished runs after their retention.
 */
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {isFinished} from './run.js';
import type {Run} from './run.js';

/** Leases of entries on runs. */
export interface RunOwners {
  /** Renews the leases on the dispatches that an entry's heartbeat lists. */
  renew(entry: string, owned: readonly string[]): void;
  /** Cancels runs of silent owners and removes expired runs and tombstones. */
  sweep(): void;
  /**
   * Renews all leases. Needed after this process was frozen, when it could not
   * receive heartbeats from any entry.
   */
  resetSilence(): void;
  /** Whether the run is active or its owner may still fetch the outcome. */
  isAwaited(run: Run): boolean;
}

/** Creates the leases of one side. */
export function createRunOwners(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
): RunOwners {
  const {ctx, table, timing, bounds, tombstones} = core;

  const isOwnerSilent = (run: Run) =>
    run.channelId === undefined &&
    ctx.clock.now() - run.ownerLastSeenAt > timing.holdMs;

  // An entry that crashed does not cancel its runs. They would hold memory
  // until their time limit, which for a long prompt is many minutes.
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

  /**
   * Marks outcomes as delivered whose channel stayed open for the channel
   * silence limit after the send.
   */
  const markDelivered = () => {
    const sentBefore = ctx.clock.now() - timing.channelSilenceMs;
    for (const run of table.finished()) {
      if (run.channelId === undefined || run.outcomeSentAt === undefined)
        continue;
      if (run.outcomeSentAt < sentBefore) run.delivered = true;
    }
  };

  const forget = (run: Run) => {
    // Without space for a tombstone, the run stays in the table so that its id
    // is not forgotten.
    if (tombstones.isFull() && tombstones.get(run.id) === undefined) return;
    if (run.channelId !== undefined) {
      channels.closeWith(run.channelId, undefined);
    }
    lifecycle.forget(run);
  };

  const forgetExpired = () => {
    const now = ctx.clock.now();
    const retained: Run[] = [];
    for (const run of table.finished()) {
      if (run.lateCall || isBeingDelivered(run)) continue;
      if (now - run.endedAt > timing.retentionMs) forget(run);
      else retained.push(run);
    }
    forgetOverLimit(retained);
  };

  /** Removes the oldest finished runs while the kept answers are too large. */
  const forgetOverLimit = (retained: readonly Run[]) => {
    let bytes = retained.reduce(
      (total, run) => total + run.chunkLog.bytes(),
      0,
    );
    const oldestFirst = [...retained].sort((a, b) => a.endedAt - b.endedAt);
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
