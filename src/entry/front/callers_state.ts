/**
 * State of the callers' service: the newest configuration, the membership view,
 * and the requests that are open at this entry. It limits how many requests are
 * open and how much memory their bodies take, and tracks the drain.
 */
import type {NumberedDeclarations} from '../../types/config.js';
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {MembershipView} from '../../types/services.js';
import type {CallerLink} from '../run/caller_link.js';

/**
 * `Retry-After` of a request that is refused because the entry is full,
 * draining, or has no configuration yet.
 */
const RETRY_AFTER_MS = 1_000;

/** Limits beyond which new requests are refused as `overloaded`. */
export interface CallersCapacity {
  readonly maxOpenRequests: number;
  /** Total size of the bodies of all open requests, in bytes. */
  readonly maxHeldBodyBytes: number;
}

/** The share of the capacity that one request takes, from arrival to end. */
export interface RequestSlot {
  /** Replaces the estimated body size by the actual one, in bytes. */
  setBodyBytes(bytes: number): void;
  /** Returns the share. Calling it again does nothing. */
  release(): void;
}

/** State of the callers' service. */
export interface CallersState {
  /** Stores the configuration if it is newer than the stored one. */
  updateConfig(config: NumberedDeclarations): void;
  updateMembership(view: MembershipView): void;
  /** Throws an `OnyxError` until a configuration is known. */
  config(): NumberedDeclarations;
  /**
   * True when a configuration is known, a replica is live, and the entry is not
   * draining.
   */
  isReady(): boolean;
  /**
   * Reserves a slot for a new request with a body of `bytes`. Throws an
   * `OnyxError` when the entry is full or draining.
   */
  reserveSlot(bytes: number): RequestSlot;
  /**
   * Reserves a slot for resuming a request, which is allowed while draining.
   * Throws an `OnyxError` when the entry is full.
   */
  reserveResumeSlot(): RequestSlot;
  link(id: RequestId): CallerLink | undefined;
  addLink(id: RequestId, link: CallerLink): void;
  /** Does nothing if another link has replaced this one. */
  removeLink(id: RequestId, link: CallerLink): void;
  /** Refuses new requests from now on; calls `done` when none is open. */
  drain(done: () => void): void;
  /** Number of slots that are reserved. */
  openRequests(): number;
  /** Cancels all attached requests and closes their connections. */
  dropAllLinks(): void;
}

/** Creates the state without a configuration or membership. */
export function createCallersState(capacity: CallersCapacity): CallersState {
  const links = new Map<RequestId, CallerLink>();
  let newestConfig: NumberedDeclarations | undefined;
  let membership: MembershipView | undefined;
  let draining = false;
  let openCount = 0;
  let heldBodyBytes = 0;
  let drainListeners: ReadonlyArray<() => void> = [];

  const notifyIfDrained = () => {
    if (!draining || openCount > 0) return;
    const listeners = drainListeners;
    drainListeners = [];
    for (const done of listeners) done();
  };

  const createSlot = (bytes: number): RequestSlot => {
    let bodyBytes = bytes;
    let released = false;
    openCount += 1;
    heldBodyBytes += bodyBytes;
    const setBodyBytes = (newBytes: number) => {
      if (released) return;
      heldBodyBytes += newBytes - bodyBytes;
      bodyBytes = newBytes;
    };
    const release = () => {
      if (released) return;
      setBodyBytes(0);
      released = true;
      openCount -= 1;
      notifyIfDrained();
    };
    return {setBodyBytes, release};
  };

  const checkCapacity = (bytes: number) => {
    if (openCount >= capacity.maxOpenRequests) {
      throw retryLater(
        'overloaded',
        'too many requests are open at this entry',
      );
    }
    if (heldBodyBytes + bytes > capacity.maxHeldBodyBytes) {
      throw retryLater('overloaded', 'too many long prompts are held here');
    }
  };

  return {
    updateConfig: config => {
      // Number 0 is the initial configuration of a process that has received
      // no accepted version yet. It has no organisations: with it, every caller
      // would be refused as unauthorised, and the load balancer would not see
      // that the entry is not ready.
      if (config.number === 0) return;
      // Messages can arrive late: an older version must not replace a newer.
      if (newestConfig === undefined || config.number > newestConfig.number) {
        newestConfig = config;
      }
    },
    updateMembership: view => {
      membership = view;
    },
    config: () => {
      if (newestConfig !== undefined) return newestConfig;
      throw retryLater(
        'store-unavailable',
        'the configuration is not known yet',
      );
    },
    isReady: () =>
      newestConfig !== undefined &&
      !draining &&
      (membership?.replicas ?? []).some(replica => replica.state === 'live'),
    reserveSlot: bytes => {
      if (draining) throw retryLater('draining', 'this entry is leaving');
      checkCapacity(bytes);
      return createSlot(bytes);
    },
    reserveResumeSlot: () => {
      checkCapacity(0);
      return createSlot(0);
    },
    link: id => links.get(id),
    addLink: (id, link) => void links.set(id, link),
    removeLink: (id, link) => {
      if (links.get(id) === link) links.delete(id);
    },
    drain: done => {
      draining = true;
      drainListeners = [...drainListeners, done];
      notifyIfDrained();
    },
    openRequests: () => openCount,
    dropAllLinks: () => {
      for (const link of [...links.values()]) link.drop();
    },
  };
}

function retryLater(
  code: 'overloaded' | 'draining' | 'store-unavailable',
  message: string,
): OnyxError {
  return new OnyxError({
    code,
    step: 'limit',
    message,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
