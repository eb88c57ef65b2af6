/** Errors that an entry raises itself, before it contacts any upstream. */
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Step} from '../types/errors.js';

/** Maximum length of an error message; longer ones are cut. */
const MAX_MESSAGE_LENGTH = 200;

/** An error in what the caller sent. */
export function badRequest(
  message: string,
  step: Step = 'validate',
  code: ErrorCode = 'bad-request',
): OnyxError {
  return new OnyxError({
    code,
    step,
    message: message.slice(0, MAX_MESSAGE_LENGTH),
  });
}

/**
 * Unknown ids and requests of other organisations get the same error, so that
 * an organisation can't learn that another's request exists.
 */
export function requestNotFound(): OnyxError {
  return badRequest('no such request', 'locate', 'not-found');
}

/** Converts any thrown value to an `OnyxError`. */
export function toOnyxError(thrown: unknown, step: Step): OnyxError {
  if (thrown instanceof OnyxError) return thrown;
  return new OnyxError({
    code: 'internal',
    step,
    message: 'the entry met an error of its own',
    ran: 'unknown',
  });
}
