/**
 * Tells an organisation by its key. The salted verification is slow by intent,
 * so its outcome is kept per process under a fingerprint of the key.
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

const MAX_KEY_LENGTH = 512;
/** Keys of today's organisations fit many times over. */
const MAX_KNOWN = 10_000;
/** Enough for one client that repeats a wrong key, too few to fill memory. */
const MAX_REFUSED = 256;
/** Verifications at once; more are told to come back. */
const MAX_PENDING = 32;
/** A key that is not known is tried against thousands of hashes. */
const TRIES_PER_TURN = 64;
const BUSY_RETRY_MS = 1_000;
const BEARER = /^Bearer +(\S+) *$/i;

interface KnownKey {
  readonly fingerprint: Uint8Array;
  readonly organisation: OrganisationId;
  readonly keyHash: string;
}

export interface Authenticator {
  /**
   * The organisation whose key the `Authorization` header bears. Rejects with
   * `unauthorised`, or `overloaded` when too many new keys are being verified.
   */
  authenticate(
    header: string | undefined,
    declarations: Declarations,
  ): Promise<Organisation>;
}

/** Makes an authenticator with an empty cache. */
export function createAuthenticator(
  verifyKey: VerifyKey,
  yieldLoop: YieldLoop,
): Authenticator {
  const known = new Map<string, KnownKey>();
  const pending = new Map<string, Promise<KnownKey | undefined>>();
  let refused = new Set<string>();
  let refusedBy: Declarations | undefined;

  const lookUp = (
    id: string,
    fingerprint: Uint8Array,
    declarations: Declarations,
  ): Organisation | undefined => {
    const entry = known.get(id);
    if (entry === undefined) return undefined;
    if (!fingerprintsEqual(entry.fingerprint, fingerprint)) return undefined;
    const found = declarations.organisations.find(
      organisation => organisation.id === entry.organisation,
    );
    // A key taken out of the declarations must stop working at once, though
    // it was verified before: the hash it matched has to be there still.
    if (found?.keyHashes.includes(entry.keyHash)) return found;
    known.delete(id);
    return undefined;
  };

  const verify = async (
    key: string,
    fingerprint: Uint8Array,
    declarations: Declarations,
  ): Promise<KnownKey | undefined> => {
    let tried = 0;
    for (const organisation of candidates(key, declarations)) {
      for (const keyHash of organisation.keyHashes) {
        tried += 1;
        if (tried % TRIES_PER_TURN === 0) await yieldLoop();
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
  ): Promise<KnownKey | undefined> => {
    const running = pending.get(id);
    if (running !== undefined) return running;
    // Wrong keys cost a salted hash each: without a bound, a flood of them
    // would take the processor from callers whose keys are known.
    if (pending.size >= MAX_PENDING) throw busy();
    const started = verify(key, fingerprint, declarations).finally(() =>
      pending.delete(id),
    );
    pending.set(id, started);
    return started;
  };

  const remember = (id: string, entry: KnownKey) => {
    if (known.size >= MAX_KNOWN) known.delete(firstOf(known.keys()));
    known.set(id, entry);
  };

  const rememberRefused = (id: string) => {
    if (refused.size >= MAX_REFUSED) refused.delete(firstOf(refused.values()));
    refused.add(id);
  };

  const authenticate = async (
    header: string | undefined,
    declarations: Declarations,
  ): Promise<Organisation> => {
    const key = bearerToken(header);
    if (key === undefined) throw unauthorised('no organisation key was given');
    if (refusedBy !== declarations) {
      refused = new Set();
      refusedBy = declarations;
    }
    const fingerprint = keyFingerprint(key);
    const id = Buffer.from(fingerprint).toString('base64');
    const cached = lookUp(id, fingerprint, declarations);
    if (cached !== undefined) return cached;
    if (refused.has(id)) throw unknownKey();
    const verified = await verifyOnce(id, key, fingerprint, declarations);
    if (verified === undefined) {
      if (refusedBy === declarations) rememberRefused(id);
      throw unknownKey();
    }
    remember(id, verified);
    const organisation = lookUp(id, fingerprint, declarations);
    if (organisation === undefined) throw unknownKey();
    return organisation;
  };

  return {authenticate};
}

/** The token of a customary `Authorization` header. */
export function bearerToken(header: string | undefined): string | undefined {
  const token = BEARER.exec(header ?? '')?.[1];
  return token !== undefined && token.length <= MAX_KEY_LENGTH
    ? token
    : undefined;
}

/**
 * A key of the form `<organisation>.<secret>` is tried against that
 * organisation's hashes only; any other against those of all.
 */
function candidates(
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
    retryAfterMs: BUSY_RETRY_MS,
  });
}
