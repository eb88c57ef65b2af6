/**
 * Test fixture: writes to a connection until the other side closes it, past the
 * HTTP server that read the request.
 */
import type {Socket} from 'node:net';

const MB = 1024 * 1024;
/** Most bytes that one connection gets. */
export const MAX_FLOOD_BYTES = 64 * MB;
const PIECE_BYTES = 64 * 1024;
export const DRIP_MS = 50;

/** What became of a connection. */
export interface Flooded {
  /** Bytes that were handed over, without those in the queue. */
  bytes: number;
  isClosed: boolean;
}

export type WriteEndless = (
  socket: Socket,
  head: string,
  next: (at: number) => string,
) => Flooded;

function watch(socket: Socket): Flooded {
  const flooded: Flooded = {bytes: 0, isClosed: false};
  socket.on('error', () => undefined);
  socket.once('close', () => {
    flooded.isClosed = true;
  });
  return flooded;
}

/** Writes as fast as the other side reads. */
export const flood: WriteEndless = (socket, head, next) => {
  const flooded = watch(socket);
  let at = 0;
  socket.write(head);
  const write = (): void => {
    while (!flooded.isClosed && flooded.bytes < MAX_FLOOD_BYTES) {
      let text = '';
      while (text.length < PIECE_BYTES) text += next(at++);
      flooded.bytes += text.length;
      if (!socket.write(text)) return void socket.once('drain', write);
    }
  };
  write();
  return flooded;
};

/** Writes a little now and then. */
export const drip: WriteEndless = (socket, head, next) => {
  const flooded = watch(socket);
  let at = 0;
  socket.write(head);
  const timer = setInterval(() => {
    const text = next(at++);
    flooded.bytes += text.length;
    socket.write(text);
  }, DRIP_MS);
  socket.once('close', () => clearInterval(timer));
  return flooded;
};
