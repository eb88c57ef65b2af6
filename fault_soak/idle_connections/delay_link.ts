/**
 * A TCP link between callers and an entry that holds back bytes, ends and resets
 * for the same time in both directions, as a network does. A close of one side
 * and a request of the other one may so cross on their way.
 */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createPassage} from './passage.js';
import type {NotedPassage, Passage} from './passage.js';

/** A connection of a caller through the link. */
export interface LinkConnection {
  readonly socket: Socket;
  readonly passage: Passage;
}

export interface DelayLink {
  /** One way, in milliseconds. */
  readonly delayMs: number;
  /**
   * Opens a connection through the link; undefined where its target accepts
   * none.
   */
  open(): Promise<LinkConnection | undefined>;
  close(): Promise<void>;
}

/** What is on its way in one direction, in order. */
interface Due {
  readonly at: number;
  readonly step: () => void;
}

/** Links to `target`, an IP:PORT. */
export async function startDelayLink(
  target: string,
  delayMs: number,
): Promise<DelayLink> {
  const [host, port] = target.split(':');
  const sockets = new Set<Socket>();
  const openings = new Map<number, Opening>();
  /** Made by whichever side of the accepted connection comes first. */
  const openingOf = (callerPort: number): Opening => {
    const known = openings.get(callerPort) ?? createOpening();
    openings.set(callerPort, known);
    return known;
  };

  const keep = (socket: Socket): void => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  };
  const server = createServer({allowHalfOpen: true}, near => {
    const far = connect({host, port: Number(port), allowHalfOpen: true});
    keep(near);
    keep(far);
    const {settle, passage} = openingOf(near.remotePort ?? 0);
    far.once('connect', () => settle(true));
    far.once('error', () => settle(false));
    far.once('end', passage.noteEnd);
    far.once('error', passage.noteEnd);
    pass(near, far, delayMs, passage.notePassed);
    pass(far, near, delayMs, () => undefined);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const own = server.address() as AddressInfo;
  return {
    delayMs,
    open: () =>
      new Promise(resolve => {
        const socket = connect({host: own.address, port: own.port});
        socket.setNoDelay(true);
        socket.on('error', () => resolve(undefined));
        socket.once('connect', () => {
          const {localPort = 0} = socket;
          const {settled, passage} = openingOf(localPort);
          void settled.then(stands => {
            openings.delete(localPort);
            // It may have been reset by then.
            const use = () =>
              resolve(socket.destroyed ? undefined : {socket, passage});
            if (stands) setTimeout(use, 2 * delayMs);
            else resolve(undefined);
          });
        });
      }),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

/** Whether the far half of a connection stands; known once it was tried. */
interface Opening {
  readonly settled: Promise<boolean>;
  settle(stands: boolean): void;
  readonly passage: NotedPassage;
}

function createOpening(): Opening {
  let settle: (stands: boolean) => void = () => undefined;
  const settled = new Promise<boolean>(resolve => {
    settle = resolve;
  });
  return {settled, settle, passage: createPassage()};
}

function pass(
  from: Socket,
  into: Socket,
  delayMs: number,
  onPassed: (bytes: number) => void,
): void {
  const line: Due[] = [];
  // Steps run as immediates: after a stall of this process, a timer runs before
  // an end is read that came during the stall.
  const pump = (): void => {
    for (let first = line[0]; first !== undefined; first = line[0]) {
      const waitMs = first.at - performance.now();
      if (waitMs > 0) {
        setTimeout(() => setImmediate(pump), Math.ceil(waitMs));
        return;
      }
      line.shift();
      first.step();
    }
  };
  const later = (step: () => void): void => {
    line.push({at: performance.now() + delayMs, step});
    if (line.length === 1) setImmediate(pump);
  };
  from.on('data', (piece: Buffer) => {
    later(() => {
      if (!into.writable) return;
      into.write(piece);
      onPassed(piece.length);
    });
  });
  from.on('end', () => later(() => into.end()));
  from.on('error', () => later(() => into.resetAndDestroy()));
}
