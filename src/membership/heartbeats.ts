/**
 * Sends heartbeats to each followed peer on a timer of its own, one in flight
 * per peer, so that a slow peer delays no other and answers come in order.
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

/** First heartbeats to new peers spread over this long. */
const FIRST_HEARTBEAT_SPREAD_MS = 100;

export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly timing: MembershipTiming;
  readonly isEntry: (address: Address) => boolean;
  readonly sideRequest: (address: Address) => SideHeartbeatReq;
  readonly entryRequest: () => EntryHeartbeatReq;
  readonly onSideReply: (
    address: Address,
    res: Either<OnyxError, SideHeartbeatRes>,
    sentAt: number,
  ) => void;
  readonly onEntryReply: (
    address: Address,
    res: Either<OnyxError, EntryHeartbeatRes>,
    sentAt: number,
  ) => void;
}

export interface Heartbeats {
  /** Sends to these from now on, and to no others. */
  setPeers(addresses: ReadonlySet<Address>): void;
  /** Brings the next heartbeat to this peer forward. */
  sendSoon(address: Address): void;
  stop(): void;
}

export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const {clock, timing, transport} = options;
  const timers = new Map<Address, Cancel>();
  const inFlight = new Set<Address>();
  const sendAgainSoon = new Set<Address>();

  const schedule = (address: Address, delayMs: number) => {
    timers.get(address)?.();
    timers.set(
      address,
      clock.after(delayMs, () => void sendHeartbeat(address)),
    );
  };

  const sendHeartbeat = async (address: Address) => {
    if (inFlight.has(address)) return;
    inFlight.add(address);
    sendAgainSoon.delete(address);
    try {
      await exchange(address);
    } finally {
      inFlight.delete(address);
      if (timers.has(address)) schedule(address, nextDelayMs(address));
    }
  };

  const nextDelayMs = (address: Address) =>
    sendAgainSoon.has(address)
      ? 0
      : timing.heartbeatMs * (0.9 + 0.2 * options.random.next());

  const exchange = async (address: Address) => {
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
      if (timers.has(address)) options.onEntryReply(address, res, sentAt);
      return;
    }
    const req = options.sideRequest(address);
    const res = await transport.call(address, 'sideHeartbeat', req, timeoutMs);
    if (timers.has(address)) options.onSideReply(address, res, sentAt);
  };

  return {
    setPeers: addresses => {
      for (const [address, cancel] of timers) {
        if (addresses.has(address)) continue;
        cancel();
        timers.delete(address);
      }
      for (const address of addresses) {
        if (timers.has(address)) continue;
        schedule(address, options.random.next() * FIRST_HEARTBEAT_SPREAD_MS);
      }
    },
    sendSoon: address => {
      if (!timers.has(address)) return;
      if (inFlight.has(address)) sendAgainSoon.add(address);
      else schedule(address, 0);
    },
    stop: () => {
      for (const cancel of timers.values()) cancel();
      timers.clear();
    },
  };
}
