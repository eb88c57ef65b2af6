/**
 * Cuts a stream of server-sent events into whole events. A replica may break
 * off in the middle of one; handing on only whole events lets the stream go on
 * from another replica without a torn or doubled piece.
 */

/** One event with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined where the event has no number. */
  readonly id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export interface EventSplitter {
  /** The events that are whole now. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Bytes of an event that is not whole yet. */
  pendingBytes(): number;
}

export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: chunk => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      for (;;) {
        const end = endOfEvent(pending);
        if (end < 0) return events;
        events.push(eventOf(pending.subarray(0, end)));
        pending = pending.subarray(end);
      }
    },
    pendingBytes: () => pending.length,
  };
}

/** Just after the first blank line; -1 when there is none. */
function endOfEvent(bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0;) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) next++;
    if (bytes[next] === LINE_FEED) return next + 1;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function eventOf(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {bytes, id: id === undefined ? undefined : Number(id)};
}
