/**
 * Sends a prompt in small frames, each only when the channel can take it. A
 * prompt of several megabytes then neither blocks short requests in this
 * process nor fills its memory with unsent frames.
 */
import type {RunUp} from '../../types/peer_messages.js';
import type {Body} from '../../types/services.js';

/** Maximum size of a prompt frame, in bytes. Longer pieces are split. */
export const PROMPT_FRAME_BYTES = 64 * 1024;

/** The channel that the prompt is sent to. */
export interface PromptTarget {
  send(frame: RunUp): Promise<void>;
  isClosed(): boolean;
}

/** Resolves with true when the whole prompt was sent. */
export async function sendPrompt(
  target: PromptTarget,
  body: Body,
): Promise<boolean> {
  let seq = 0;
  for (const data of framesOf(body)) {
    await target.send({kind: 'prompt', seq, data});
    if (target.isClosed()) return false;
    seq++;
  }
  await target.send({kind: 'prompt-end', count: seq});
  return !target.isClosed();
}

/** Splits the body into frames without copying it. */
function* framesOf(body: Body): Generator<Uint8Array> {
  for (const piece of body.pieces) {
    for (let offset = 0; offset < piece.length; offset += PROMPT_FRAME_BYTES) {
      yield piece.subarray(offset, offset + PROMPT_FRAME_BYTES);
    }
  }
}
