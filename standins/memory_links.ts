/** Processes, connections and delays of the in-memory network. */
import type {Address} from '../src/types/ids.js';
import type {Clock, Random} from '../src/types/runtime.js';
import type {PeerHandlers} from '../src/types/transport.js';
import type {TrafficKind} from '../src/wire/byte_counter.js';

/** Drawn evenly between the two, in milliseconds. */
export interface DelayRange {
  readonly minMs: number;
  readonly maxMs: number;
}

/** One process; a restarted one is another. */
export interface Endpoint {
  readonly address: Address;
  handlers: PeerHandlers | undefined;
  alive: boolean;
  frozen: boolean;
  /** What came while it was frozen. */
  readonly held: Array<() => void>;
}

export interface Connection {
  readonly from: Endpoint;
  readonly kind: TrafficKind;
  readonly dialledAt: number;
  /** The process dialled; a stand-in without handlers when there is none. */
  readonly to: Endpoint;
  established: boolean;
  silent: boolean;
  broken: boolean;
  timeoutsInRow: number;
  /** Told when the connection breaks, as seen by the dialling end. */
  readonly pending: Set<() => void>;
  /** The same, as seen by the other end. */
  readonly serving: Set<() => void>;
  /** Waiting for the connection to be established. */
  readonly queued: Array<() => void>;
}

/** As the grpc server's. */
const CLOSE_GRACE_MS = 1_000;

function pairOf(a: Address, b: Address): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}

function createEndpoint(address: Address, alive: boolean): Endpoint {
  return {address, handlers: undefined, alive, frozen: false, held: []};
}

export class MemoryLinks {
  private readonly endpoints = new Map<Address, Endpoint>();
  private readonly connections = new Map<string, Connection>();
  /** All that were established and are not broken, kept or given up. */
  private readonly open = new Set<Connection>();
  /** What waits for a cut to heal, by pair. */
  private readonly cuts = new Map<string, Array<() => void>>();
  private readonly delays = new Map<string, DelayRange>();

  constructor(
    readonly clock: Clock,
    private readonly random: Random,
    private delay: DelayRange,
  ) {}

  add(address: Address): Endpoint {
    if (this.endpoints.get(address)?.alive === true) {
      throw new Error(`${address} is taken; take it down first`);
    }
    const endpoint = createEndpoint(address, true);
    this.endpoints.set(address, endpoint);
    return endpoint;
  }

  pick(range: DelayRange): number {
    return range.minMs + (range.maxMs - range.minMs) * this.random.next();
  }

  delayBetween(a: Address, b: Address): number {
    return this.pick(this.delays.get(pairOf(a, b)) ?? this.delay);
  }

  setDelay(delay: DelayRange, a?: Address, b?: Address): void {
    if (a === undefined || b === undefined) this.delay = delay;
    else this.delays.set(pairOf(a, b), delay);
  }

  /** Runs something in a process: now, when it thaws, or never. */
  deliver(to: Endpoint, run: () => void): void {
    if (!to.alive) return;
    if (to.frozen) to.held.push(run);
    else run();
  }

  connectionOf(
    from: Endpoint,
    peer: Address,
    kind: TrafficKind,
  ): Connection | undefined {
    const kept = this.connections.get(`${kind} ${from.address} ${peer}`);
    const isUsable = kept?.from === from && !kept.broken;
    return isUsable ? kept : undefined;
  }

  dial(from: Endpoint, peer: Address, kind: TrafficKind): Connection {
    const to = this.endpoints.get(peer) ?? createEndpoint(peer, false);
    const conn: Connection = {
      from,
      to,
      kind,
      dialledAt: this.clock.now(),
      established: false,
      silent: false,
      broken: false,
      timeoutsInRow: 0,
      pending: new Set(),
      serving: new Set(),
      queued: [],
    };
    this.connections.set(`${kind} ${from.address} ${peer}`, conn);
    this.clock.after(2 * this.delayBetween(from.address, peer), () => {
      if (!this.isCut(from.address, peer)) this.finishDial(conn);
    });
    return conn;
  }

  private finishDial(conn: Connection): void {
    if (!conn.to.alive || conn.to.handlers === undefined) {
      this.break(conn);
      return;
    }
    conn.established = true;
    this.open.add(conn);
    for (const run of conn.queued.splice(0)) this.deliver(conn.from, run);
  }

