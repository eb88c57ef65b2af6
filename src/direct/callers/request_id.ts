/** The id of a caller's request, for the log. */
import type {IncomingMessage} from 'node:http';
import type {HeaderCodec} from '../types.js';

/**
 * Undefined also where the headers cannot be read: an error there ends the
 * request, and a second one, in the line about it, would end the process.
 */
export function readId(
  codec: HeaderCodec,
  {headers}: IncomingMessage,
): string | undefined {
  try {
    return codec.readRequest(headers).id;
  } catch {
    return undefined;
  }
}
