/**
 * Decides where an HTTP answer ends (RFC 9112, section 6.3). An answer that ends
 * with its connection looks whole when its sender crashed in the middle, so its
 * reader needs another sign that it is complete.
 */

/** Statuses of answers that have no body. */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** What ends an answer; one that ends with its head has no body. */
export type AnswerEnd = 'head' | 'length' | 'chunks' | 'connection';

type HeaderValue = string | readonly string[] | undefined;

/** The part of an answer's head that decides where it ends. */
export interface FramingHead {
  readonly status: number;
  /** By lower-case names. */
  readonly headers: {
    readonly 'content-length'?: HeaderValue;
    readonly 'transfer-encoding'?: HeaderValue;
  };
}

/** `method` is that of the request. */
export function answerEnd(
  method: string | undefined,
  {status, headers}: FramingHead,
): AnswerEnd {
  if (method === 'HEAD') return 'head';
  if (status === NO_CONTENT || status === NOT_MODIFIED) return 'head';
  const {'content-length': length, 'transfer-encoding': coding} = headers;
  if (coding !== undefined) {
    return endsInChunks(codingsOf(coding)) ? 'chunks' : 'connection';
  }
  return length === undefined ? 'connection' : 'length';
}

/**
 * Whether the body is still in a transfer coding once its chunks are joined. No
 * reader here asks for such a coding (`TE`) or can remove it.
 */
export function isTransferCoded(
  method: string | undefined,
  head: FramingHead,
): boolean {
  const {'transfer-encoding': value} = head.headers;
  if (value === undefined || answerEnd(method, head) === 'head') return false;
  const codings = codingsOf(value);
  const removed = endsInChunks(codings) ? 1 : 0;
  return codings
    .slice(0, codings.length - removed)
    .some(coding => coding !== '' && coding !== 'identity');
}

/** As the parser does, which reads other answers to the connection's end. */
function endsInChunks(codings: readonly string[]): boolean {
  return codings.at(-1) === 'chunked';
}

function codingsOf(value: string | readonly string[]): readonly string[] {
  return [value]
    .flat()
    .join()
    .split(',')
    .map(coding => coding.trim().toLowerCase());
}
