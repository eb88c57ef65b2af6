/**
 * Delta encoding of the messages of one stream. Successive heartbeats hardly
 * differ, and most of their bytes were names that both ends already know. The
 * encoder omits each field that equals the field of the previous message, and
 * sets its bit in `same`. A stream preserves order and loses no message, so
 * both ends know the same previous message. Each stream starts with a complete
 * message.
 */
import type {Codec} from './codec.js';

/** A delta-encoded message; see `Delta` in `peers.proto`. */
export interface Delta {
  /** Bit `i` is set if field `i` equals that of the previous message. */
  readonly same: number;
  /** The encoded message without the unchanged fields. */
  readonly message: Buffer;
}

/**
 * Names of a message's fields, by their bit in `same`. New fields must be added
 * at the end. At most 31 fields are possible.
 */
export type FieldNames<T> = ReadonlyArray<keyof T & string>;

/** Creates the encoder of one stream. Messages are sent in encoding order. */
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

/** Creates the decoder of one stream. Messages must be passed in order. */
export function createDeltaDecoder<T extends object>(
  codec: Codec<T>,
  fields: FieldNames<T>,
): (delta: Delta) => T {
  let previous: T | undefined;
  return ({same, message}) => {
    const received = codec.decode(message);
    if (same !== 0 && previous === undefined) {
      throw new Error('the first message of a stream is not complete');
    }
    const unchanged = fields.filter((_, i) => (same & (1 << i)) !== 0);
    const unchangedEntries = unchanged.map(name => [name, previous?.[name]]);
    previous = {...received, ...Object.fromEntries(unchangedEntries)} as T;
    return previous;
  };
}

/** Returns the value of the same type that is encoded in zero bytes. */
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
