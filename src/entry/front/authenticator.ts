/**
 * Finds the organisation that a key belongs to. Verifying a key against a
 * salted hash is slow on purpose, so this process caches the result under a
 * fingerprint of the key.
 */
import type {Declarations, Organisation} from '../../types/config.js';
import {OnyxError} from '../../types/errors.js';
import type {OrganisationId} from '../../types/ids.js';
import type {YieldLoop} from '../../utils/event_loop.js';
import {
  fingerprintsEqual,
  keyFingerprint,
} from '../../utils/key_fingerprint.js';

/** Verifies a key against one salted hash. */
export type VerifyKey = (
  key: string,
  keyHash: string,
) => boolean | Promise<boolean>;

/** Longest accepted token, in characters. A longer one counts as none. */
const MAX_KEY_LENGTH = 512;
/**
 * Size of the cache of verified keys. Beyond it the oldest entry is dropped and
 * that key is verified again. The organisations have far fewer keys.
 */
const MAX_CACHED_KEYS = 10_000;
/**
 * Number of wrong keys that are remembered. Beyond it the oldest is forgotten.
 * It is enough for clients that repeat a wrong key, and too small for a flood
 * of wrong keys to fill the memory.
 */
const MAX_REFUSALS = 256;
/** Number of concurrent verifications. Further ones get `overloaded`. */
const MAX_PENDING_VERIFICATIONS = 32;
/**
 * Number of hashes that a key is compared with before the event loop gets a
 * turn. An unknown key is compared with thousands of hashes, and other requests
 * would wait for all of them.
 */
const HASHES_PER_LOOP_TURN = 64;
/** `Retry-After` of a request that found too many verifications pending. */
const BUSY_RETRY_AFTER_MS = 1_000;
const BEARER = /^Bearer +(\S+) *$/i;

interface VerifiedKey {
  readonly fingerprint: Uint8Array;
  readonly organisation: OrganisationId;
  /** The declared hash that the key matched. */
  readonly keyHash: string;
}

export interface Authenticator {
  /**
   * Resolves to the organisation whose key is in the `Authorization` header.
   * Rejects with `unauthorised`, or with `overloaded` when too many new keys
   * are being verified.
   */
  authenticate(
    header: string | undefined,
    declarations: Declarations,
  ): Promise<Organisation>;
}

/** Creates an authenticator with an empty cache. */
export function createAuthenticator(
  verifyKey: VerifyKey,
  yieldLoop: YieldLoop,
): Authenticator {
  const cache = new Map<string, VerifiedKey>();
  const pendingVerifications = new Map<
    string,
    Promise<VerifiedKey | undefined>
  >();
  let refused = new Set<string>();
  let refusedUnder: Declarations | undefined;

  const findVerified = (
    id: string,
    fingerprint: Uint8Array,
    declarations: Declarations,
  ): Organisation | undefined => {
    const entry = cache.get(id);
    if (entry === undefined) return undefined;
    if (!fingerprintsEqual(entry.fingerprint, fingerprint)) return undefined;
    const found = declarations.organisations.find(
      organisation => organisation.id === entry.organisation,
    );
    // A key that is removed from the declarations must stop working at once,
    // even if it is in the cache. The hash it matched must still be declared.
    if (found?.keyHashes.includes(entry.keyHash)) return found;
    cache.delete(id);
    return undefined;
  };

  const verify = async (
    key: string,
    fingerprint: Uint8Array,
    declarations: Declarations,
  ): Promise<VerifiedKey | undefined> => {
    let hashesTried = 0;
    for (const organisation of candidateOrganisations(key, declarations)) {
      for (const keyHash of organisation.keyHashes) {
        hashesTried += 1;
        if (hashesTried % HASHES_PER_LOOP_TURN === 0) await yieldLoop();
        if (await verifyKey(key, keyHash)) {
          return {fingerprint, organisation: organisation.id, keyHash};
        }
      }
    }
    return undefined;
  };

  const verifyOnce = (
    id: string,
    key: string,
    fingerprint: Uint8Array,
    declarations: Declarations,
  ): Promise<VerifiedKey | undefined> => {
    const pending = pendingVerifications.get(id);
    if (pending !== undefined) return pending;
    // Each wrong key costs salted hashes. Without a limit, a flood of wrong
    // keys would use up the CPU that callers with valid keys need.
    if (pendingVerifications.size >= MAX_PENDING_VERIFICATIONS) throw busy();
    const verification = verify(key, fingerprint, declarations).finally(() =>
      pendingVerifications.delete(id),
    );
    pendingVerifications.set(id, verification);
    return verification;
  };

  const addVerified = (id: string, entry: VerifiedKey) => {
    if (cache.size >= MAX_CACHED_KEYS) cache.delete(firstOf(cache.keys()));
    cache.set(id, entry);
  };

  const addRefused = (id: string) => {
    if (refused.size >= MAX_REFUSALS) refused.delete(firstOf(refused.values()));
    refused.add(id);
  };

  const authenticate = async (
    header: string | undefined,
    declarations: Declarations,
  ): Promise<Organisation> => {
    const key = bearerToken(header);
    if (key === undefined) throw unauthorised('no organisation key was given');
    if (refusedUnder !== declarations) {
      refused = new Set();
      refusedUnder = declarations;
    }
    const fingerprint = keyFingerprint(key);
    const id = Buffer.from(fingerprint).toString('base64');
    const cached = findVerified(id, fingerprint, declarations);
    if (cached !== undefined) return cached;
    if (refused.has(id)) throw unknownKey();
    const verified = await verifyOnce(id, key, fingerprint, declarations);
    if (verified === undefined) {
      if (refusedUnder === declarations) addRefused(id);
      throw unknownKey();
    }
    addVerified(id, verified);
    const organisation = findVerified(id, fingerprint, declarations);
    if (organisation === undefined) throw unknownKey();
    return organisation;
  };

  return {authenticate};
}

/** Returns the token of a `Bearer` authorization header. */
export function bearerToken(header: string | undefined): string | undefined {
  const token = BEARER.exec(header ?? '')?.[1];
  return token !== undefined && token.length <= MAX_KEY_LENGTH
    ? token
    : undefined;
}

/**
 * Returns the organisations whose hashes a key is compared with. For a key of
 * the form `<organisation>.<secret>` this is that organisation alone; for any
 * other key, all organisations.
 */
function candidateOrganisations(
  key: string,
  declarations: Declarations,
): readonly Organisation[] {
  const named = declarations.organisations.filter(organisation =>
    key.startsWith(`${organisation.id}.`),
  );
  return named.length > 0 ? named : declarations.organisations;
}

function firstOf(keys: Iterator<string>): string {
  return String(keys.next().value);
}

function unauthorised(message: string): OnyxError {
  return new OnyxError({code: 'unauthorised', step: 'authenticate', message});
}

function unknownKey(): OnyxError {
  return unauthorised('the organisation key is not known');
}

function busy(): OnyxError {
  return new OnyxError({
    code: 'overloaded',
    step: 'authenticate',
    message: 'too many keys are being verified',
    retryAfterMs: BUSY_RETRY_AFTER_MS,
  });
}
