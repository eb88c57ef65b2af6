/**
 * An in-memory network on the virtual clock, with the faults that a network of
 * processes has. It behaves as the grpc transport does: connections are kept
 * per pair and kind of traffic, an established one can go silent while new
 * ones work, and two timeouts in a row make the next call use a new one.
 * Messages are passed by reference, so that a prompt of a million tokens costs
 * nothing.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {OnyxError} from '../src/types/errors.js';
import type {Address, DispatchId} from '../src/types/ids.js';
import type {PeerCalls, PeerMethod} from '../src/types/peer_messages.js';
import type {Clock, Random} from '../src/types/runtime.js';
import type {
  PeerHandlers,
  RunChannel,
  Transport,
} from '../src/types/transport.js';
import {trafficKindOf} from '../src/wire/byte_counter.js';
import type {TrafficKind} from '../src/wire/byte_counter.js';
import {
  failedAtPeerError,
  notSentError,
  outcomeUnknownError,
} from '../src/wire/call_errors.js';
import {createFrameRelay} from './memory_frames.js';
import type {CopiedRun, FrameFaults} from './memory_frames.js';
import {MemoryLinks} from './memory_links.js';
import type {Connection, DelayRange, Endpoint} from './memory_links.js';
import {openMemoryRun} from './memory_run.js';

const SILENT_AFTER_TIMEOUTS = 2;
/** Younger connections count as fresh; see the grpc client. */
const FRESH_FOR_MS = 500;
/** Where copies of whole dispatches come from. */
const RELAY_ADDRESS = 'relay';
const COPY_TIMEOUT_MS = 2_000;
/** A copy's channel stays open for so long. */
const COPY_OPEN_MS = 2_000;

export interface MemoryNetworkOptions {
  /** One-way delay. @default {minMs: 0.3, maxMs: 0.7} */
  readonly delay?: DelayRange;
}

/** Faults, switched at any time. */
export interface MemoryFaults {
  /**
   * Nothing passes between the two, old connections or new. What is sent on an
   * established connection meanwhile arrives after `heal`, late.
   */
  cut(a: Address, b: Address): void;
  /** Ends a cut. */
  heal(a: Address, b: Address): void;
  /** Ends all cuts. */
  healAll(): void;
  /** Connections now established between the two lose all from here on. */
  silence(a: Address, b: Address): void;
  /** One-way delay, of all or of one pair in both directions. */
  setDelay(delay: DelayRange, a?: Address, b?: Address): void;
  /** Share of calls whose request is delivered once more, later. @default 0 */
  setDuplicates(share: number, laterMs: DelayRange): void;
  /** Share of calls whose request or answer is lost. @default 0 */
  setDrops(share: number): void;
  /** Of channels' frames; see there. Those not named stay. @default none */
  setFrames(faults: Partial<FrameFaults>): void;
  /** Copies of dispatches that are still to come never do. */
  endCopies(): void;
  /** The process is gone: connections break and nothing runs in it any more. */
  down(address: Address): void;
  /** The process is paused: what comes for it waits until `thaw`. */
  freeze(address: Address): void;
  thaw(address: Address): void;
}

export interface MemoryNetwork {
  /** Transport of a new process; one that had the address must be down. */
  transport(address: Address): Transport;
  readonly faults: MemoryFaults;
  /** Calls sent since the start, by method. */
  callCount(method: PeerMethod): number;
  /** Dispatches of which a chunk's data was changed under way. */
  readonly changedRuns: ReadonlySet<DispatchId>;
}

interface CallState<Res> {
  readonly conn: Connection;
  /** Settles once; what comes later is dropped. */
  readonly settle: (result: Either<OnyxError, Res>) => void;
}