  whenEstablished(conn: Connection, run: () => void): void {
    if (conn.established) run();
    else conn.queued.push(run);
  }

  /** The next call dials anew; what was sent on this one goes on. */
  forget(conn: Connection): void {
    const key = `${conn.kind} ${conn.from.address} ${conn.to.address}`;
    if (this.connections.get(key) === conn) this.connections.delete(key);
  }

  /** Sends something on a connection to be run at one of its ends. */
  send(conn: Connection, to: Endpoint, run: () => void, atLeastAt = 0): number {
    const {clock} = this;
    const delay = this.delayBetween(conn.from.address, conn.to.address);
    const arriveAt = Math.max(atLeastAt, clock.now() + delay);
    clock.after(arriveAt - clock.now(), () => this.arrive(conn, to, run));
    return arriveAt;
  }

  private arrive(conn: Connection, to: Endpoint, run: () => void): void {
    // What a connection lost track of is gone for good, cut or not.
    if (conn.silent || conn.broken) return;
    const waiting = this.cuts.get(pairOf(conn.from.address, conn.to.address));
    if (waiting !== undefined) {
      waiting.push(() => this.arrive(conn, to, run));
      return;
    }
    this.deliver(to, run);
  }

  isCut(a: Address, b: Address): boolean {
    return this.cuts.has(pairOf(a, b));
  }

  cut(a: Address, b: Address): void {
    if (!this.isCut(a, b)) this.cuts.set(pairOf(a, b), []);
  }

  heal(a: Address, b: Address): void {
    this.healPair(pairOf(a, b));
  }

  healAll(): void {
    for (const pair of [...this.cuts.keys()]) this.healPair(pair);
  }

  private healPair(pair: string): void {
    const waiting = this.cuts.get(pair) ?? [];
    this.cuts.delete(pair);
    for (const arrive of waiting) arrive();
    // A connection that was being dialled is tried again by TCP itself.
    for (const conn of this.connections.values()) {
      const isOfPair = pairOf(conn.from.address, conn.to.address) === pair;
      if (isOfPair && !conn.established && !conn.broken) this.finishDial(conn);
    }
  }

  silence(a: Address, b: Address): void {
    const pair = pairOf(a, b);
    for (const conn of this.open) {
      if (pairOf(conn.from.address, conn.to.address) === pair) {
        conn.silent = true;
      }
    }
  }

  /** Breaks a connection so that both ends that are left learn of it. */
  private break(conn: Connection): void {
    if (conn.broken) return;
    const tell = (to: Endpoint, listeners: Set<() => void>): void => {
      for (const told of [...listeners]) this.deliver(to, told);
      listeners.clear();
    };
    const isQuiet = conn.silent || this.cutOff(conn);
    conn.broken = true;
    this.open.delete(conn);
    this.forget(conn);
    // A reset that can't get through tells nobody.
    if (isQuiet) return;
    this.clock.after(
      this.delayBetween(conn.from.address, conn.to.address),
      () => {
        tell(conn.from, conn.pending);
        tell(conn.to, conn.serving);
      },
    );
  }

  private cutOff(conn: Connection): boolean {
    return this.isCut(conn.from.address, conn.to.address);
  }

  /** New connections are refused; what is open may end, then is cut. */
  stopListening(endpoint: Endpoint): void {
    endpoint.handlers = undefined;
    const connections = [...this.open].filter(conn => conn.to === endpoint);
    for (const conn of connections) {
      this.forget(conn);
      this.clock.after(CLOSE_GRACE_MS, () => this.break(conn));
    }
  }

  down(address: Address): void {
    const endpoint = this.endpoints.get(address);
    if (endpoint === undefined) return;
    endpoint.alive = false;
    endpoint.frozen = false;
    endpoint.held.length = 0;
    endpoint.handlers = undefined;
    const connections = [...this.connections.values(), ...this.open];
    for (const conn of new Set(connections)) {
      if (conn.from === endpoint || conn.to === endpoint) this.break(conn);
    }
  }

  freeze(address: Address): void {
    const endpoint = this.endpoints.get(address);
    if (endpoint !== undefined) endpoint.frozen = true;
  }

  thaw(address: Address): void {
    const endpoint = this.endpoints.get(address);
    if (endpoint === undefined) return;
    endpoint.frozen = false;
    for (const run of endpoint.held.splice(0)) this.deliver(endpoint, run);
  }
}
