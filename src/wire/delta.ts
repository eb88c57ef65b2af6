/**
 * Delta encoding of the messages of one stream. Heartbeats hardly differ from
 * one to the next, and most of their bytes were names that both ends know. A
 * field that equals that of the message before is left out, and a bit in
 * `same` tells so. A stream keeps order and loses nothing, so both ends
 * remember the same message; each new stream begins with a whole one.
 */
import type {Codec} from './codec.js';

/** What goes over the wire; see `Delta` in `peers.proto`. */
export interface Delta {
  /** Bit `i` is set when field `i` is that of the message before. */
  readonly same: number;
  /** The message without those fields. */
  readonly message: Buffer;
}

/** Names of a message's fields; new ones go to the end, 31 at most. */
export type FieldNames<T> = ReadonlyArray<keyof T & string>;

/** Encodes the messages of one stream, in the order in which they are sent. */
export function createDeltaEncoder<T extends object>(
  codec: Codec<T>,
  fields: FieldNames<T>,
): (value: T) => Delta {
  let previousTexts: ReadonlyArray<string | undefined> = [];
  return value => {
    const texts = fields.map(name => JSON.stringify(value[name]));
    const isSame = (i: number): boolean =>
      previousTexts.length > 0 && texts[i] === previousTexts[i];
    const entries = fields.map((name, i) => [
      name,
      isSame(i) ? emptyValueOf(value[name]) : value[name],
    ]);
    const same = fields.reduce(
      (bits, _, i) => (isSame(i) ? bits | (1 << i) : bits),
      0,
    );
    previousTexts = texts;
    return {same, message: codec.encode(Object.fromEntries(entries) as T)};
  };
}

/** Decodes the messages of one stream, in the order in which they came. */
export function createDeltaDecoder<T extends object>(
  codec: Codec<T>,
  fields: FieldNames<T>,
): (delta: Delta) => T {
  let previous: T | undefined;
  return ({same, message}) => {
    const received = codec.decode(message);
    if (same !== 0 && previous === undefined) {
      throw new Error('the first message of a stream is not whole');
    }
    const unchanged = fields.filter((_, i) => (same & (1 << i)) !== 0);
    const unchangedEntries = unchanged.map(name => [name, previous?.[name]]);
    previous = {...received, ...Object.fromEntries(unchangedEntries)} as T;
    return previous;
  };
}

/** The value that takes no bytes. */
function emptyValueOf(value: unknown): unknown {
  if (Array.isArray(value)) return [];
  switch (typeof value) {
    case 'string':
      return '';
    case 'number':
      return 0;
    case 'boolean':
      return false;
    default:
      return undefined;
  }
}
