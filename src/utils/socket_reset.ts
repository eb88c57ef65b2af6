/** Tells a connection that was reset from one that was closed in order. */
import type {Socket} from 'node:net';

/**
 * Returns whether the connection has been reset since the call. A reset that is
 * read together with the last bytes looks like an orderly end, but the socket
 * then has no peer any more.
 */
export function watchReset(socket: Socket): () => boolean {
  let wasReset = false;
  socket.prependListener('end', () => {
    wasReset ||= socket.remoteAddress === undefined;
  });
  socket.prependListener('error', ({syscall}: NodeJS.ErrnoException) => {
    // Other errors are those with which this process destroys the socket.
    wasReset ||= syscall !== undefined;
  });
  return () => wasReset;
}
