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
const FIRST_WITHIN_MS = 100;

export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly timing: MembershipTiming;
  readonly isEntry: (address: Address) => boolean;
  readonly sideReq: (address: Address) => SideHeartbeatReq;
  readonly entryReq: () => EntryHeartbeatReq;
  readonly onSide: (
    address: Address,
    res: Either<OnyxError, SideHeartbeatRes>,
    sentAt: number,
  ) => void;
  readonly onEntry: (
    address: Address,
    res: Either<OnyxError, EntryHeartbeatRes>,
    sentAt: number,
  ) => void;
}

export interface Heartbeats {
  /** Sends to these from now on, and to no others. */
  follow(addresses: ReadonlySet<Address>): void;
  /** Brings the next heartbeat to this peer forward. */
  soon(address: Address): void;
  stop(): void;
}

export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const {clock, timing, transport} = options;
  const timers = new Map<Address, Cancel>();
  const inFlight = new Set<Address>();
  const wantedSoon = new Set<Address>();

  const schedule = (address: Address, delayMs: number) => {
    timers.get(address)?.();
    timers.set(
      address,
      clock.after(delayMs, () => void beat(address)),
    );
  };

  const beat = async (address: Address) => {
    if (inFlight.has(address)) return;
    inFlight.add(address);
    wantedSoon.delete(address);
    try {
      await exchange(address);
    } finally {
      inFlight.delete(address);
      if (timers.has(address)) schedule(address, pauseMs(address));
    }
  };

  const pauseMs = (address: Address) =>
    wantedSoon.has(address)
      ? 0
      : timing.heartbeatMs * (0.9 + 0.2 * options.random.next());

  const exchange = async (address: Address) => {
    const sentAt = clock.now();
    const waitMs = timing.heartbeatTimeoutMs;
    if (options.isEntry(address)) {
      const req = options.entryReq();
      const res = await transport.call(address, 'entryHeartbeat', req, waitMs);
      if (timers.has(address)) options.onEntry(address, res, sentAt);
      return;
    }
    const req = options.sideReq(address);
    const res = await transport.call(address, 'sideHeartbeat', req, waitMs);
    if (timers.has(address)) options.onSide(address, res, sentAt);
  };

  return {
    follow: addresses => {
      for (const [address, cancel] of timers) {
        if (addresses.has(address)) continue;
        cancel();
        timers.delete(address);
      }
      for (const address of addresses) {
        if (timers.has(address)) continue;
        schedule(address, options.random.next() * FIRST_WITHIN_MS);
      }
    },
    soon: address => {
      if (!timers.has(address)) return;
      if (inFlight.has(address)) wantedSoon.add(address);
      else schedule(address, 0);
    },
    stop: () => {
      for (const cancel of timers.values()) cancel();
      timers.clear();
    },
  };
}
