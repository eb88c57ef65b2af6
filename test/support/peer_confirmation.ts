/** What an entry is told of another one's word, passed over. */
import type {CoverOptions} from '../../src/direct/peer_confirmation.js';

export const DEAF = {
  onConfirmed: () => undefined,
  onOtherConfig: () => undefined,
  onSameConfig: () => undefined,
  onOtherReplicas: () => undefined,
  onNewerEra: () => undefined,
  onUncovered: () => undefined,
  onChange: () => undefined,
} as const satisfies Partial<CoverOptions>;
