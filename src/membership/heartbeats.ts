/**
 * Sends heartbeats to each followed peer on a separate timer, with at most one
 * in flight for each peer. A slow peer therefore delays no other peer, and the
 * replies of one peer arrive in order.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {Address} from '../types/ids.js';
import type {
  EntryHeartbeatReq,
  EntryHeartbeatRes,
  SideHeartbeatReq,
  SideHeartbeatRes,
} from '../types/peer_messages.js';
import type {Cancel, Clock, Random} from '../types/runtime.js';
import type {Transport} from '../types/transport.js';
import type {MembershipTiming} from './timing.js';

/**
 * The first heartbeat to a new peer is sent after a random delay up to this, so
 * that heartbeats to many new peers are not sent in one burst.
 */
const FIRST_HEARTBEAT_SPREAD_MS = 100;

/** What to send to a peer, when and by what, and who receives the reply. */
export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly timing: MembershipTiming;
  /** True when the peer is an entry, false when it is a side. */
  readonly isEntry: (address: Address) => boolean;
  /** Builds the request to a side. */
  readonly sideRequest: (address: Address) => SideHeartbeatReq;
  /** Builds the request to another entry. */
  readonly entryRequest: () => EntryHeartbeatReq;
  /**
   * Receives a side's reply or the error of the call. `sentAt` is the time of
   * the request on this process's clock, in milliseconds.
   */
  readonly onSideReply: (
    address: Address,
    res: Either<OnyxError, SideHeartbeatRes>,
    sentAt: number,
  ) => void;
  /** Receives an entry's reply or the error of the call. */
  readonly onEntryReply: (
    address: Address,
    res: Either<OnyxError, EntryHeartbeatRes>,
    sentAt: number,
  ) => void;
}

/** Heartbeats to a set of peers. */
export interface Heartbeats {
  /**
   * Sends heartbeats to these peers from now on, and to no others. The reply to
   * a heartbeat in flight to another peer is dropped.
   */
  setPeers(addresses: ReadonlySet<Address>): void;
  /**
   * Sends the next heartbeat to this peer at once, or as soon as the one in
   * flight has ended. Does nothing for a peer outside the set.
   */
  sendSoon(address: Address): void;
  /** Stops all heartbeats, and drops the replies that are still to come. */
  stop(): void;
}

/** Creates heartbeats without any peer. */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const {clock, timing, transport} = options;
  /**
   * The latest timer of each peer, which may have fired. An address is a key as
   * long as it is in the set of peers.
   */
  const timerByPeer = new Map<Address, Cancel>();
  const inFlight = new Set<Address>();
  /** Peers whose next heartbeat follows the one in flight without a pause. */
  const sendAgainSoon = new Set<Address>();

  const schedule = (address: Address, delayMs: number) => {
    timerByPeer.get(address)?.();
    timerByPeer.set(
      address,
      clock.after(delayMs, () => void sendHeartbeat(address)),
    );
  };

  const sendHeartbeat = async (address: Address) => {
    if (inFlight.has(address)) return;
    inFlight.add(address);
    sendAgainSoon.delete(address);
    try {
      await callPeer(address);
    } finally {
      inFlight.delete(address);
      if (timerByPeer.has(address)) schedule(address, nextDelayMs(address));
    }
  };

  const nextDelayMs = (address: Address) =>
    sendAgainSoon.has(address)
      ? 0
      : timing.heartbeatMs * (0.9 + 0.2 * options.random.next());

  const callPeer = async (address: Address) => {
    const sentAt = clock.now();
    const timeoutMs = timing.heartbeatTimeoutMs;
    if (options.isEntry(address)) {
      const req = options.entryRequest();
      const res = await transport.call(
        address,
        'entryHeartbeat',
        req,
        timeoutMs,
      );
      if (timerByPeer.has(address)) options.onEntryReply(address, res, sentAt);
      return;
    }
    const req = options.sideRequest(address);
    const res = await transport.call(address, 'sideHeartbeat', req, timeoutMs);
    if (timerByPeer.has(address)) options.onSideReply(address, res, sentAt);
  };

  return {
    setPeers: addresses => {
      for (const [address, cancel] of timerByPeer) {
        if (addresses.has(address)) continue;
        cancel();
        timerByPeer.delete(address);
      }
      for (const address of addresses) {
        if (timerByPeer.has(address)) continue;
        schedule(address, options.random.next() * FIRST_HEARTBEAT_SPREAD_MS);
      }
    },
    sendSoon: address => {
      if (!timerByPeer.has(address)) return;
      if (inFlight.has(address)) sendAgainSoon.add(address);
      else schedule(address, 0);
    },
    stop: () => {
      for (const cancel of timerByPeer.values()) cancel();
      timerByPeer.clear();
    },
  };
}
