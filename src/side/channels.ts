/**
 * Manages the open channels between entries and runs: which run each channel
 * serves, which chunk it sends next, and when a frame last arrived. An
 * established connection can stop delivering data without an error while new
 * connections work. Both ends therefore send heartbeats, and a silent channel
 * is closed so that the entry reconnects. Closing a channel never ends its run.
 */
import type {DispatchId} from '../types/ids.js';
import type {RunDown} from '../types/peer_messages.js';
import type {RunServerChannel} from '../types/transport.js';
import type {SideCore} from './side_core.js';
import {isFinished} from './run.js';
import type {Run} from './run.js';

/** State of one open channel. */
interface OpenChannel {
  readonly id: number;
  readonly channel: RunServerChannel;
  /** The run's dispatch; undefined until a go or attach has arrived. */
  dispatchId: DispatchId | undefined;
  /** Sequence number of the next chunk to send. */
  nextSeq: number;
  /** A chunk is being sent and the channel cannot accept another yet. */
  busy: boolean;
  outcomeSent: boolean;
  /** A last frame is being sent; later incoming frames are ignored. */
  closing: boolean;
  /** Clock time in milliseconds when the last frame arrived. */
  lastFrameAt: number;
  /** Clock time in milliseconds since which a go or attach is awaited. */
  unboundSince: number;
}

/** The open channels of one side, by channel id. */
export interface Channels {
  /** Registers a new channel and observes its frames. */
  open(channel: RunServerChannel): void;
  /** Records that a frame arrived; undefined when the channel is closed. */
  recordFrame(channelId: number): OpenChannelView | undefined;
  /**
   * Makes this the run's channel and `fromSeq` the next chunk to send on it. An
   * earlier channel of the run is closed.
   */
  bind(channelId: number, run: Run, fromSeq: number): void;
  /** Sends a last frame, if one is given, and closes the channel. */
  closeWith(channelId: number, frame: RunDown | undefined): void;
  /** Sends `started` on the run's channel. */
  sendStarted(run: Run): void;
  /** Sends the next chunk or the outcome if the run's channel can accept it. */
  sendPending(run: Run): void;
  /** Records that the channel can accept a frame; returns its dispatch. */
  markReady(channelId: number): DispatchId | undefined;
  /** Removes a closed channel and returns its last state. */
  remove(channelId: number): ClosedChannel | undefined;
  /**
   * Sends a heartbeat on each live channel. Returns the ids of channels that
   * are silent or have waited too long for a go or attach.
   */
  sweep(): readonly number[];
  /**
   * Counts the silence of all channels from now on. Needed after this process
   * was frozen: it could not receive frames, so silence shows no fault.
   */
  resetSilence(): void;
  closeAll(): void;
  count(): number;
}

/** An open channel, as its frame handler sees it. */
export interface OpenChannelView {
  /** Undefined until a go or attach has arrived. */
  readonly dispatchId: DispatchId | undefined;
}

/** Last state of a closed channel. */
export interface ClosedChannel {
  readonly dispatchId: DispatchId | undefined;
  /** The run's outcome was sent on this channel. */
  readonly outcomeSent: boolean;
}

/** Creates an empty set of channels. */
export function createChannels(core: SideCore): Channels {
  const {ctx, timing} = core;
  const channels = new Map<number, OpenChannel>();
  let lastId = 0;

  /** Ignores a failed send: the end of `frames` reports a broken channel. */
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

  // After a lost go or attach, both ends of the channel send only heartbeats.
  // An entry that attached to an existing run has no time limit for it and
  // would wait forever. Closing the channel makes it attach on a new one.
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
      // Closing before the send completes would lose the frame.
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
