/** A run's channel on the in-memory network. */
import type {RunDown, RunUp} from '../src/types/peer_messages.js';
import type {Channel, RunChannel} from '../src/types/transport.js';
import {createFrameStream} from '../src/wire/frame_stream.js';
import type {FrameStream} from '../src/wire/frame_stream.js';
import type {CopiedRun, FrameRelay} from './memory_frames.js';
import type {Connection, Endpoint, MemoryLinks} from './memory_links.js';

/** Frames under way in one direction before a sender has to wait. */
const WINDOW = 16;

/** One end, as the other end and the connection see it. */
interface End<In> {
  readonly endpoint: Endpoint;
  readonly frames: FrameStream<In>;
  readonly waiting: Set<() => void>;
  /** Called when this end closes, from here or from there. */
  readonly onClosed: () => void;
  open: boolean;
  underWay: number;
  /** Frames arrive in the order of sending. */
  lastArrivalAt: number;
}

function createEnd<In>(endpoint: Endpoint, onClosed: () => void): End<In> {
  return {
    endpoint,
    onClosed,
    frames: createFrameStream<In>(),
    waiting: new Set(),
    open: true,
    underWay: 0,
    lastArrivalAt: 0,
  };
}

function shut<In>(end: End<In>): boolean {
  if (!end.open) return false;
  end.open = false;
  for (const resolve of end.waiting) resolve();
  end.waiting.clear();
  end.onClosed();
  return true;
}

/** The other end closed, or the connection broke. */
function closedByPeer<In>(end: End<In>): void {
  if (shut(end)) end.frames.end();
}

function createChannel<Out extends RunUp | RunDown, In>(
  links: MemoryLinks,
  relay: FrameRelay,
  conn: Connection,
  own: End<In>,
  other: End<Out>,
): Channel<Out, In> {
  const sendInOrder = (run: () => void): void => {
    links.whenEstablished(conn, () => {
      own.lastArrivalAt = links.send(
        conn,
        other.endpoint,
        run,
        own.lastArrivalAt,
      );
    });
  };

  const taken = (): void => {
    own.underWay--;
    if (own.underWay >= WINDOW) return;
    for (const resolve of own.waiting) resolve();
    own.waiting.clear();
  };

  const arrive = (frame: Out): void => {
    if (other.open) other.frames.push(frame);
  };

  /** Past what is sent meanwhile; nobody waits for it. */
  const sendLate = (frame: Out, laterMs: number): void => {
    links.clock.after(laterMs, () => {
      links.whenEstablished(conn, () => {
        links.send(conn, other.endpoint, () => arrive(frame));
      });
    });
  };

  return {
    frames: own.frames.stream,
    send: sent => {
      if (!own.open) return Promise.resolve();
      own.underWay++;
      const {frame, isDropped, lateMs, againMs} = relay.fateOf(sent);
      sendInOrder(() => {
        if (!isDropped && lateMs === 0) arrive(frame);
        taken();
      });
      if (!isDropped && lateMs > 0) sendLate(frame, lateMs);
      if (againMs !== undefined) sendLate(frame, againMs);
      if (own.underWay < WINDOW) return Promise.resolve();
      return new Promise(resolve => own.waiting.add(resolve));
    },
    close: () => {
      if (!shut(own)) return;
      own.frames.abort();
      sendInOrder(() => closedByPeer(other));
    },
  };
}

/** Notes what is sent, from a go that is to come once more. */
function copySent(
  channel: RunChannel,
  relay: FrameRelay,
  sendCopy: (copy: CopiedRun) => void,
): RunChannel {
  let copy: CopiedRun | undefined;
  return {
    ...channel,
    send: frame => {
      const begun = copy === undefined ? relay.copyOf(frame) : undefined;
      if (begun !== undefined) {
        copy = begun;
        relay.sendLater(() => sendCopy(begun));
      }
      if (COPIED.has(frame.kind)) copy?.frames.push(frame);
      return channel.send(frame);
    },
  };
}

const COPIED: ReadonlySet<string> = new Set<RunUp['kind']>([
  'go',
  'prompt',
  'prompt-end',
]);

/** Opens a run from the dialling end of a connection. */
export function openMemoryRun(
  links: MemoryLinks,
  relay: FrameRelay,
  conn: Connection,
  sendCopy: (copy: CopiedRun) => void,
): RunChannel {
  const entryLost = (): void => closedByPeer(entry);
  const sideLost = (): void => closedByPeer(side);
  const entry = createEnd<RunDown>(conn.from, () => {
    conn.pending.delete(entryLost);
  });
  const side = createEnd<RunUp>(conn.to, () => {
    conn.serving.delete(sideLost);
  });
  conn.pending.add(entryLost);

  const down = createChannel<RunDown, RunUp>(links, relay, conn, side, entry);
  links.whenEstablished(conn, () => {
    entry.lastArrivalAt = links.send(conn, conn.to, () => {
      const run = conn.to.handlers?.run;
      if (run === undefined) {
        down.close();
        return;
      }
      conn.serving.add(sideLost);
      run(down);
    });
  });
  const up = createChannel<RunUp, RunDown>(links, relay, conn, entry, side);
  return copySent(up, relay, sendCopy);
}
