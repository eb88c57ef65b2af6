/**
 * Authenticates operators by the operators' token. The fingerprint of an
 * accepted token is cached, because verifying a token against its salted hash
 * is slow on purpose.
 */
import {OnyxError} from '../../types/errors.js';
import {
  fingerprintsEqual,
  keyFingerprint,
} from '../../utils/key_fingerprint.js';
import {bearerToken} from './authenticator.js';
import type {VerifyKey} from './authenticator.js';

/**
 * Largest number of concurrent verifications. A request that needs a further
 * one is refused with `overloaded`, so that a flood of wrong tokens does not
 * use up the CPU.
 */
const MAX_PENDING_VERIFICATIONS = 4;
/** `Retry-After` of a request that found too many verifications pending. */
const BUSY_RETRY_AFTER_MS = 1_000;

export interface OperatorAuth {
  /** Rejects with an `OnyxError` unless the header has the valid token. */
  authenticate(header: string | undefined): Promise<void>;
}

/** Creates the authentication. Without a hash it refuses everyone. */
export function createOperatorAuth(
  tokenHash: string | undefined,
  verifyKey: VerifyKey,
): OperatorAuth {
  let acceptedFingerprint: Uint8Array | undefined;
  let pendingVerifications = 0;

  const verify = async (token: string, hash: string) => {
    if (pendingVerifications >= MAX_PENDING_VERIFICATIONS) throw busyError();
    pendingVerifications += 1;
    try {
      return await verifyKey(token, hash);
    } finally {
      pendingVerifications -= 1;
    }
  };

  const authenticate = async (header: string | undefined) => {
    if (tokenHash === undefined) {
      throw accessDeniedError(
        'forbidden',
        'this process has no operator token set',
      );
    }
    const token = bearerToken(header);
    if (token === undefined) {
      throw accessDeniedError('unauthorised', 'no operator token was given');
    }
    const fingerprint = keyFingerprint(token);
    if (
      acceptedFingerprint !== undefined &&
      fingerprintsEqual(acceptedFingerprint, fingerprint)
    ) {
      return;
    }
    if (!(await verify(token, tokenHash))) {
      throw accessDeniedError('unauthorised', 'the operator token is wrong');
    }
    acceptedFingerprint = fingerprint;
  };

  return {authenticate};
}

function accessDeniedError(
  code: 'forbidden' | 'unauthorised',
  message: string,
): OnyxError {
  return new OnyxError({code, step: 'authenticate', message});
}

function busyError(): OnyxError {
  return new OnyxError({
    code: 'overloaded',
    step: 'authenticate',
    message: 'too many operator tokens are being verified',
    retryAfterMs: BUSY_RETRY_AFTER_MS,
  });
}
