/**
 * Parses JSON that another program wrote, up to a bounded depth. A value that is
 * nested deeply costs memory and long garbage collections once it is built, and
 * recursive functions such as `JSON.stringify` run out of stack on it.
 */
import {Left, Right} from 'purify-ts/Either';
import type {Either} from 'purify-ts';

/** Most levels of arrays and objects; valid values have up to ten. */
export const MAX_JSON_DEPTH = 64;
export const TOO_DEEP = 'nested too deeply';

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const ARRAY_START = 0x5b;
const ARRAY_END = 0x5d;
const OBJECT_START = 0x7b;
const OBJECT_END = 0x7d;

/** Returns Left if the text is not valid JSON or is nested too deeply. */
export function parseBoundedJson(text: string): Either<string, unknown> {
  if (isNestedTooDeeply(text)) return Left(TOO_DEEP);
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (err) {
    return Left(String(err));
  }
}

/** Scans without recursion and without building a value. */
export function isNestedTooDeeply(text: string): boolean {
  if (text.length <= MAX_JSON_DEPTH) return false;
  let depth = 0;
  for (let at = 0; at < text.length; at++) {
    switch (text.charCodeAt(at)) {
      case QUOTE:
        at = endOfString(text, at);
        break;
      case ARRAY_START:
      case OBJECT_START:
        if (++depth > MAX_JSON_DEPTH) return true;
        break;
      case ARRAY_END:
      case OBJECT_END:
        depth--;
    }
  }
  return false;
}

/** Index of the closing quote; the text's length for a string without one. */
export function endOfString(text: string, start: number): number {
  for (let from = start + 1; ;) {
    const quote = text.indexOf('"', from);
    if (quote < 0) return text.length;
    let first = quote;
    while (text.charCodeAt(first - 1) === BACKSLASH && first > from) first--;
    if ((quote - first) % 2 === 0) return quote;
    from = quote + 1;
  }
}
