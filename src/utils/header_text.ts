/** Texts that a header can carry, from records that other programs write. */

/** What Node's HTTP client takes: Latin-1 without control characters. */
const HEADER_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;

export function isHeaderText(text: string): boolean {
  return HEADER_TEXT.test(text);
}

/** White space at an end, which readers of a header drop. */
const OUTER_SPACE = /^[\t ]|[\t ]$/;
/** A surrogate without its other half, which UTF-8 can't carry. */
const LONE_SURROGATE = /\p{Surrogate}/u;

/**
 * The text's UTF-8 bytes, one character each, as Node's HTTP client writes them.
 * Undefined where a header's reader would get another text.
 */
export function toHeaderBytes(text: string): string | undefined {
  if (OUTER_SPACE.test(text) || LONE_SURROGATE.test(text)) return undefined;
  const bytes = Buffer.from(text, 'utf8').toString('latin1');
  return isHeaderText(bytes) ? bytes : undefined;
}
