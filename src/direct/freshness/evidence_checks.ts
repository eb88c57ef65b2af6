/**
 * Decides whether the evidence from the store is recent enough for an answer:
 * to accept a key, or to deny a request for its route or its key. Each of the
 * two has its own limit. Where the evidence is too old, the entry asks for newer
 * one and the request waits for it, but not for long, and not after such a wait
 * has ended in vain.
 */
import type {Clock} from '../../types/runtime.js';
import {
  CONFIRM_TIMEOUT_MS,
  FIRST_CONFIRMATION_MS,
  confirmTimeoutMs,
  waitForFreshEvidence,
  waitForYoungEvidence,
} from '../evidence.js';
import type {StoreEvidence} from '../evidence.js';
import {createVainWaits} from './vain_waits.js';

/**
 * Shortest time between two queries of peers for the confirmation of keys, in
 * milliseconds. Requests that wait share a query, because many callers may
 * return at once to an entry that starts.
 */
const CONFIRMATION_ASK_MS = 10;
/**
 * A request is denied on evidence up to this share of the bound on a new
 * configuration. The rest is a margin for the answer's own time.
 */
const DENIAL_EVIDENCE_SHARE = 0.9;

export interface EvidenceChecksOptions {
  readonly clock: Clock;
  readonly evidence: StoreEvidence;
  /** See `timing.configMs` of the settings. */
  readonly configMs: number | undefined;
  /** Asks the store and a peer for newer evidence. */
  ask(): void;
}

export interface EvidenceChecks {
  /** Keys cannot be confirmed before this time on this process's clock. */
  keysUnconfirmedUntil(time: number): void;
  /** Time until keys can be confirmed, in milliseconds; 0 if they can be now. */
  keysUnconfirmedMs(): number;
  /**
   * Time until newer evidence may be there, in milliseconds; 0 when that is
   * unknown. Callers that are refused without a wait return no sooner than those
   * that waited.
   */
  evidenceDueMs(): number;
  /** Resolves to whether keys may be accepted. */
  keysAreFresh(): Promise<boolean>;
  /** Resolves to whether a request may be denied. */
  denialsAreFresh(): Promise<boolean>;
}

export function createEvidenceChecks({
  clock,
  evidence,
  configMs = Infinity,
  ask,
}: EvidenceChecksOptions): EvidenceChecks {
  const startedAt = clock.now();
  const maxDenialAgeMs = configMs * DENIAL_EVIDENCE_SHARE;
  let unconfirmedUntil = Number.NEGATIVE_INFINITY;
  let askedAt = Number.NEGATIVE_INFINITY;

  const askUnlessAsked = (): void => {
    if (clock.now() - askedAt < CONFIRMATION_ASK_MS) return;
    askedAt = clock.now();
    ask();
  };
  const keysUnconfirmedMs = (): number =>
    evidence.isFresh() ? 0 : Math.max(0, unconfirmedUntil - clock.now());

  const shared = {
    clock,
    evidence,
    countsFrom: startedAt + FIRST_CONFIRMATION_MS,
    ask: askUnlessAsked,
  };
  const keyWaits = createVainWaits({...shared, maxAgeMs: Infinity});
  const denialWaits = createVainWaits({
    ...shared,
    maxAgeMs: maxDenialAgeMs,
  });

  return {
    keysUnconfirmedUntil: time => {
      unconfirmedUntil = time;
    },
    keysUnconfirmedMs,
    evidenceDueMs: () => {
      const isInVain = keyWaits.isLast() || denialWaits.isLast();
      return Math.max(keysUnconfirmedMs(), isInVain ? CONFIRM_TIMEOUT_MS : 0);
    },
    keysAreFresh: async () => {
      // There is no wait when it is known that keys cannot be confirmed yet.
      if (keysUnconfirmedMs() > 0) return false;
      const timeoutMs = confirmTimeoutMs(clock.now() - startedAt);
      return keyWaits.unlessInVain(timeoutMs, () =>
        waitForFreshEvidence(clock, evidence, askUnlessAsked, timeoutMs),
      );
    },
    denialsAreFresh: () =>
      denialWaits.unlessInVain(CONFIRM_TIMEOUT_MS, () =>
        waitForYoungEvidence(clock, evidence, askUnlessAsked, maxDenialAgeMs),
      ),
  };
}
