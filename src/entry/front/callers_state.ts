/**
 * What the callers' front knows and holds: the newest declarations, who is
 * there to serve, and the requests that are open here.
 */
import type {NumberedDeclarations} from '../../types/config.js';
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {MembershipView} from '../../types/services.js';
import type {Link} from '../run/answer_link.js';

/** When a caller that met a full or starting entry should come back. */
const RETRY_MS = 1_000;

export interface CallersCapacity {
  readonly maxOpenRequests: number;
  /** Bodies of open requests together, in bytes. */
  readonly maxHeldBodyBytes: number;
}

/** Room for one request, from its arrival to its end. */
export interface RequestSlot {
  /** Sets the bytes that its body holds, once they are known. */
  setBodyBytes(bytes: number): void;
  /** Calling it again does nothing. */
  release(): void;
}

export interface CallersState {
  updateConfig(config: NumberedDeclarations): void;
  updateMembership(view: MembershipView): void;
  /** Throws an `OnyxError` while none is known. */
  config(): NumberedDeclarations;
  /** Config known, some replica live, not draining. */
  isReady(): boolean;
  /** Throws an `OnyxError` when the entry is full or draining. */
  reserveSlot(bytes: number): RequestSlot;
  /** As `enter`, also while draining: for requests that are in progress. */
  reserveResumeSlot(): RequestSlot;
  link(id: RequestId): Link | undefined;
  addLink(id: RequestId, link: Link): void;
  removeLink(id: RequestId, link: Link): void;
  /** No new requests; calls back when none is open. */
  drain(done: () => void): void;
  openRequests(): number;
  dropAllLinks(): void;
}

/** Starts with nothing known. */
export function createCallersState(capacity: CallersCapacity): CallersState {
  const links = new Map<RequestId, Link>();
  let newest: NumberedDeclarations | undefined;
  let view: MembershipView | undefined;
  let draining = false;
  let open = 0;
  let heldBytes = 0;
  let waiting: ReadonlyArray<() => void> = [];

  const tellDrained = () => {
    if (!draining || open > 0) return;
    const told = waiting;
    waiting = [];
    for (const done of told) done();
  };

  const place = (bytes: number): RequestSlot => {
    let held = bytes;
    let released = false;
    open += 1;
    heldBytes += held;
    const hold = (now: number) => {
      if (released) return;
      heldBytes += now - held;
      held = now;
    };
    const release = () => {
      if (released) return;
      hold(0);
      released = true;
      open -= 1;
      tellDrained();
    };
    return {setBodyBytes: hold, release};
  };

  const checkRoom = (bytes: number) => {
    if (open >= capacity.maxOpenRequests) {
      throw comeBack('overloaded', 'too many requests are open at this entry');
    }
    if (heldBytes + bytes > capacity.maxHeldBodyBytes) {
      throw comeBack('overloaded', 'too many long prompts are held here');
    }
  };

  return {
    updateConfig: config => {
      // Number 0 is what a process holds before it has heard of any accepted
      // version; it knows no organisation, and would refuse every caller as
      // unauthorised instead of telling the balancer that it is not ready.
      if (config.number === 0) return;
      // A late message must not bring an older version back into force.
      if (newest === undefined || config.number > newest.number) {
        newest = config;
      }
    },
    updateMembership: taken => {
      view = taken;
    },
    config: () => {
      if (newest !== undefined) return newest;
      throw comeBack('store-unavailable', 'the configuration is not known yet');
    },
    isReady: () =>
      newest !== undefined &&
      !draining &&
      (view?.replicas ?? []).some(replica => replica.state === 'live'),
    reserveSlot: bytes => {
      if (draining) throw comeBack('draining', 'this entry is leaving');
      checkRoom(bytes);
      return place(bytes);
    },
    reserveResumeSlot: () => {
      checkRoom(0);
      return place(0);
    },
    link: id => links.get(id),
    addLink: (id, link) => void links.set(id, link),
    removeLink: (id, link) => {
      if (links.get(id) === link) links.delete(id);
    },
    drain: done => {
      draining = true;
      waiting = [...waiting, done];
      tellDrained();
    },
    openRequests: () => open,
    dropAllLinks: () => {
      for (const link of [...links.values()]) link.drop();
    },
  };
}

function comeBack(
  code: 'overloaded' | 'draining' | 'store-unavailable',
  message: string,
): OnyxError {
  return new OnyxError({
    code,
    step: 'limit',
    message,
    retryAfterMs: RETRY_MS,
  });
}