export function createMemoryNetwork(
  clock: Clock,
  random: Random,
  options: MemoryNetworkOptions = {},
): MemoryNetwork {
  const links = new MemoryLinks(
    clock,
    random,
    options.delay ?? {minMs: 0.3, maxMs: 0.7},
  );
  const counts = new Map<PeerMethod, number>();
  const relay = createFrameRelay(clock, random);
  let relayEndpoint: Endpoint | undefined;
  let duplicateShare = 0;
  let duplicateDelay: DelayRange = {minMs: 0, maxMs: 0};
  let dropShare = 0;

  const connect = (
    from: Endpoint,
    peer: Address,
    kind: TrafficKind,
    fresh: boolean,
  ): Connection => {
    const kept = links.connectionOf(from, peer, kind);
    const young =
      kept !== undefined && clock.now() - kept.dialledAt < FRESH_FOR_MS;
    if (kept !== undefined && (!fresh || young)) return kept;
    return links.dial(from, peer, kind);
  };

  /** Runs the handler at the other end and sends its answer back. */
  const handle = <M extends PeerMethod>(
    state: CallState<PeerCalls[M]['res']>,
    method: M,
    req: PeerCalls[M]['req'],
    answerLost: boolean,
  ): void => {
    const {conn, settle} = state;
    const {handlers} = conn.to;
    const handler = handlers?.[method] as
      ((req: PeerCalls[M]['req']) => Promise<PeerCalls[M]['res']>) | undefined;
    const answer = (result: Either<OnyxError, PeerCalls[M]['res']>): void => {
      if (!answerLost) links.send(conn, conn.from, () => settle(result));
    };
    const fail = (cause: string): void =>
      answer(Left(failedAtPeerError(method, conn.to.address, cause)));
    if (handler === undefined) {
      fail('no handler');
      return;
    }
    (async () => handler(req))().then(
      res => answer(Right(res)),
      (err: unknown) => fail(String(err)),
    );
  };

  const transmit = <M extends PeerMethod>(
    state: CallState<PeerCalls[M]['res']>,
    method: M,
    req: PeerCalls[M]['req'],
  ): void => {
    const {conn} = state;
    const lost = random.next() < dropShare;
    const requestLost = lost && random.next() < 0.5;
    if (!requestLost) {
      links.send(conn, conn.to, () => handle(state, method, req, lost));
    }
    if (duplicateShare > 0 && random.next() < duplicateShare) {
      clock.after(links.pick(duplicateDelay), () => {
        links.send(conn, conn.to, () => handle(state, method, req, true));
      });
    }
  };

  const call = <M extends PeerMethod>(
    from: Endpoint,
    peer: Address,
    method: M,
    req: PeerCalls[M]['req'],
    timeoutMs: number,
  ): Promise<Either<OnyxError, PeerCalls[M]['res']>> => {
    counts.set(method, (counts.get(method) ?? 0) + 1);
    if (method === 'offer') relay.noteOffer(req as PeerCalls['offer']['req']);
    return new Promise(resolve => {
      const conn = connect(from, peer, trafficKindOf(method), false);
      let settled = false;
      const settle: CallState<PeerCalls[M]['res']>['settle'] = result => {
        if (settled) return;
        settled = true;
        cancelTimer();
        conn.pending.delete(connectionLost);
        resolve(result);
      };
      const answered: typeof settle = result => {
        conn.timeoutsInRow = 0;
        settle(result);
      };
      const lose = (cause: string): void => {
        const toError = conn.established ? outcomeUnknownError : notSentError;
        settle(Left(toError(method, peer, cause)));
      };
      const connectionLost = (): void => lose('connection lost');
      const cancelTimer = clock.after(timeoutMs, () => {
        links.deliver(from, () => {
          if (settled) return;
          conn.timeoutsInRow++;
          if (conn.timeoutsInRow >= SILENT_AFTER_TIMEOUTS) links.forget(conn);
          lose('no answer in time');
        });
      });
      conn.pending.add(connectionLost);
      links.whenEstablished(conn, () => {
        if (!settled) transmit({conn, settle: answered}, method, req);
      });
    });
  };

  const openRun = (from: Endpoint, peer: Address, fresh: boolean): RunChannel =>
    openMemoryRun(links, relay, connect(from, peer, 'request', fresh), copy => {
      void sendCopy(peer, copy);
    });

  /** Sends a dispatch that passed once more, and hears nothing of it. */
  const sendCopy = async (peer: Address, copy: CopiedRun): Promise<void> => {
    relayEndpoint ??= links.add(RELAY_ADDRESS);
    const from = relayEndpoint;
    if (copy.offer !== undefined) {
      await call(from, peer, 'offer', copy.offer, COPY_TIMEOUT_MS);
    }
    const conn = connect(from, peer, 'request', true);
    const channel = openMemoryRun(links, relay, conn, () => undefined);
    clock.after(COPY_OPEN_MS, () => channel.close());
    for (const frame of [...copy.frames]) await channel.send(frame);
  };

  const transport = (address: Address): Transport => {
    const own = links.add(address);
    return {
      call: (peer, method, req, timeoutMs) =>
        call(own, peer, method, req, timeoutMs),
      openRun: (peer, fresh) => openRun(own, peer, fresh),
      listen: async (at: Address, handlers: PeerHandlers) => {
        if (at !== address) {
          throw new Error(`${address} can't listen at ${at}`);
        }
        own.handlers = handlers;
        return {
          address,
          close: async () => {
            links.stopListening(own);
          },
        };
      },
      close: () => Promise.resolve(),
    };
  };

  const faults: MemoryFaults = {
    cut: (a, b) => links.cut(a, b),
    heal: (a, b) => links.heal(a, b),
    healAll: () => links.healAll(),
    silence: (a, b) => links.silence(a, b),
    setDelay: (delay, a, b) => links.setDelay(delay, a, b),
    setDuplicates: (share, laterMs) => {
      duplicateShare = share;
      duplicateDelay = laterMs;
    },
    setDrops: share => {
      dropShare = share;
    },
    setFrames: next => relay.set(next),
    endCopies: () => relay.endCopies(),
    down: address => links.down(address),
    freeze: address => links.freeze(address),
    thaw: address => links.thaw(address),
  };

  return {
    transport,
    faults,
    callCount: method => counts.get(method) ?? 0,
    changedRuns: relay.changed,
  };
}
