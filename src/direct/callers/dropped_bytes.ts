/**
 * Tells whether bytes behind a request may have been dropped, for callers that
 * pipeline requests and offer another protocol. Node's parser drops what it has
 * read in one piece behind a request with `Connection: Upgrade`. Such a request
 * is served as if the offer were not there, and its connection ends behind the
 * answer: otherwise a whole request that was dropped would get neither an answer
 * nor an end. Callers that send one request at a time keep their connections.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Guard} from '../../utils/callback_guard.js';

/** What is read of a request for the decision. */
export type OfferingRequest = Pick<
  IncomingMessage,
  'complete' | 'headers' | 'httpVersion' | 'method' | 'rawHeaders' | 'url'
>;

/** Bytes of `: ` and the line end of a header. */
const HEADER_EXTRA_BYTES = 4;
/** Bytes of both spaces, `HTTP/`, the line end, and the end of the headers. */
const REQUEST_LINE_EXTRA_BYTES = 11;

/** Size of the headers as most programs write them. */
function usualHeadBytes(req: OfferingRequest): number {
  const {method = '', url = '', httpVersion, rawHeaders} = req;
  const texts = [method, url, httpVersion, ...rawHeaders];
  const textBytes = texts.reduce((sum, text) => sum + text.length, 0);
  const headerCount = rawHeaders.length / 2;
  return (
    textBytes + REQUEST_LINE_EXTRA_BYTES + headerCount * HEADER_EXTRA_BYTES
  );
}

/**
 * `bytes` is what was read since the request before. Where the size of the
 * request is not known, bytes may have been dropped.
 */
export function mayHaveDropped(req: OfferingRequest, bytes: number): boolean {
  const {headers, complete} = req;
  if (headers.upgrade === undefined) return false;
  if (headers['transfer-encoding'] !== undefined) return true;
  const bodyBytes = Number(headers['content-length'] ?? 0);
  const usualBytes = usualHeadBytes(req) + bodyBytes;
  const mayBeUnread = bodyBytes > 0 && !complete;
  return mayBeUnread ? bytes > usualBytes : bytes !== usualBytes;
}

/**
 * Closes the connection behind the answer if bytes may have been dropped.
 * `bytesBefore` was read up to the end of the request before.
 */
export function closeIfDropped(
  req: IncomingMessage,
  res: ServerResponse,
  bytesBefore: number,
  guard: Guard,
): void {
  if (req.headers.upgrade === undefined) return;
  const check = () => {
    const bytes = req.socket.bytesRead - bytesBefore;
    if (mayHaveDropped(req, bytes)) res.shouldKeepAlive = false;
  };
  check();
  req.once('end', guard('request read', check));
}
