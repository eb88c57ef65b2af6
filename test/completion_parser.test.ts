import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
  createCompletionParser,
  parseSmallCompletion,
} from '../src/entry/front/completion_parser.js';
import type {ParsedCompletion} from '../src/entry/front/completion_parser.js';
import {PIECE_BYTES} from '../src/entry/front/piece_buffer.js';

/** Parses the body in steps of the given lengths, which are used in rotation. */
function parseInSteps(
  body: Uint8Array,
  lengths: readonly number[],
  maxTokenizerCharacters?: number,
): ParsedCompletion {
  const parser = createCompletionParser(maxTokenizerCharacters);
  for (let from = 0, step = 0; from < body.length; step += 1) {
    const length = lengths[step % lengths.length] ?? 1;
    parser.write(body.subarray(from, from + length));
    from += length;
  }
  return parser.end();
}

function promptOf(parsed: ParsedCompletion): string {
  return Buffer.concat(parsed.prompt?.pieces ?? []).toString('utf8');
}

/** JSON with an escape for each character outside ASCII. */
function escapedJson(value: unknown): string {
  return JSON.stringify(value).replace(
    /[^ -~]/g,
    unit => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

const TEXT_PARTS = [
  'plain ',
  '\n',
  '"',
  '\\',
  'é',
  '雨',
  '🌨',
  '\\ud83d',
  '\u0001',
];

describe('parsing a completion in steps', () => {
  test('any split into steps gives the same prompt and fields as JSON.parse', () => {
    const prompt = fc
      .array(fc.constantFrom(...TEXT_PARTS), {maxLength: 60})
      .map(parts => parts.join(''));
    fc.assert(
      fc.property(
        prompt,
        fc.boolean(),
        fc.boolean(),
        fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}),
        (text, asEscapes, inArray, lengths) => {
          const value = {
            model: 'm',
            prompt: inArray ? [text] : text,
            onyxloft: {repeatable: false},
            stop: ['a', 'b'],
          };
          const json = asEscapes ? escapedJson(value) : JSON.stringify(value);
          const parsed = parseInSteps(Buffer.from(json), lengths, 1);
          expect(promptOf(parsed)).toBe(text);
          expect({
            ...Object.fromEntries(parsed.fields),
            prompt: value.prompt,
          }).toEqual(value);
        },
      ),
      {seed: 7, numRuns: 500},
    );
  });

  test('a prompt of five megabytes is returned unchanged in pieces of limited size', () => {
    const line = 'frost at 04:10, "hall\\north"\tplus 🌨 and é\n';
    const text = line.repeat(Math.ceil((5 * 1024 * 1024) / line.length));
    const parsed = parseInSteps(
      Buffer.from(escapedJson({prompt: text, max_tokens: 4})),
      [16_384, 16_381, 7_001],
    );
    const pieces = parsed.prompt?.pieces ?? [];
    expect(Buffer.concat(pieces).equals(Buffer.from(text))).toBe(true);
    expect(Math.max(...pieces.map(piece => piece.length))).toBeLessThanOrEqual(
      PIECE_BYTES,
    );
    expect(parsed.fields.get('max_tokens')).toBe(4);
  });

  test('the last of two prompts counts, as with JSON.parse', () => {
    const body = Buffer.from('{"prompt":"one","prompt":["two"]}');
    expect(promptOf(parseInSteps(body, [3]))).toBe('two');
    expect(promptOf(parseSmallCompletion(body))).toBe('two');
  });

  test.each([
    ['a body cut inside a value', '{"prompt":"abc', 'not JSON'],
    ['a body cut after a value', '{"prompt":"abc"', 'not whole'],
    ['text after the end', '{"prompt":"a"} x', 'not JSON'],
    ['an array', '["prompt"]', 'must be a JSON object'],
    ['a number', '17 ', 'must be a JSON object'],
    ['a prompt that is a number', '{"prompt":17}', '"prompt" must be'],
    ['an array of two prompts', '{"prompt":["a","b"]}', '"prompt" must be'],
    ['an empty array as prompt', '{"prompt":[]}', '"prompt" must be'],
    ['a prompt that is an object', '{"prompt":{"a":"b"}}', '"prompt" must be'],
    ['a nested array as prompt', '{"prompt":[["a"]]}', '"prompt" must be'],
    ['invalid UTF-8', '{"prompt":"\xff\xff"}', 'not JSON'],
    ['deep nesting', `{"a":${'['.repeat(100)}`, 'too deep'],
    ['many values', `{"a":[${'1,'.repeat(20_000)}1]}`, 'too many values'],
    ['a long name', `{"${'n'.repeat(40_000)}":1}`, 'name that is too long'],
    ['a long number', `{"a":${'1'.repeat(80_000)}}`, 'number that is too long'],
  ])('%s is refused with a message that names the fault', (_, json, reason) => {
    const body = Buffer.from(json, 'latin1');
    expect(() => parseInSteps(body, [16_384])).toThrow(reason);
  });
});
