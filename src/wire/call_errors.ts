/** Errors of calls between processes, the same for every transport. */
import {OnyxError} from '../types/errors.js';
import type {Step} from '../types/errors.js';
import type {Address} from '../types/ids.js';
import type {PeerMethod} from '../types/peer_messages.js';

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

/** The call reached no connection, so the peer has not seen it. */
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
 * The call was sent and no answer came. A connection lost after sending says
 * no more than a timeout does: the peer may have done what was asked.
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

/** The peer answered that its handler failed. */
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
