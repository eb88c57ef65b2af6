/**
 * One connection of a run's channel, watched for silence. A connection may go
 * silent for good while new ones work; without the watch the run would look
 * slow until its deadline.
 */
import type {Address} from '../../types/ids.js';
import type {RunDown, RunUp} from '../../types/peer_messages.js';
import type {Cancel, Clock} from '../../types/runtime.js';
import type {Transport} from '../../types/transport.js';
import type {RequestTiming} from '../timing.js';

export type LinkLoss = 'silent' | 'closed';

export interface RunLink {
  send(frame: RunUp): Promise<void>;
  /** Ends the link without telling its owner. */
  close(): void;
  isClosed(): boolean;
}

export interface RunLinkOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly timing: RequestTiming;
  readonly side: Address;
  /** On a new connection rather than an established one. */
  readonly newConnection: boolean;
  readonly onFrame: (frame: RunDown) => void;
  /** Called once at most, and not after `close`. */
  readonly onLost: (loss: LinkLoss) => void;
}

/** Opens a link; beats are sent and expected from now on. */
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
    // This process was paused: frames may wait in its own socket unread, so
    // the pause is not counted as the peer's silence.
    if (now - nextTickAt > timing.heartbeatMs) lastFrameAt = now;
    nextTickAt = now + timing.heartbeatMs;
    if (now - lastFrameAt > timing.silenceTimeoutMs) {
      lose('silent');
      return;
    }
    void channel.send({kind: 'beat'});
  };

  // A side that lives beats at once on whatever connection. One that is frozen
  // takes connections all the same, its kernel does: with the full silence for
  // each of them its callers would wait on for a run that cannot go on.
  const startFirstFrameTimer = () => {
    const dueAt = clock.now() + timing.firstFrameTimeoutMs;
    cancelFirstFrameTimer = clock.after(timing.firstFrameTimeoutMs, () => {
      // As above: this process was paused itself.
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
