/** Callbacks for a peer confirmation that ignore everything. */
import type {PeerConfirmationOptions} from '../../src/direct/peer_confirmation.js';

export const IGNORED_CALLBACKS = {
  onConfirmed: () => undefined,
  onDifferentConfig: () => undefined,
  onSameConfig: () => undefined,
  onDifferentReplicas: () => undefined,
  onNewerEra: () => undefined,
  onUnconfirmed: () => undefined,
  onChange: () => undefined,
} as const satisfies Partial<PeerConfirmationOptions>;
