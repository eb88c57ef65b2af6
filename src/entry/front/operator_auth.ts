/** Lets in whoever bears the operators' token. */
import {OnyxError} from '../../types/errors.js';
import {
  fingerprintsEqual,
  keyFingerprint,
} from '../../utils/key_fingerprint.js';
import {bearerToken} from './authenticator.js';
import type {VerifyKey} from './authenticator.js';

/** Verifications at once: wrong tokens must not take the processor. */
const MAX_PENDING = 4;
const BUSY_RETRY_MS = 1_000;

export interface OperatorAuth {
  /** Rejects with an `OnyxError` unless the header bears the token. */
  authenticate(header: string | undefined): Promise<void>;
}

/** Without a hash nobody is let in. */
export function createOperatorAuth(
  tokenHash: string | undefined,
  verifyKey: VerifyKey,
): OperatorAuth {
  let accepted: Uint8Array | undefined;
  let pending = 0;

  const verify = async (token: string, hash: string) => {
    if (pending >= MAX_PENDING) throw busy();
    pending += 1;
    try {
      return await verifyKey(token, hash);
    } finally {
      pending -= 1;
    }
  };

  const check = async (header: string | undefined) => {
    if (tokenHash === undefined) {
      throw denied('forbidden', 'this process has no operator token set');
    }
    const token = bearerToken(header);
    if (token === undefined) {
      throw denied('unauthorised', 'no operator token was given');
    }
    const fingerprint = keyFingerprint(token);
    if (accepted !== undefined && fingerprintsEqual(accepted, fingerprint)) {
      return;
    }
    if (!(await verify(token, tokenHash))) {
      throw denied('unauthorised', 'the operator token is wrong');
    }
    accepted = fingerprint;
  };

  return {authenticate: check};
}

function denied(
  code: 'forbidden' | 'unauthorised',
  message: string,
): OnyxError {
  return new OnyxError({code, step: 'authenticate', message});
}

function busy(): OnyxError {
  return new OnyxError({
    code: 'overloaded',
    step: 'authenticate',
    message: 'too many operator tokens are being verified',
    retryAfterMs: BUSY_RETRY_MS,
  });
}
