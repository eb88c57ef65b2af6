/** What the stand-in engine must answer to a prompt. */
import {createDigest} from '../src/utils/digest.js';
import {answerText} from '../standins/engine_runs.js';

/** Digits of the prompt's digest that name it in an answer. */
const HASH_DIGITS = 8;

export function expectedAnswer(prompt: string, tokens: number): string {
  const digest = createDigest();
  digest.update(Buffer.from(prompt, 'utf8'));
  return answerText(digest.value().slice(0, HASH_DIGITS), tokens);
}
