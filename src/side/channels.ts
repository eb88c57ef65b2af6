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
import {isOver} from './run.js';
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
  dismissed: boolean;
  heardAt: number;
  /** Since when a go or attach is awaited. */
  awaitedSince: number;
}

export interface Channels {
  open(channel: RunServerChannel): void;
  /** Notes that a frame came; undefined when the channel is closed. */
  heard(channelId: number): OpenChannelView | undefined;
  /** Makes this the run's channel; an earlier one is closed. */
  bind(channelId: number, run: Run, fromSeq: number): void;
  /** Says something out of turn and closes. */
  dismiss(channelId: number, frame: RunDown | undefined): void;
  /** Sends `started` on the run's channel. */
  sendStarted(run: Run): void;
  /** Sends what the run has and its channel can take. */
  pump(run: Run): void;
  ready(channelId: number): DispatchId | undefined;
  /** Forgets a closed channel; the run it belonged to. */
  closed(channelId: number): ClosedChannel | undefined;
  /** Beats on all; gives the ids of the silent and the idle ones. */
  sweep(): readonly number[];
  /** After a freeze of this process: silence proves nothing. */
  forgive(): void;
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
  const say = (open: OpenChannel, frame: RunDown) => {
    void open.channel.send(frame).catch(() => undefined);
  };

  const observe = (id: number, channel: RunServerChannel) => {
    const ended = (clean: boolean) =>
      ctx.send('runs', {kind: 'channel-closed', channelId: id, clean});
    channel.frames
      .observe(frame => ctx.send('runs', {kind: 'frame', channelId: id, frame}))
      .then(
        () => ended(true),
        () => ended(false),
      );
  };

  const drop = (id: number) => {
    const open = channels.get(id);
    if (open === undefined) return;
    channels.delete(id);
    open.channel.close();
  };

  const sendChunk = (open: OpenChannel, run: Run) => {
    const chunk = run.log.get(open.nextSeq);
    if (chunk === undefined) return;
    ctx.invariant(chunk.seq === open.nextSeq, 'chunk-seq-without-gap', {
      dispatchId: run.id,
      seq: chunk.seq,
      expected: open.nextSeq,
    });
    open.nextSeq += 1;
    open.busy = true;
    const ready = () =>
      ctx.send('runs', {kind: 'channel-ready', channelId: open.id});
    open.channel.send(chunk).then(ready, ready);
  };

  const pump = (run: Run) => {
    const open =
      run.channelId === undefined ? undefined : channels.get(run.channelId);
    if (open === undefined || open.busy) return;
    if (open.nextSeq < run.log.count()) {
      sendChunk(open, run);
      return;
    }
    if (!isOver(run) || open.outcomeSent || run.outcome === undefined) return;
    open.outcomeSent = true;
    run.toldAt = ctx.clock.now();
    say(open, run.outcome);
  };

  // A go or attach that was lost on its way leaves a channel on which both ends
  // only beat. The entry would wait on it for ever, as a run taken up has no
  // time limit there; closed, it attaches anew on another.
  const isIdle = (open: OpenChannel, now: number) =>
    open.dispatchId === undefined &&
    now - open.awaitedSince > timing.channelSilenceMs;

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
        dismissed: false,
        heardAt: ctx.clock.now(),
        awaitedSince: ctx.clock.now(),
      });
      observe(id, channel);
    },
    heard: id => {
      const open = channels.get(id);
      if (open === undefined || open.dismissed) return undefined;
      open.heardAt = ctx.clock.now();
      return open;
    },
    bind: (id, run, fromSeq) => {
      const open = channels.get(id);
      if (open === undefined) return;
      if (run.channelId !== undefined && run.channelId !== id) {
        drop(run.channelId);
      }
      run.channelId = id;
      run.toldAt = undefined;
      open.dispatchId = run.id;
      open.nextSeq = fromSeq;
    },
    dismiss: (id, frame) => {
      const open = channels.get(id);
      if (open === undefined || frame === undefined) return drop(id);
      open.dismissed = true;
      // A frame still on its way would be lost by the close.
      const gone = () => drop(id);
      open.channel.send(frame).then(gone, gone);
    },
    sendStarted: run => {
      const open =
        run.channelId === undefined ? undefined : channels.get(run.channelId);
      if (open !== undefined) say(open, {kind: 'started'});
    },
    pump,
    ready: id => {
      const open = channels.get(id);
      if (open !== undefined) open.busy = false;
      return open?.dispatchId;
    },
    closed: id => {
      const open = channels.get(id);
      drop(id);
      return open;
    },
    sweep: () => {
      const now = ctx.clock.now();
      const silent: number[] = [];
      for (const open of channels.values()) {
        const isSilent = now - open.heardAt > timing.channelSilenceMs;
        if (isSilent || isIdle(open, now)) silent.push(open.id);
        else say(open, {kind: 'beat'});
      }
      return silent;
    },
    forgive: () => {
      for (const open of channels.values()) {
        open.heardAt = ctx.clock.now();
        open.awaitedSince = ctx.clock.now();
      }
    },
    closeAll: () => {
      for (const id of [...channels.keys()]) drop(id);
    },
    count: () => channels.size,
  };
}
