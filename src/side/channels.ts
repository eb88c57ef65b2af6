/**
 * Open channels of runs: who talks on them, what was sent, and whether they
 * are still alive. An established connection can go silent for good while new
 * ones work; both ends beat, so that silence shows and the entry can come back
 * on a new one. Closing a channel never ends its run.
 */
import type {DispatchId} from '../types/ids.js';
import type {RunDown} from '../types/peer_messages.js';
import type {RunServerChannel} from '../types/transport.js';
import type {SideCore} from './side_core.js';
import {isFinished} from './run.js';
import type {Run} from './run.js';

interface OpenChannel {
  readonly id: number;
  readonly channel: RunServerChannel;
  dispatchId: DispatchId | undefined;
  /** Next chunk to send. */
  nextSeq: number;
  /** A chunk is on its way and the channel can not take another yet. */
  busy: boolean;
  outcomeSent: boolean;
  /** It is closed once the last frame has gone; nothing more is heard. */
  closing: boolean;
  lastFrameAt: number;
  /** Since when a go or attach is awaited. */
  unboundSince: number;
}

export interface Channels {
  open(channel: RunServerChannel): void;
  /** Notes that a frame came; undefined when the channel is closed. */
  recordFrame(channelId: number): OpenChannelView | undefined;
  /** Makes this the run's channel; an earlier one is closed. */
  bind(channelId: number, run: Run, fromSeq: number): void;
  /** Says something out of turn and closes. */
  closeWith(channelId: number, frame: RunDown | undefined): void;
  /** Sends `started` on the run's channel. */
  sendStarted(run: Run): void;
  /** Sends what the run has and its channel can take. */
  sendPending(run: Run): void;
  markReady(channelId: number): DispatchId | undefined;
  /** Forgets a closed channel; the run it belonged to. */
  remove(channelId: number): ClosedChannel | undefined;
  /** Beats on all; gives the ids of the silent and the idle ones. */
  sweep(): readonly number[];
  /** After a freeze of this process: silence proves nothing. */
  resetSilence(): void;
  closeAll(): void;
  count(): number;
}

export interface OpenChannelView {
  readonly dispatchId: DispatchId | undefined;
}

export interface ClosedChannel {
  readonly dispatchId: DispatchId | undefined;
  readonly outcomeSent: boolean;
}

export function createChannels(core: SideCore): Channels {
  const {ctx, timing} = core;
  const channels = new Map<number, OpenChannel>();
  let lastId = 0;

  /** A send can also fail; its channel's end is told by its frames. */
  const sendFrame = (open: OpenChannel, frame: RunDown) => {
    void open.channel.send(frame).catch(() => undefined);
  };

  const observe = (id: number, channel: RunServerChannel) => {
    const notifyClosed = (clean: boolean) =>
      ctx.send('runs', {kind: 'channel-closed', channelId: id, clean});
    channel.frames
      .observe(frame => ctx.send('runs', {kind: 'frame', channelId: id, frame}))
      .then(
        () => notifyClosed(true),
        () => notifyClosed(false),
      );
  };

  const closeNow = (id: number) => {
    const open = channels.get(id);
    if (open === undefined) return;
    channels.delete(id);
    open.channel.close();
  };

  const sendChunk = (open: OpenChannel, run: Run) => {
    const chunk = run.chunkLog.get(open.nextSeq);
    if (chunk === undefined) return;
    ctx.invariant(chunk.seq === open.nextSeq, 'chunk-seq-without-gap', {
      dispatchId: run.id,
      seq: chunk.seq,
      expected: open.nextSeq,
    });
    open.nextSeq += 1;
    open.busy = true;
    const notifyReady = () =>
      ctx.send('runs', {kind: 'channel-ready', channelId: open.id});
    open.channel.send(chunk).then(notifyReady, notifyReady);
  };

  const sendPending = (run: Run) => {
    const open =
      run.channelId === undefined ? undefined : channels.get(run.channelId);
    if (open === undefined || open.busy) return;
    if (open.nextSeq < run.chunkLog.count()) {
      sendChunk(open, run);
      return;
    }
    if (!isFinished(run) || open.outcomeSent || run.outcome === undefined)
      return;
    open.outcomeSent = true;
    run.outcomeSentAt = ctx.clock.now();
    sendFrame(open, run.outcome);
  };

  // A go or attach that was lost on its way leaves a channel on which both ends
  // only beat. The entry would wait on it for ever, as a run taken up has no
  // time limit there; closed, it attaches anew on another.
  const isUnboundTooLong = (open: OpenChannel, now: number) =>
    open.dispatchId === undefined &&
    now - open.unboundSince > timing.channelSilenceMs;

  return {
    open: channel => {
      const id = ++lastId;
      channels.set(id, {
        id,
        channel,
        dispatchId: undefined,
        nextSeq: 0,
        busy: false,
        outcomeSent: false,
        closing: false,
        lastFrameAt: ctx.clock.now(),
        unboundSince: ctx.clock.now(),
      });
      observe(id, channel);
    },
    recordFrame: id => {
      const open = channels.get(id);
      if (open === undefined || open.closing) return undefined;
      open.lastFrameAt = ctx.clock.now();
      return open;
    },
    bind: (id, run, fromSeq) => {
      const open = channels.get(id);
      if (open === undefined) return;
      if (run.channelId !== undefined && run.channelId !== id) {
        closeNow(run.channelId);
      }
      run.channelId = id;
      run.outcomeSentAt = undefined;
      open.dispatchId = run.id;
      open.nextSeq = fromSeq;
    },
    closeWith: (id, frame) => {
      const open = channels.get(id);
      if (open === undefined || frame === undefined) return closeNow(id);
      open.closing = true;
      // A frame still on its way would be lost by the close.
      const closeAfterSend = () => closeNow(id);
      open.channel.send(frame).then(closeAfterSend, closeAfterSend);
    },
    sendStarted: run => {
      const open =
        run.channelId === undefined ? undefined : channels.get(run.channelId);
      if (open !== undefined) sendFrame(open, {kind: 'started'});
    },
    sendPending,
    markReady: id => {
      const open = channels.get(id);
      if (open !== undefined) open.busy = false;
      return open?.dispatchId;
    },
    remove: id => {
      const open = channels.get(id);
      closeNow(id);
      return open;
    },
    sweep: () => {
      const now = ctx.clock.now();
      const silentIds: number[] = [];
      for (const open of channels.values()) {
        const isSilent = now - open.lastFrameAt > timing.channelSilenceMs;
        if (isSilent || isUnboundTooLong(open, now)) silentIds.push(open.id);
        else sendFrame(open, {kind: 'beat'});
      }
      return silentIds;
    },
    resetSilence: () => {
      for (const open of channels.values()) {
        open.lastFrameAt = ctx.clock.now();
        open.unboundSince = ctx.clock.now();
      }
    },
    closeAll: () => {
      for (const id of [...channels.keys()]) closeNow(id);
    },
    count: () => channels.size,
  };
}
