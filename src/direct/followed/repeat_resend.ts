/**
 * Repeats the request for the whole state after an error at it. A service sends
 * each change once, so what such a request is to renew would stay unknown.
 */
import type {ServiceContext} from '../../types/kernel.js';
import '../messages.js';

/** Time from the failed request to the next one, in milliseconds. */
const REPEAT_MS = 1_000;

/** Services that are asked for their state. */
type StateOwner = 'followed' | 'sharing';

/**
 * To be called with a message that failed; undefined is one that an error of the
 * mailbox may have lost, which may have been such a request.
 */
export function repeatResend<N extends StateOwner>(
  {clock, name, send}: Pick<ServiceContext<N>, 'clock' | 'name' | 'send'>,
  message: {readonly kind: string} | undefined,
): void {
  if (message !== undefined && message.kind !== 'resend-state') return;
  const owner: StateOwner = name;
  clock.after(
    REPEAT_MS,
    () => send(owner, {kind: 'resend-state'}),
    'state after a failed message',
  );
}
