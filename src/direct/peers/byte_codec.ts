/**
 * Writes and reads numbers and short texts in few bytes. The bytes may come
 * from any program, so a reader never reads past their end. After the first
 * invalid value it has failed, and returns only zeros and empty texts.
 */

/** Largest number in variable length: seven bits in each of seven bytes. */
export const MAX_VARIABLE = 2 ** 49 - 1;
const MAX_VARIABLE_BYTES = 7;
/** Bits of a weight's mantissa after its leading one. */
const MANTISSA_BITS = 11;
const MANTISSA_ONE = 2 ** MANTISSA_BITS;
const MAX_EXPONENT = 31;
const POWERS_OF_TWO = Array.from({length: MAX_EXPONENT}, (_, at) => 2 ** at);
/** Largest weight that can be written. */
export const MAX_WEIGHT = (2 - 1 / MANTISSA_ONE) * 2 ** (MAX_EXPONENT - 1);

export interface ByteWriter {
  byte(value: number): void;
  uint32(value: number): void;
  /** Writes a number from 0 to `MAX_VARIABLE`, rounded to a whole one. */
  variable(value: number): void;
  /** Writes a number of either sign, rounded to a whole one. */
  signed(value: number): void;
  /**
   * Writes a weight in two bytes. Weights from 1 to `MAX_WEIGHT` are rounded by
   * at most one part in 4,096, and smaller ones to 0 or 1.
   */
  weight(value: number): void;
  text(value: string): void;
  toBuffer(): Buffer;
}

/** Values out of range are written as the nearest value in range, NaN as 0. */
export function createByteWriter(): ByteWriter {
  const bytes: number[] = [];
  const byte = (value: number): void => void bytes.push(value & 0xff);
  const variable = (value: number): void => {
    let rest = Math.round(clamp(value, 0, MAX_VARIABLE));
    while (rest >= 0x80) {
      byte((rest % 0x80) | 0x80);
      rest = Math.floor(rest / 0x80);
    }
    byte(rest);
  };
  const uint16 = (value: number): void => {
    byte(value >>> 8);
    byte(value);
  };
  return {
    byte,
    uint32: value => {
      uint16(value >>> 16);
      uint16(value & 0xffff);
    },
    variable,
    signed: value => {
      const limit = Math.floor(MAX_VARIABLE / 2);
      const whole = Math.round(clamp(value, -limit, limit));
      variable(whole < 0 ? -2 * whole - 1 : 2 * whole);
    },
    weight: value => uint16(packWeight(clamp(value, 0, MAX_WEIGHT))),
    text: value => {
      const encoded = Buffer.from(value, 'utf8');
      variable(encoded.length);
      for (const item of encoded) byte(item);
    },
    toBuffer: () => Buffer.from(bytes),
  };
}

export interface ByteReader {
  byte(): number;
  uint32(): number;
  variable(): number;
  signed(): number;
  weight(): number;
  text(): string;
  /** Whether all bytes were read and each value was valid. */
  isComplete(): boolean;
  hasFailed(): boolean;
}

export function createByteReader(bytes: Buffer): ByteReader {
  let at = 0;
  let failed = false;
  const byte = (): number => {
    if (failed || at >= bytes.length) {
      failed = true;
      return 0;
    }
    return bytes[at++];
  };
  const variable = (): number => {
    let value = byte();
    // Most numbers have one or two bytes.
    if (value < 0x80) return value;
    value &= 0x7f;
    let factor = 0x80;
    for (let count = 1; count < MAX_VARIABLE_BYTES; count++) {
      const next = byte();
      value += (next & 0x7f) * factor;
      if (next < 0x80) return value;
      factor *= 0x80;
    }
    failed = true;
    return 0;
  };
  const uint16 = (): number => byte() * 0x100 + byte();
  return {
    byte,
    uint32: () => uint16() * 0x1_0000 + uint16(),
    variable,
    signed: () => {
      const value = variable();
      return value % 2 === 0 ? value / 2 : -(value + 1) / 2;
    },
    weight: () => unpackWeight(uint16()),
    text: () => {
      const length = variable();
      const end = at + length;
      if (failed || end > bytes.length) {
        failed = true;
        return '';
      }
      const value = bytes.toString('utf8', at, end);
      at = end;
      return value;
    },
    isComplete: () => !failed && at === bytes.length,
    hasFailed: () => failed,
  };
}

/** Five bits of exponent and eleven of mantissa; all zeros stand for 0. */
function packWeight(value: number): number {
  if (value < 0.5) return 0;
  if (value < 1) return MANTISSA_ONE;
  const exponent = Math.floor(Math.log2(value));
  const mantissa = Math.round((value / 2 ** exponent) * MANTISSA_ONE);
  // A mantissa that was rounded up to 2 carries over into the exponent.
  const packed = exponent * MANTISSA_ONE + mantissa;
  return Math.min(0xffff, packed);
}

function unpackWeight(packed: number): number {
  const exponent = Math.floor(packed / MANTISSA_ONE);
  if (exponent === 0) return 0;
  const mantissa = 1 + (packed % MANTISSA_ONE) / MANTISSA_ONE;
  return mantissa * POWERS_OF_TWO[exponent - 1];
}

function clamp(value: number, min: number, max: number): number {
  return Number.isNaN(value) ? 0 : Math.min(max, Math.max(min, value));
}
