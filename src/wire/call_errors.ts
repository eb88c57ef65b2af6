/**
 * Errors of calls between processes, shared by all transports. They tell apart
 * a call that was not sent, one with an unknown outcome, and one that failed.
 */
import {OnyxError} from '../types/errors.js';
import type {Step} from '../types/errors.js';
import type {Address} from '../types/ids.js';
import type {PeerMethod} from '../types/peer_messages.js';

/** The `step` field of an error, by the method of the call. */
const STEP_BY_METHOD: Readonly<Record<PeerMethod, Step>> = {
  offer: 'offer',
  abandon: 'abandon',
  locate: 'locate',
  sideHeartbeat: 'heartbeat',
  entryHeartbeat: 'heartbeat',
  fetchConfig: 'config',
  grant: 'limit',
  order: 'order',
};

/** Error of a call that reached no connection. The peer did not receive it. */
export function notSentError(
  method: PeerMethod,
  peer: Address,
  cause: string,
): OnyxError {
  return new OnyxError({
    code: 'peer-unreachable',
    step: STEP_BY_METHOD[method],
    peer,
    message: `${method} was not sent to ${peer}: ${cause}`,
  });
}

/**
 * Error of a call that was sent and not answered. The code is `timeout` also if
 * the connection was lost after sending. In both cases the peer may have
 * executed the call.
 */
export function outcomeUnknownError(
  method: PeerMethod,
  peer: Address,
  cause: string,
): OnyxError {
  return new OnyxError({
    code: 'timeout',
    step: STEP_BY_METHOD[method],
    peer,
    message: `${method} to ${peer} has an unknown outcome: ${cause}`,
  });
}

/** Error of a call whose handler failed at the peer. */
export function failedAtPeerError(
  method: PeerMethod,
  peer: Address,
  cause: string,
): OnyxError {
  return new OnyxError({
    code: 'internal',
    step: STEP_BY_METHOD[method],
    peer,
    message: `${method} failed at ${peer}: ${cause}`,
  });
}
