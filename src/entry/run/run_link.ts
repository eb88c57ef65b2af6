/**
 * One connection of a run's channel, monitored for silence. A connection may go
 * silent permanently while new ones work. Without the monitoring, such a run
 * would look slow until its deadline.
 */
import type {Address} from '../../types/ids.js';
import type {RunDown, RunUp} from '../../types/peer_messages.js';
import type {Cancel, Clock} from '../../types/runtime.js';
import type {Transport} from '../../types/transport.js';
import type {RequestTiming} from '../timing.js';

/** Why a link was lost: no frames for too long, or closed by the other end. */
export type LinkLoss = 'silent' | 'closed';

/** An open connection to a run. */
export interface RunLink {
  send(frame: RunUp): Promise<void>;
  /** Closes the link without calling `onLost`. */
  close(): void;
  isClosed(): boolean;
}

export interface RunLinkOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly timing: RequestTiming;
  readonly side: Address;
  /** True to open a new connection instead of using an established one. */
  readonly newConnection: boolean;
  readonly onFrame: (frame: RunDown) => void;
  /** Called at most once, and not after `close`. */
  readonly onLost: (loss: LinkLoss) => void;
}

/** Opens a link; from then on heartbeats are sent and expected. */
export function openRunLink(options: RunLinkOptions): RunLink {
  const {clock, timing} = options;
  const channel = options.transport.openRun(
    options.side,
    options.newConnection,
  );
  let isClosed = false;
  let lastFrameAt = clock.now();
  let nextTickAt = clock.now() + timing.heartbeatMs;
  let cancelFirstFrameTimer: Cancel = () => undefined;

  const close = () => {
    if (isClosed) return;
    isClosed = true;
    cancelTicks();
    cancelFirstFrameTimer();
    channel.close();
  };

  const lose = (loss: LinkLoss) => {
    if (isClosed) return;
    close();
    options.onLost(loss);
  };

  const tick = () => {
    const now = clock.now();
    // This process was paused. Frames may be waiting unread in its own socket,
    // so the pause is not counted as silence of the peer.
    if (now - nextTickAt > timing.heartbeatMs) lastFrameAt = now;
    nextTickAt = now + timing.heartbeatMs;
    if (now - lastFrameAt > timing.silenceTimeoutMs) {
      lose('silent');
      return;
    }
    void channel.send({kind: 'beat'});
  };

  // A running side sends a heartbeat at once on any connection. The kernel of a
  // frozen side still accepts connections. Waiting for the full silence timeout
  // on each of them would delay its callers for a run that cannot continue.
  const startFirstFrameTimer = () => {
    const dueAt = clock.now() + timing.firstFrameTimeoutMs;
    cancelFirstFrameTimer = clock.after(timing.firstFrameTimeoutMs, () => {
      // As above, this process was paused.
      if (clock.now() - dueAt > timing.heartbeatMs) startFirstFrameTimer();
      else lose('silent');
    });
  };

  const cancelTicks = clock.every(timing.heartbeatMs, tick);
  channel.frames
    .observe(frame => {
      if (isClosed) return;
      cancelFirstFrameTimer();
      lastFrameAt = clock.now();
      options.onFrame(frame);
    })
    .then(
      () => lose('closed'),
      () => lose('closed'),
    );

  if (options.newConnection) startFirstFrameTimer();

  return {
    send: frame => channel.send(frame),
    close,
    isClosed: () => isClosed,
  };
}
