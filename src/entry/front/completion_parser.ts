/**
 * Parses the JSON body of a completion as it arrives. The prompt is copied into
 * pieces and is never held as one string. Parsing is done in small steps, so
 * that the event loop can serve other requests in between.
 */
import {TokenParser, Tokenizer, TokenType} from '@streamparser/json';
import type {ParsedElementInfo, ParsedTokenInfo} from '@streamparser/json';
import {OnyxError} from '../../types/errors.js';
import type {Body} from '../../types/services.js';
import {badRequest} from '../faults.js';
import {createPieceBuffer} from './piece_buffer.js';
import type {PieceBuffer} from './piece_buffer.js';

/** Bytes parsed in one step, which takes well under a millisecond. */
export const PARSE_STEP_BYTES = 16 * 1024;

/**
 * Number of characters of the prompt that a tokenizer may buffer. Beyond it the
 * tokenizer is replaced. A large buffer is expensive because it is copied at
 * each partial value; a small one because each new tokenizer has to set up its
 * decoders.
 */
const MAX_TOKENIZER_CHARACTERS = 64 * 1024;
/** Deepest nesting of a body. A deeper one is refused. */
const MAX_DEPTH = 16;
/** Number of values in a body. A body with more is refused. */
const MAX_VALUES = 10_000;
/** Longest field name, in characters. A body with a longer one is refused. */
const MAX_KEY_LENGTH = 1024;
/**
 * Longest number, in bytes. A body with a longer one is refused. The number is
 * measured in whole steps, so up to one step more is accepted.
 */
const MAX_NUMBER_BYTES = 1024;
/** Length of an escape such as `\ud83d`. */
const ESCAPE_BYTES = 6;
/** Matches a tail with the escape of the first half of a surrogate pair. */
const HIGH_SURROGATE_ESCAPE = /\\u[dD][89abAB]..$/s;
const QUOTE = Uint8Array.of(0x22);

/** The top-level fields of a body. */
export interface ParsedCompletion {
  /** All fields except the prompt. */
  readonly fields: ReadonlyMap<string, unknown>;
  /** Undefined when the body has no prompt. */
  readonly prompt: Body | undefined;
}

/** Parses one body, which is written to it in steps. */
export interface CompletionParser {
  /**
   * Parses the next bytes, at most `PARSE_STEP_BYTES` of them.
   * Throws an `OnyxError` if they are invalid.
   */
  write(step: Uint8Array): void;
  /**
   * Ends the body and returns the result. Throws an `OnyxError` if the body is
   * incomplete.
   */
  end(): ParsedCompletion;
}

/** Parses a small body in one step. Throws an `OnyxError` if it is invalid. */
export function parseSmallCompletion(bytes: Uint8Array): ParsedCompletion {
  const value = parseJson(bytes);
  assertObject(value);
  const {prompt, ...others} = value as Record<string, unknown>;
  const fields = new Map(Object.entries(others));
  if (prompt === undefined) return {fields, prompt: undefined};
  const buffer = createPieceBuffer();
  buffer.appendText(promptText(prompt));
  return {fields, prompt: buffer.toBody()};
}

function assertObject(value: unknown): void {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw badRequest('the body must be a JSON object');
  }
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
  } catch (err) {
    throw badRequest(`the body is not JSON: ${messageOf(err)}`);
  }
}

function promptText(prompt: unknown): string {
  const text =
    Array.isArray(prompt) && prompt.length === 1
      ? (prompt[0] as unknown)
      : prompt;
  if (typeof text !== 'string') throw invalidPrompt();
  return text;
}

/** Runs the parser and turns its errors into `bad-request` errors. */
function withParserErrors(run: () => void): void {
  try {
    run();
  } catch (err) {
    if (err instanceof OnyxError) throw err;
    throw badRequest(`the body is not JSON: ${messageOf(err)}`);
  }
}

function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

function invalidPrompt() {
  return badRequest('"prompt" must be a string, or an array of one string');
}

/**
 * Creates a parser for one large body. Tests pass a small
 * `maxTokenizerCharacters` to have the tokenizer replaced often.
 */
