/**
 * Records HTTP exchanges as text and masks the values that vary from run to
 * run.
 */
import {request} from 'node:http';
import type {IncomingMessage} from 'node:http';

export interface ExchangeOptions {
  readonly method: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Closes the connection after this many events of a stream. */
  readonly closeAfterEvents?: number;
  /** Called once, after the first event of a stream has arrived. */
  readonly onFirstEvent?: () => void;
}

export interface Exchange {
  /** Request and response as sent over the connection, without the framing. */
  readonly text: string;
  readonly requestId: string;
  readonly body: string;
}

/** Longest request body shown in full, in characters. */
const MAX_SHOWN_BODY = 200;
/** Ends each event of an event stream. */
const EVENT_END = '\n\n';

/**
 * Sends a request and reads the response to its end, or until the connection is
 * closed.
 */
export async function exchange(
  url: string,
  options: ExchangeOptions,
): Promise<Exchange> {
  const {method, headers = {}, body = ''} = options;
  const res = await new Promise<IncomingMessage>((resolve, reject) => {
    const req = request(url, {method, headers, agent: false}, resolve);
    req.on('error', reject);
    req.end(body);
  });
  let answer = '';
  let firstEventReported = false;
  for await (const piece of res) {
    answer += String(piece);
    if (!firstEventReported && answer.includes(EVENT_END)) {
      firstEventReported = true;
      options.onFirstEvent?.();
    }
    const {closeAfterEvents} = options;
    const events = answer.split(EVENT_END);
    if (closeAfterEvents !== undefined && events.length > closeAfterEvents) {
      answer = events.slice(0, closeAfterEvents).join(EVENT_END) + EVENT_END;
      break;
    }
  }
  const requestId = String(res.headers['x-request-id'] ?? '');
  const path = url.replace(/^http:\/\/[^/]+/, '');
  const sent = Object.entries(headers).map(([name, value]) => [name, value]);
  const got: string[][] = [];
  for (let at = 0; at < res.rawHeaders.length; at += 2) {
    got.push(res.rawHeaders.slice(at, at + 2));
  }
  const text = [
    `> ${method} ${path}`,
    ...sent.map(([name, value]) => `> ${name}: ${value}`),
    ...(body === '' ? [] : ['>', `> ${abbreviate(body)}`]),
    `< ${res.statusCode} ${res.statusMessage}`,
    ...got.map(([name, value]) => `< ${name}: ${value}`),
    '<',
    ...answer
      .trimEnd()
      .split('\n')
      .map(line => `< ${line}`.trimEnd()),
    ...(options.closeAfterEvents === undefined ? [] : ['(connection cut)']),
  ];
  return {text: text.join('\n'), requestId, body: answer};
}

function abbreviate(body: string): string {
  return body.length <= MAX_SHOWN_BODY ? body : `(${body.length} bytes)`;
}

/**
 * Replaces ids, addresses and times, so that the same session always gives the
 * same text.
 */
export function maskVaryingValues(text: string): string {
  const names = new Map<string, string>();
  const nameOf = (kind: string) => (value: string) => {
    const known = [...names.values()].filter(name => name.startsWith(kind));
    const name = names.get(value) ?? `${kind}-${known.length + 1}`;
    names.set(value, name);
    return name;
  };
  return text
    .replace(/\b[0-9a-f]{32}\b/g, nameOf('REQUEST'))
    .replace(/127\.0\.0\.1:\d+/g, nameOf('ADDRESS'))
    .replace(/"created":\d+/g, '"created":SECONDS')
    .replace(
      /^(< (?:Date|date|Retry-After|Content-Length)): .+$/gm,
      '$1: VARIES',
    )
    .replace(/"retry_after_ms":\d+/g, '"retry_after_ms":MS');
}
