/** Formats JSON pointers (RFC 6901) from path segments. */

/** Returns the pointer of a path. It is empty for the whole document. */
export function toJsonPointer(segments: readonly string[]): string {
  return segments.map(segment => `/${escapeSegment(segment)}`).join('');
}

function escapeSegment(segment: string): string {
  return segment.replaceAll('~', '~0').replaceAll('/', '~1');
}
