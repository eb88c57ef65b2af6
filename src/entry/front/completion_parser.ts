/**
 * Reads a completion's JSON body as it arrives. The prompt goes straight into
 * pieces and is never held as one string; parsing goes in small steps, between
 * which the event loop can serve other requests.
 */
import {TokenParser, Tokenizer, TokenType} from '@streamparser/json';
import type {ParsedElementInfo, ParsedTokenInfo} from '@streamparser/json';
import {OnyxError} from '../../types/errors.js';
import type {Body} from '../../types/services.js';
import {badRequest} from '../faults.js';
import {createPieceBuffer} from './piece_buffer.js';
import type {PieceBuffer} from './piece_buffer.js';

/** Bytes parsed in one step: well under a millisecond. */
export const PARSE_STEP_BYTES = 16 * 1024;

/**
 * Characters of the prompt that a tokenizer may hold. At each part the ones it
 * holds are copied, and each new tokenizer has decoders to set up.
 */
const KEEP_CHARACTERS = 64 * 1024;
const MAX_DEPTH = 16;
const MAX_VALUES = 10_000;
const MAX_KEY_LENGTH = 1024;
const MAX_NUMBER_BYTES = 1024;
/** Length of an escape such as `\ud83d`. */
const ESCAPE_BYTES = 6;
const HIGH_SURROGATE_ESCAPE = /\\u[dD][89abAB]..$/s;
const QUOTE = Uint8Array.of(0x22);

/** A body's top-level fields, the prompt apart. */
export interface ParsedCompletion {
  readonly fields: ReadonlyMap<string, unknown>;
  /** Undefined when the body has none. */
  readonly prompt: Body | undefined;
}

export interface CompletionParser {
  /**
   * Parses the next bytes, at most `PARSE_STEP_BYTES` of them.
   * Throws an `OnyxError` on a fault in them.
   */
  write(step: Uint8Array): void;
  /** The whole body has been written. Throws an `OnyxError` if it is cut. */
  end(): ParsedCompletion;
}

/** Parses a small body in one step. Throws an `OnyxError` on a fault. */
export function parseSmallCompletion(bytes: Uint8Array): ParsedCompletion {
  const value = parseJson(bytes);
  checkObject(value);
  const {prompt, ...others} = value as Record<string, unknown>;
  const fields = new Map(Object.entries(others));
  if (prompt === undefined) return {fields, prompt: undefined};
  const buffer = createPieceBuffer();
  buffer.appendText(promptText(prompt));
  return {fields, prompt: buffer.toBody()};
}

function checkObject(value: unknown): void {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw badRequest('the body must be a JSON object');
  }
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
  } catch (err) {
    throw badRequest(`the body is not JSON: ${brief(err)}`);
  }
}

function promptText(prompt: unknown): string {
  const only =
    Array.isArray(prompt) && prompt.length === 1
      ? (prompt[0] as unknown)
      : prompt;
  if (typeof only !== 'string') throw promptFault();
  return only;
}

/** The parser's own errors as faults of the body. */
function guarded(run: () => void): void {
  try {
    run();
  } catch (err) {
    if (err instanceof OnyxError) throw err;
    throw badRequest(`the body is not JSON: ${brief(err)}`);
  }
}

function brief(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

function promptFault() {
  return badRequest('"prompt" must be a string, or an array of one string');
}

/** Starts to parse a large body. Tests give a small `keepCharacters`. */
export function createCompletionParser(
  keepCharacters = KEEP_CHARACTERS,
): CompletionParser {
  const fields = new Map<string, unknown>();
  const parser = new TokenParser({emitPartialValues: true});
  let prompt: PieceBuffer | undefined;
  let promptEnded = false;
  let handed = 0;
  let midPrompt = false;
  let values = 0;
  let stepBytes = 0;
  let numberBytes = 0;

  const take = (text: unknown, partial: boolean) => {
    if (typeof text !== 'string') {
      // The tokenizer swallows what is thrown at a part of a number.
      if (partial) return;
      throw promptFault();
    }
    prompt ??= createPieceBuffer();
    prompt.appendText(text.slice(handed));
    handed = partial ? text.length : 0;
    midPrompt = partial;
    promptEnded = !partial;
  };

  const onField = (key: unknown, value: unknown, partial: boolean) => {
    if (key !== 'prompt') {
      if (!partial) fields.set(String(key), value);
      return;
    }
    if (value === undefined) {
      // The key alone; as with JSON.parse, the last of two prompts counts.
      prompt = undefined;
      promptEnded = false;
    } else if (!Array.isArray(value)) {
      take(value, partial);
    } else if (value.length !== 1) {
      throw promptFault();
    }
  };

  const onValue = (info: ParsedElementInfo) => {
    const {key, value, stack} = info;
    const partial = info.partial === true;
    // Nesting, count and length of keys are bounded: a body made to be costly
    // would otherwise stop every other request here while it is taken apart.
    if (stack.length > MAX_DEPTH) throw badRequest('the body nests too deep');
    if (!partial && ++values > MAX_VALUES) {
      throw badRequest('the body holds too many values');
    }
    if (typeof key === 'string' && key.length > MAX_KEY_LENGTH) {
      throw badRequest('the body has a name that is too long');
    }
    if (stack.length === 0) {
      if (!partial) checkObject(value);
    } else if (stack.length === 1) {
      onField(key, value, partial);
    } else if (stack[1]?.key === 'prompt' && value !== undefined) {
      if (stack.length > 2 || key !== 0) throw promptFault();
      take(value, partial);
    }
  };

  const onToken = (info: ParsedTokenInfo) => {
    const partialNumber =
      info.partial === true && info.token === TokenType.NUMBER;
    numberBytes = partialNumber ? numberBytes + stepBytes : 0;
    parser.write(info);
  };

  const createTokenizer = () => {
    const made = new Tokenizer({emitPartialTokens: true});
    made.onToken = onToken;
    return made;
  };

  parser.onValue = onValue;
  let tokenizer = createTokenizer();

  /**
   * The tokenizer keeps a string from its first character to its last. Within
   * the prompt a new tokenizer that has just seen an opening quote stands in
   * the same state without the characters handed over already. Half a pair
   * given as an escape is kept inside the tokenizer, so then it stays.
   */
  const forgetHanded = (step: Uint8Array) => {
    if (!midPrompt || handed < keepCharacters) return;
    if (step.length < ESCAPE_BYTES) return;
    const tail = String.fromCharCode(...step.subarray(-ESCAPE_BYTES));
    if (HIGH_SURROGATE_ESCAPE.test(tail)) return;
    handed = 0;
    tokenizer = createTokenizer();
    tokenizer.write(QUOTE);
  };

  return {
    write: step => {
      stepBytes = step.length;
      midPrompt = false;
      guarded(() => tokenizer.write(step));
      // The tokenizer reads a number anew at each step, so a number of millions
      // of digits would cost its length times the steps.
      if (numberBytes > MAX_NUMBER_BYTES + PARSE_STEP_BYTES) {
        throw badRequest('the body has a number that is too long');
      }
      forgetHanded(step);
    },
    end: () => {
      guarded(() => tokenizer.end());
      if (!parser.isEnded) throw badRequest('the body is not whole JSON');
      if (prompt !== undefined && !promptEnded) throw promptFault();
      return {fields, prompt: prompt?.toBody()};
    },
  };
}
