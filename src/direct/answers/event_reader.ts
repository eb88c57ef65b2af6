/**
 * Reads the events of a stream and tells when its bytes go on without a new
 * event: within one that never ends, in comments, or in events that came before.
 */
import {createEventSplitter} from '../streams/event_splitter.js';
import type {EventSplitter, StreamEvent} from '../streams/event_splitter.js';
import {createFruitlessBytes} from '../../utils/fruitless_bytes.js';

/** Bytes for which each piece counts besides its own. */
const PIECE_BYTES = 16;
/** Largest sum without a new event; events have some hundred bytes. */
const MAX_BYTES_WITHOUT_EVENT = 1024 * 1024;
/**
 * Longest time of sending without a new event, in milliseconds. It is half of
 * the shortest time for which a caller waits for an event, so that another
 * replica can still answer.
 */
const MAX_MS_WITHOUT_EVENT = 1_000;
const DATA_LINE = /^data/m;

export interface EventReader extends Pick<EventSplitter, 'pendingBytes'> {
  /**
   * Adds bytes that came in so many pieces, and returns the events that they
   * complete. @default one piece
   */
  push(chunk: Buffer, pieces?: number): readonly StreamEvent[];
  /** Whether too much has come since the last new event. */
  isEndless(): boolean;
}

export interface EventReaderOptions {
  now(): number;
  /** Whether an event without an id is none that can be resumed after. */
  readonly needsIds: boolean;
}

export function createEventReader(options: EventReaderOptions): EventReader {
  const splitter = createEventSplitter();
  const fruitless = createFruitlessBytes({
    maxBytes: MAX_BYTES_WITHOUT_EVENT,
    maxMs: MAX_MS_WITHOUT_EVENT,
  });
  let isEndless = false;
  /** Of this reader: a replica may begin again at events that the caller has. */
  let highestId = Number.NEGATIVE_INFINITY;

  const isNew = ({id, bytes}: StreamEvent): boolean => {
    if (id === undefined) {
      return !options.needsIds && DATA_LINE.test(bytes.toString('latin1'));
    }
    if (id <= highestId) return false;
    highestId = id;
    return true;
  };
  return {
    push: (chunk, pieces = 1) => {
      const events = splitter.push(chunk);
      const bytes = chunk.length + pieces * PIECE_BYTES;
      isEndless = fruitless.received(bytes, options.now());
      if (events.filter(isNew).length > 0) {
        fruitless.progressed();
        isEndless = false;
      }
      return joinWithoutIds(events);
    },
    pendingBytes: splitter.pendingBytes,
    isEndless: () => isEndless,
  };
}

/** Joins events without ids that follow one another: there may be very many. */
function joinWithoutIds(
  events: readonly StreamEvent[],
): readonly StreamEvent[] {
  const joined: StreamEvent[] = [];
  let withoutId: Buffer[] = [];
  const flush = () => {
    if (withoutId.length === 0) return;
    joined.push({id: undefined, bytes: Buffer.concat(withoutId)});
    withoutId = [];
  };
  for (const event of events) {
    if (event.id === undefined) {
      withoutId.push(event.bytes);
      continue;
    }
    flush();
    joined.push(event);
  }
  flush();
  return joined;
}
