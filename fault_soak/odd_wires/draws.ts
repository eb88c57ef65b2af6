/** What the fuzz draws from: values, bytes, numbers out of range, changed JSON. */
import type {Random} from '../../src/types/runtime.js';

const NUMBERS = [
  '1e400',
  '-1e400',
  '-1',
  '-0',
  '0.5',
  '1e308',
  '9007199254740993',
  '4294967296',
  '65536',
  'NaN',
  '"4"',
  'null',
];
const DEEP_LEVELS = 30_000;
const DEEP = '['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS);
const VALUES = [
  'null',
  'true',
  '[]',
  '{}',
  '""',
  '[null]',
  '"\\u0000"',
  '"\\ud800"',
  '"__proto__"',
  '{"__proto__":{"a":1}}',
  `"${'é'.repeat(2_000)}"`,
  DEEP,
];
const NUMBER_PATTERN = /-?\d+(\.\d+)?/g;
const VALUE_PATTERN = /"[^"]*"(?=[,}\]])|\[\]|true|false/g;

export interface Draw {
  chance(share: number): boolean;
  /** A whole number from 0 to `count - 1`. */
  below(count: number): number;
  one<T>(all: readonly T[]): T;
  /** Bytes of any value, as Latin-1. */
  bytes(count: number): string;
}

export function createDraw(random: Random): Draw {
  const below = (count: number) => Math.floor(random.next() * count);
  return {
    chance: share => random.next() < share,
    below,
    one: all => all[below(all.length)],
    bytes: count =>
      Array.from({length: count}, () => String.fromCharCode(below(256))).join(
        '',
      ),
  };
}

/** A number as JSON has it, mostly one that no program sends. */
export function oddNumber(draw: Draw): string {
  return draw.one(NUMBERS);
}

/** The text with one thing changed: a byte, a number, a value, or its end. */
export function changeText(draw: Draw, text: string): string {
  const at = draw.below(text.length + 1);
  switch (draw.below(6)) {
    case 0:
      return text.slice(0, at);
    case 1:
      return `${text.slice(0, at)}${draw.bytes(1)}${text.slice(at + 1)}`;
    case 2:
      return `${text.slice(0, at)}${draw.bytes(1 + draw.below(20))}${text.slice(at)}`;
    case 3:
      return replaceOne(draw, text, VALUE_PATTERN, draw.one(VALUES));
    default:
      return replaceOne(draw, text, NUMBER_PATTERN, oddNumber(draw));
  }
}

function replaceOne(
  draw: Draw,
  text: string,
  pattern: RegExp,
  value: string,
): string {
  const found = [...text.matchAll(pattern)];
  if (found.length === 0) return value;
  const {index, 0: old} = draw.one(found);
  return `${text.slice(0, index)}${value}${text.slice(index + old.length)}`;
}
