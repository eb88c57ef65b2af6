/**
 * A TCP relay that stands for the network between two processes: it delays,
 * resets, refuses, cuts one direction, or forgets connections as a middle box
 * does that lost track of a flow.
 */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Which way nothing comes through, until the cut is over. */
export type CutDirection = 'none' | 'towards-target' | 'towards-caller';

/** What a relay does until it is told otherwise; left out is left as it is. */
export interface RelayFaults {
  /** Drops all bytes of the connections that are open now, for good. */
  readonly silence?: boolean;
  /**
   * Resets the connections that have been silent for this long, as keep-alive
   * probes without answers do.
   */
  readonly endSilentForMs?: number;
  /** Closes all connections and refuses new ones. */
  readonly refuse?: boolean;
  /** Resets the connections that are open now. */
  readonly reset?: boolean;
  /** Holds each piece back for this long. */
  readonly delayMs?: number;
  /** Passes bytes on in pieces with a gap between them; null for none. */
  readonly pieces?: {readonly bytes: number; readonly gapMs: number} | null;
  readonly cut?: CutDirection;
}

export interface Relay {
  readonly address: string;
  apply(faults: RelayFaults): void;
  /** As a process that ends: resets all connections, and listens no more. */
  stop(): void;
  /** Listens again, at the same port. */
  start(): Promise<void>;
  counts(): {
    readonly open: number;
    readonly silent: number;
    readonly refuse: boolean;
  };
  close(): Promise<void>;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
  /** Infinity while it is not silent. */
  silentAt: number;
}

function endpoint(text: string) {
  const [host, port] = text.split(':');
  return {host: host ?? '', port: Number(port)};
}

function listenAt(server: Server, address: string): Promise<void> {
  const {host, port} = endpoint(address);
  return new Promise(resolve => {
    server.listen(port, host, resolve);
  });
}

/** Relays `listen` to `target`, each `ip:port`; port 0 takes a free one. */
export async function startRelay(
  listen: string,
  target: string,
): Promise<Relay> {
  const to = endpoint(target);
  const pairs = new Set<Pair>();
  let refuse = false;
  let delayMs = 0;
  let pieces: RelayFaults['pieces'] = null;
  let cut: CutDirection = 'none';
  const pumps = new Set<() => void>();

  const pass = (
    pair: Pair,
    from: Socket,
    into: Socket,
    direction: CutDirection,
  ) => {
    const write = (data: Buffer) => {
      if (into.write(data) || from.isPaused()) return;
      from.pause();
      into.once('drain', () => from.resume());
    };
    // In order, whatever becomes of the delay meanwhile, as TCP keeps it.
    const line: Array<{readonly dueAt: number; readonly step: () => void}> = [];
    const pump = () => {
      while (cut !== direction && line.length > 0) {
        const waitMs = line[0].dueAt - performance.now();
        if (waitMs > 0) {
          setTimeout(pump, Math.ceil(waitMs));
          return;
        }
        line.shift()?.step();
      }
    };
    const later = (step: () => void, gapMs = 0) => {
      const dueAt = performance.now() + delayMs;
      const afterLast = (line.at(-1)?.dueAt ?? 0) + gapMs;
      line.push({dueAt: Math.max(dueAt, afterLast), step});
      if (line.length === 1) pump();
    };
    const passOn = (data: Buffer) => {
      if (!pieces) return later(() => write(data));
      for (let at = 0; at < data.length; at += pieces.bytes) {
        const piece = data.subarray(at, at + pieces.bytes);
        later(() => write(piece), pieces.gapMs);
      }
    };
    pumps.add(pump);
    from.on('data', data => {
      if (!pair.silent) passOn(data);
    });
    const end = () => {
      // A silent flow tells neither end that the other one closed.
      if (pair.silent) return;
      later(() => {
        into.destroy();
        pumps.delete(pump);
      });
      pairs.delete(pair);
    };
    from.on('close', end);
    from.on('error', end);
  };

  const server = createServer(near => {
    if (refuse) {
      near.destroy();
      return;
    }
    const far = connect(to.port, to.host);
    const pair: Pair = {near, far, silent: false, silentAt: Infinity};
    pairs.add(pair);
    pass(pair, near, far, 'towards-target');
    pass(pair, far, near, 'towards-caller');
  });

  const endAll = (how: (socket: Socket) => void) => {
    for (const {near, far} of pairs) {
      how(near);
      how(far);
    }
  };
  await listenAt(server, listen);
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    apply: faults => {
      if (faults.silence === true) {
        for (const pair of pairs) {
          if (!pair.silent) pair.silentAt = performance.now();
          pair.silent = true;
        }
      }
      const {endSilentForMs = Infinity} = faults;
      for (const {silentAt, near} of pairs) {
        const isLong = performance.now() - silentAt >= endSilentForMs;
        if (isLong) near.resetAndDestroy();
      }
      refuse = faults.refuse ?? refuse;
      delayMs = faults.delayMs ?? delayMs;
      if (faults.pieces !== undefined) pieces = faults.pieces;
      cut = faults.cut ?? cut;
      // What TCP sent into a cut it sends again after it.
      if (faults.cut !== undefined) for (const pump of pumps) pump();
      if (faults.reset === true) endAll(socket => socket.resetAndDestroy());
      if (refuse) endAll(socket => socket.destroy());
    },
    stop: () => {
      server.close();
      endAll(socket => socket.resetAndDestroy());
    },
    start: () => listenAt(server, `${address}:${port}`),
    counts: () => ({
      open: pairs.size,
      silent: [...pairs].filter(pair => pair.silent).length,
      refuse,
    }),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        endAll(socket => socket.destroy());
      }),
  };
}
