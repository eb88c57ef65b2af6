/**
 * Names the connections of callers in the log: IP:PORT of the caller. Where no
 * id of a request was read, the name is what the logs of both sides share.
 */
import type {Socket} from 'node:net';

/** A closed socket does not tell its remote address any more. */
const names = new WeakMap<Socket, string>();

/** Remembers the name of a connection that was just accepted. */
export function nameConnection(socket: Socket): string {
  const name = `${socket.remoteAddress}:${socket.remotePort}`;
  names.set(socket, name);
  return name;
}

/** Undefined where the request did not come over a named connection. */
export function connectionOf(
  socket: Socket | null | undefined,
): string | undefined {
  return socket ? names.get(socket) : undefined;
}