export function createCompletionParser(
  maxTokenizerCharacters = MAX_TOKENIZER_CHARACTERS,
): CompletionParser {
  const fields = new Map<string, unknown>();
  const parser = new TokenParser({emitPartialValues: true});
  let prompt: PieceBuffer | undefined;
  let promptEnded = false;
  let copiedCharacters = 0;
  let endsInPrompt = false;
  let valueCount = 0;
  let stepBytes = 0;
  let numberBytes = 0;

  const appendPrompt = (text: unknown, partial: boolean) => {
    if (typeof text !== 'string') {
      // The tokenizer swallows an error that is thrown for a partial number.
      // The error is thrown when the number is complete.
      if (partial) return;
      throw invalidPrompt();
    }
    prompt ??= createPieceBuffer();
    prompt.appendText(text.slice(copiedCharacters));
    copiedCharacters = partial ? text.length : 0;
    endsInPrompt = partial;
    promptEnded = !partial;
  };

  const onField = (key: unknown, value: unknown, partial: boolean) => {
    if (key !== 'prompt') {
      if (!partial) fields.set(String(key), value);
      return;
    }
    if (value === undefined) {
      // The parser reports a key before its value. Of two prompts the last one
      // counts, as with JSON.parse, so the first one is dropped here.
      prompt = undefined;
      promptEnded = false;
    } else if (!Array.isArray(value)) {
      appendPrompt(value, partial);
    } else if (value.length !== 1) {
      throw invalidPrompt();
    }
  };

  const onValue = (info: ParsedElementInfo) => {
    const {key, value, stack} = info;
    const partial = info.partial === true;
    // A body can be crafted to be expensive to parse. Without these limits it
    // would block every other request of the process meanwhile.
    if (stack.length > MAX_DEPTH) throw badRequest('the body nests too deep');
    if (!partial && ++valueCount > MAX_VALUES) {
      throw badRequest('the body holds too many values');
    }
    if (typeof key === 'string' && key.length > MAX_KEY_LENGTH) {
      throw badRequest('the body has a name that is too long');
    }
    if (stack.length === 0) {
      if (!partial) assertObject(value);
    } else if (stack.length === 1) {
      onField(key, value, partial);
    } else if (stack[1]?.key === 'prompt' && value !== undefined) {
      if (stack.length > 2 || key !== 0) throw invalidPrompt();
      appendPrompt(value, partial);
    }
  };

  const onToken = (info: ParsedTokenInfo) => {
    const partialNumber =
      info.partial === true && info.token === TokenType.NUMBER;
    numberBytes = partialNumber ? numberBytes + stepBytes : 0;
    parser.write(info);
  };

  const createTokenizer = () => {
    const newTokenizer = new Tokenizer({emitPartialTokens: true});
    newTokenizer.onToken = onToken;
    return newTokenizer;
  };

  parser.onValue = onValue;
  let tokenizer = createTokenizer();

  /**
   * Replaces a tokenizer that has buffered much of the prompt. A tokenizer
   * buffers a string until its last character. Inside the prompt, a new
   * tokenizer that has read an opening quote is in the same state, but without
   * the characters that are copied already. After the escaped first half of a
   * surrogate pair the tokenizer is kept, because it stores that half.
   */
  const replaceTokenizer = (step: Uint8Array) => {
    if (!endsInPrompt || copiedCharacters < maxTokenizerCharacters) return;
    if (step.length < ESCAPE_BYTES) return;
    const tail = String.fromCharCode(...step.subarray(-ESCAPE_BYTES));
    if (HIGH_SURROGATE_ESCAPE.test(tail)) return;
    copiedCharacters = 0;
    tokenizer = createTokenizer();
    tokenizer.write(QUOTE);
  };

  return {
    write: step => {
      stepBytes = step.length;
      endsInPrompt = false;
      withParserErrors(() => tokenizer.write(step));
      // The tokenizer reads a partial number again at each step, so the cost
      // of a number with millions of digits is quadratic in its length.
      if (numberBytes > MAX_NUMBER_BYTES + PARSE_STEP_BYTES) {
        throw badRequest('the body has a number that is too long');
      }
      replaceTokenizer(step);
    },
    end: () => {
      withParserErrors(() => tokenizer.end());
      if (!parser.isEnded) throw badRequest('the body is not whole JSON');
      if (prompt !== undefined && !promptEnded) throw invalidPrompt();
      return {fields, prompt: prompt?.toBody()};
    },
  };
}
