/**
 * A small stand-in for a replica of the users: it signs what it answers, counts
 * what it runs, sets memory aside under orders, and misbehaves as told.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/**
 * A loopback address of this process alone: at another one, the port of a
 * replica that has ended may be given to a replica of another process.
 */
const OWN_IP = loopbackOf(process.pid);

function loopbackOf(pid: number): string {
  const [high, middle, low] = [pid >> 14, pid >> 7, pid].map(it => it & 127);
  return `127.${1 + high}.${middle}.${1 + low}`;
}

/** A request that reached the replica. */
export interface Arrival {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** When it had arrived; steady time, in milliseconds. */
  readonly at: number;
  /** The caller's connection closed before the answer was whole. */
  left: boolean;
}

/** An order that reached the replica. */
export interface Order {
  readonly operation: string;
  readonly id: string;
  readonly tokens?: number;
  readonly holdMs?: number;
}

/** Answers one request; `arrival` has been entered already. */
export type Behaviour = (
  arrival: Arrival,
  res: ServerResponse,
  req: IncomingMessage,
) => void;

export interface ReplicaStandIn {
  readonly id: string;
  readonly address: string;
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly Order[];
  /** Memory that is set aside now, by reservation. */
  readonly held: ReadonlyMap<string, number>;
  behave(behaviour: Behaviour): void;
  /**
   * From now on it answers questions for its state, whatever it does with
   * requests. Memory whose reservation is among `used` is in use.
   */
  answerState(used?: ReadonlySet<string>): void;
  /**
   * From now on all its answers, also those to orders and questions for its
   * state, have these headers.
   */
  stateInAll(headers: Readonly<Record<string, string>>): void;
  /** What it says to an order; nothing for `undefined`. */
  answerOrders(status: (order: Order) => number | undefined): void;
  /** Resets all connections; from then on its port refuses new ones. */
  crash(): void;
  /**
   * Ends as a process whose host closes its connections in order; from then on
   * its port refuses new ones.
   */
  endInOrder(): void;
  /** Listens again at its address, after a crash. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

/** Headers of an answer that the replica made. */
export function signed(arrival: Arrival): Record<string, string> {
  return {'X-Response-Seal': `seal-${arrival.id}`, 'X-Request-Id': arrival.id};
}

/** A whole answer. */
export const answerWell: Behaviour = (arrival, res) => {
  res.writeHead(200, signed(arrival));
  res.end(`answer to ${arrival.id}`);
};

/** One event of a stream. */
export function eventText(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Events up to `last`, from the one after the caller's last. */
export function streamTo(last: number, pauseMs = 1): Behaviour {
  return (arrival, res) => {
    const from = Number(arrival.headers['last-event-id'] ?? 0);
    res.writeHead(200, {
      ...signed(arrival),
      'Content-Type': 'text/event-stream',
    });
    const next = (id: number): void => {
      if (id > last) {
        res.end();
        return;
      }
      res.write(eventText(id));
      setTimeout(() => next(id + 1), pauseMs);
    };
    next(from + 1);
  };
}

/** The answer has neither a length nor chunks and ends with its connection. */
export function withoutFraming(other: Behaviour): Behaviour {
  return (arrival, res, req) => {
    res.useChunkedEncodingByDefault = false;
    res.setHeader('Connection', 'close');
    other(arrival, res, req);
  };
}

/** Refuses as not run. */
export const refuse: Behaviour = (arrival, res) => {
  res.writeHead(503, {'X-Request-Id': arrival.id, 'X-Not-Executed': '1'});
  res.end();
};

/** Names a request limit in its answers while there is one; else as `other`. */
export function nameLimit(
  limit: () => string | undefined,
  other: Behaviour,
): Behaviour {
  return (arrival, res, req) => {
    const text = limit();
    if (text !== undefined) res.setHeader('Server-Limit', text);
    other(arrival, res, req);
  };
}

/** Refuses as not run, and wants no request for so many seconds. */
export function askForPause(retryAfter: string): Behaviour {
  return (arrival, res, req) => {
    res.setHeader('Retry-After', retryAfter);
    refuse(arrival, res, req);
  };
}

/** Takes the request and breaks off without a byte of an answer. */
export const breakOff: Behaviour = (_arrival, _res, req) => {
  req.socket.resetAndDestroy();
};

/** Crashes the replica under bodies that hold the text; else as `other`. */
export function crashUnder(
  replica: ReplicaStandIn,
  text: string,
  other: Behaviour,
): void {
  replica.behave((arrival, res, req) => {
    if (arrival.body.includes(text)) replica.crash();
    else other(arrival, res, req);
  });
}

export async function startReplica(id: string): Promise<ReplicaStandIn> {
  const arrivals: Arrival[] = [];
  const orders: Order[] = [];
  const held = new Map<string, number>();
  const lapses = new Map<string, NodeJS.Timeout>();
  let behaviour: Behaviour = answerWell;
  let orderStatus: (order: Order) => number | undefined = () => 200;
  let usedMemory: ReadonlySet<string> | undefined;
  let statedInAll: Readonly<Record<string, string>> = {};

  /** Renewed by an order with the same id; lapses by itself. */
  const reserve = ({id, tokens, holdMs}: Order): void => {
    held.set(id, tokens ?? 0);
    clearTimeout(lapses.get(id));
    const lapse = setTimeout(() => held.delete(id), holdMs);
    lapses.set(id, lapse.unref());
  };
  const onOrder = (body: string, res: ServerResponse): void => {
    const order = JSON.parse(body) as Order;
    orders.push(order);
    const status = orderStatus(order);
    if (status === undefined) return;
    if (status === 200 && order.operation === 'release') held.delete(order.id);
    if (status === 200 && order.operation === 'reserve') {
      reserve(order);
    }
    res.writeHead(status, {'content-type': 'application/json'});
    res.end('{"free":0}');
  };
  const tellState = (used: ReadonlySet<string>, res: ServerResponse): void => {
    const tickets = [...held].map(([id, tokens]) => {
      const state = used.has(id) ? 'used' : 'held';
      return {id, tokens, state, ageMs: 0};
    });
    res.writeHead(200, {'content-type': 'application/json'});
    res.end(JSON.stringify({sequence: 0, tickets}));
  };
  const onRequest = (
    req: IncomingMessage,
    body: string,
    res: ServerResponse,
  ) => {
    const arrival: Arrival = {
      id: String(req.headers['x-request-id']),
      method: req.method ?? '',
      path: req.url ?? '',
      headers: req.headers,
      body,
      at: performance.now(),
      left: false,
    };
    res.on('close', () => {
      arrival.left = !res.writableFinished;
    });
    // Asked for its state, one that answers no request says nothing either.
    if (req.url !== '/api/report') arrivals.push(arrival);
    behaviour(arrival, res, req);
  };
  const server = createServer((req, res) => {
    for (const [name, value] of Object.entries(statedInAll)) {
      res.setHeader(name, value);
    }
    const pieces: Buffer[] = [];
    req.on('data', (piece: Buffer) => pieces.push(piece));
    req.on('error', () => undefined);
    req.on('end', () => {
      const body = Buffer.concat(pieces).toString('utf8');
      const isQuestion = req.url === '/api/report';
      if (req.url === '/api/order') onOrder(body, res);
      else if (isQuestion && usedMemory) tellState(usedMemory, res);
      else onRequest(req, body, res);
    });
  });
  const sockets = new Set<Socket>();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const listen = (at: number) =>
    new Promise<void>(resolve => {
      server.listen(at, OWN_IP, resolve);
    });
  await listen(0);
  const {port} = server.address() as AddressInfo;
  return {
    id,
    address: `${OWN_IP}:${port}`,
    arrivals,
    orders,
    held,
    behave: next => {
      behaviour = next;
    },
    answerState: (used = new Set()) => {
      usedMemory = used;
    },
    stateInAll: headers => {
      statedInAll = headers;
    },
    answerOrders: status => {
      orderStatus = status;
    },
    crash: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
    endInOrder: () => {
      server.close();
      for (const socket of sockets) socket.end();
    },
    restart: () => listen(port),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
