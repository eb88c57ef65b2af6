/**
 * Splits a stream of server-sent events into complete events. A replica may
 * fail in the middle of an event. Since only complete events are forwarded, the
 * stream can resume at another replica without partial or duplicate data.
 */

/** One event, up to and including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id` field; undefined when it is missing or no number. */
  readonly id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A line feed, a carriage return and another line feed. */
const MAX_BLANK_LINE_BYTES = 3;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export interface EventSplitter {
  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Bytes received of the event that is not complete yet. */
  pendingBytes(): number;
}

export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  /** The memory that `pending` is a part of, with room behind it. */
  let room: Buffer | undefined;
  /** No event ends before this offset. */
  let searchedTo = 0;
  /** A copy of what is pending for each chunk would make long events dear. */
  const append = (chunk: Buffer): void => {
    if (pending.length === 0) {
      pending = chunk;
      room = undefined;
      return;
    }
    const bytes = pending.length + chunk.length;
    const from = room === undefined ? 0 : pending.byteOffset - room.byteOffset;
    if (room === undefined || from + bytes > room.length) {
      room = Buffer.allocUnsafeSlow(bytes * 2);
      pending.copy(room);
      chunk.copy(room, pending.length);
      pending = room.subarray(0, bytes);
      return;
    }
    chunk.copy(room, from + pending.length);
    pending = room.subarray(from, from + bytes);
  };
  return {
    push: chunk => {
      append(chunk);
      const events: StreamEvent[] = [];
      for (;;) {
        const end = findEventEnd(pending, searchedTo);
        if (end < 0) {
          searchedTo = Math.max(0, pending.length - MAX_BLANK_LINE_BYTES);
          return events;
        }
        searchedTo = 0;
        events.push(parseEvent(pending.subarray(0, end)));
        pending = pending.subarray(end);
      }
    },
    pendingBytes: () => pending.length,
  };
}

/** Offset just after the first blank line; -1 when there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0;) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) next++;
    if (bytes[next] === LINE_FEED) return next + 1;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return {bytes, id: id === undefined ? undefined : Number(id)};
}
