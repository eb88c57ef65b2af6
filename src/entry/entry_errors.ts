/** Errors that an entry finds by itself, before any upstream is asked. */
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Step} from '../types/errors.js';

const MAX_MESSAGE_LENGTH = 200;

/** A fault in what the caller sent. */
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

/** Told alike for an unknown id and for another organisation's request. */
export function requestNotFound(): OnyxError {
  return badRequest('no such request', 'locate', 'not-found');
}

/** Any thrown thing as an `OnyxError`. */
export function toOnyxError(thrown: unknown, step: Step): OnyxError {
  if (thrown instanceof OnyxError) return thrown;
  return new OnyxError({
    code: 'internal',
    step,
    message: 'the entry met an error of its own',
    ran: 'unknown',
  });
}
