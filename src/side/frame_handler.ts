/**
 * Handles frames that entries send on the channels of runs. A `go` with the
 * prompt starts an accepted offer, an `attach` resumes a run's answer, and a
 * `cancel` ends the run.
 */
import type {
  Attach,
  Go,
  PromptEnd,
  RunFailed,
  RunUp,
} from '../types/peer_messages.js';
import type {Ran} from '../types/errors.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {isHoldOnly, isFinished} from './run.js';
import type {Run} from './run.js';

/** Handles the frames and the end of each channel. */
export interface FrameHandler {
  /** Handles one frame from an entry. */
  handle(channelId: number, frame: RunUp): void;
  /**
   * The channel was closed; `clean` when the other end closed it. Its run
   * continues unless its prompt is still incomplete.
   */
  channelClosed(channelId: number, clean: boolean): void;
  /** Fails a run whose missing prompt frames did not arrive in time. */
  promptGapExpired(run: Run): void;
}

/** Actions of other parts of the service that frames trigger. */
export interface FrameActions {
  /** Sets the timer of the run's time limit. */
  readonly watchDeadline: (run: Run) => void;
  /** Starts a group's member or lead, whose memory is reserved already. */
  readonly startReserved: (run: Run) => void;
}

/** Creates the frame handler of one side. */
export function createFrameHandler(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
  actions: FrameActions,
): FrameHandler {
  const {ctx, table, tombstones, timing} = core;

  const failedFrame = (
    dispatchId: string,
    code: string,
    ran: Ran,
    message: string,
  ): RunFailed => ({
    kind: 'failed',
    dispatchId,
    ran,
    code,
    message,
    retryAfterMs: 0,
  });

  const refuseGo = (channelId: number, frame: RunFailed) => {
    ctx.log(SIDE_EVENTS.goRefused, {
      dispatchId: frame.dispatchId,
      code: frame.code,
      ran: frame.ran,
    });
    channels.closeWith(channelId, frame);
  };

  /** Refuses a go without an accepted offer and tombstones its dispatch. */
  const refuseGoWithoutOffer = (channelId: number, id: string) => {
    const tombstone = tombstones.get(id);
    const recorded =
      tombstone !== undefined ||
      tombstones.add(
        {dispatchId: id, organisation: '', started: false, answer: undefined},
        ctx.clock.now(),
      );
    const ran =
      tombstone?.started === true ? 'yes' : recorded ? 'no' : 'unknown';
    const message = 'there is no accepted offer for this dispatch';
    refuseGo(channelId, failedFrame(id, 'tombstoned', ran, message));
  };

  /** A second go for a dispatch whose run has another channel or is finished. */
  const handleDuplicateGo = (channelId: number, run: Run) => {
    if (run.channelId === channelId) return;
    if (run.started || !isFinished(run)) {
      // The run may execute: a reply of `ran: 'no'` would let it run twice.
      channels.closeWith(channelId, undefined);
      return;
    }
    const message = 'the offer of this dispatch is over';
    refuseGo(channelId, failedFrame(run.id, 'tombstoned', 'no', message));
  };

  const handleGo = (channelId: number, frame: Go) => {
    const {dispatchId} = frame;
    if (frame.incarnation !== core.incarnation) {
      // A copy of this go may have run before the restart, which lost the
      // record of it. Whether it ran is therefore unknown.
      const message = 'the side was restarted since the offer';
      refuseGo(
        channelId,
        failedFrame(dispatchId, 'incarnation', 'unknown', message),
      );
      return;
    }
    const run = table.get(dispatchId);
    if (run === undefined) {
      refuseGoWithoutOffer(channelId, dispatchId);
    } else if (run.state !== 'offered') {
      handleDuplicateGo(channelId, run);
    } else {
      acceptGo(channelId, run, frame);
    }
  };

  const acceptGo = (channelId: number, run: Run, frame: Go) => {
    const now = ctx.clock.now();
    run.state = 'receiving';
    run.call = frame.call;
    run.ownerLastSeenAt = now;
    run.deadlineAt = Math.min(run.deadlineAt, now + frame.timeLeftMs);
    actions.watchDeadline(run);
    channels.bind(channelId, run, 0);
    if (isHoldOnly(run.offer)) actions.startReserved(run);
  };

  const queueIfPromptComplete = (run: Run) => {
    if (run.state !== 'receiving' || !run.prompt.isComplete()) return;
    run.state = 'queued';
    core.queueChanged = true;
    if (run.offer.group !== undefined) actions.startReserved(run);
  };

  const handlePromptEnd = (run: Run, frame: PromptEnd) => {
    if (run.state !== 'receiving' || run.prompt.hasFrameCount()) return;
    run.prompt.setFrameCount(frame.count);
    queueIfPromptComplete(run);
    if (run.state !== 'receiving') return;
    run.timers.push(
      ctx.clock.after(timing.promptGapMs, () =>
        ctx.send('runs', {
          kind: 'due',
          dispatchId: run.id,
          timer: 'prompt-gap',
        }),
      ),
    );
  };

  const handleCancel = (run: Run) => {
    // A call that was sent may not be repeated, so it runs to its end.
    if (run.offer.kind === 'call' && run.started) return;
    lifecycle.cancel(run, 'cancelled', 'the entry cancelled the run');
  };

  const handleRunFrame = (channelId: number, run: Run, frame: RunUp) => {
    if (run.channelId !== channelId) return;
    run.ownerLastSeenAt = ctx.clock.now();
    switch (frame.kind) {
      case 'prompt':
        if (run.state !== 'receiving') return;
        run.prompt.put(frame.seq, frame.data);
        return queueIfPromptComplete(run);
      case 'prompt-end':
        return handlePromptEnd(run, frame);
      case 'cancel':
        return handleCancel(run);
      case 'go':
      case 'attach':
      case 'ack':
      case 'beat':
        return;
    }
  };

  const rejectNotFound = (channelId: number, id: string) => {
    const message = 'there is no such run here';
    channels.closeWith(
      channelId,
      failedFrame(id, 'not-found', 'unknown', message),
    );
  };

  /** An attach to a dispatch that is not in the run table. */
  const rejectTombstonedAttach = (channelId: number, frame: Attach) => {
    const tombstone = tombstones.get(frame.dispatchId);
    if (
      tombstone === undefined ||
      tombstone.organisation !== frame.organisation
    ) {
      rejectNotFound(channelId, frame.dispatchId);
      return;
    }
    const ran = tombstone.started ? 'yes' : 'no';
    const message = tombstone.started
      ? 'the answer is no longer kept'
      : 'the dispatch was refused, lapsed or abandoned';
    const outcome = failedFrame(frame.dispatchId, 'tombstoned', ran, message);
    channels.closeWith(channelId, outcome);
  };

  const supersededFrame = (run: Run) => {
    const ran = run.started ? 'yes' : 'unknown';
    return failedFrame(
      run.id,
      'superseded',
      ran,
      `entry ${run.owner} owns the run`,
    );
  };

  const handleAttach = (channelId: number, frame: Attach) => {
    const run = table.get(frame.dispatchId);
    if (run === undefined) return rejectTombstonedAttach(channelId, frame);
    // Another organisation must not learn that the run exists.
    if (run.offer.organisation !== frame.organisation) {
      return rejectNotFound(channelId, frame.dispatchId);
    }
    if (run.owner !== frame.entry) {
      // A caller that resumed at another entry has moved its run there. The
      // first entry sees only a broken channel and attaches again. If that were
      // accepted, the first entry would take the run back and cancel it, since
      // it has no caller for the run.
      if (frame.takeOver !== true) {
        channels.closeWith(channelId, supersededFrame(run));
        return;
      }
      if (run.channelId !== undefined) {
        channels.closeWith(run.channelId, supersededFrame(run));
        run.channelId = undefined;
      }
      ctx.log(SIDE_EVENTS.runTakenOver, {
        dispatchId: run.id,
        from: run.owner,
        to: frame.entry,
        fromSeq: frame.fromSeq,
      });
    }
    run.owner = frame.entry;
    run.ownerLastSeenAt = ctx.clock.now();
    run.delivered = false;
    channels.bind(channelId, run, frame.fromSeq);
    // Only part of the prompt arrived, and it cannot be sent again.
    if (run.state === 'offered' || run.state === 'receiving') {
      failIncompletePrompt(run);
      return;
    }
    if (run.started) channels.sendStarted(run);
    channels.sendPending(run);
  };

  const failIncompletePrompt = (run: Run) =>
    lifecycle.fail(run, {
      code: 'prompt-incomplete',
      message: 'the prompt did not arrive whole',
      ran: 'no',
    });

  return {
    handle: (channelId, frame) => {
      const open = channels.recordFrame(channelId);
      if (open === undefined) return;
      if (open.dispatchId !== undefined) {
        const run = table.get(open.dispatchId);
        if (run !== undefined) handleRunFrame(channelId, run, frame);
      } else if (frame.kind === 'go') {
        handleGo(channelId, frame);
      } else if (frame.kind === 'attach') {
        handleAttach(channelId, frame);
      }
    },
    channelClosed: (channelId, clean) => {
      const channel = channels.remove(channelId);
      if (channel?.dispatchId === undefined) return;
      const run = table.get(channel.dispatchId);
      if (run === undefined || run.channelId !== channelId) return;
      run.channelId = undefined;
      run.delivered ||= clean && channel.outcomeSent;
      if (run.state === 'receiving') failIncompletePrompt(run);
    },
    promptGapExpired: run => {
      if (run.state === 'receiving') failIncompletePrompt(run);
    },
  };
}
