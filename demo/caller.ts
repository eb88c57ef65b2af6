/**
 * A caller of the system as a user would write one: completions, streamed or
 * whole, and calls to plain services, over plain HTTP.
 */
import {performance} from 'node:perf_hooks';
import {Agent, request} from 'undici';

/** What a caller asks for. */
export interface CompletionAsk {
  readonly entryUrl: string;
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly priority: string;
  readonly timeLimitMs: number;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
}

export interface CallAsk {
  readonly entryUrl: string;
  readonly key: string;
  readonly pool: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly timeLimitMs: number;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
}

/** What came back. */
export interface Outcome {
  readonly status: number;
  readonly requestId: string;
  /** The whole answer's text, or what came of it. */
  readonly text: string;
  /** The answer ended as whole: `[DONE]`, or the body's regular end. */
  readonly complete: boolean;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Code of the error that was answered, if any. */
  readonly errorCode: string;
  readonly ran: string;
}

/** One connection pool for all callers of a process. */
const agent = new Agent({
  connections: 512,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

function headersOf(
  ask: CompletionAsk | CallAsk,
  more: Readonly<Record<string, string>>,
): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${ask.key}`,
    'x-onyxloft-time-limit-ms': String(ask.timeLimitMs),
    ...more,
  };
  if (!ask.repeatable) headers['x-onyxloft-repeatable'] = 'no';
  if (ask.idempotencyKey !== undefined) {
    headers['idempotency-key'] = ask.idempotencyKey;
  }
  return headers;
}

function errorOf(text: string): {code: string; ran: string} {
  try {
    const {error} = JSON.parse(text) as {error?: {code: string; ran: string}};
    return {code: error?.code ?? '', ran: error?.ran ?? ''};
  } catch {
    return {code: '', ran: ''};
  }
}

/** Parts of a customary streamed answer. */
interface StreamState {
  text: string;
  done: boolean;
  error: string;
  rest: string;
}

function readStreamPart(state: StreamState, part: string): boolean {
  state.rest += part;
  const blocks = state.rest.split('\n\n');
  state.rest = blocks.pop() ?? '';
  let gotText = false;
  for (const block of blocks) {
    const lines = block.split('\n');
    const isError = lines.includes('event: error');
    const data = lines.find(line => line.startsWith('data: '))?.slice(6);
    if (data === undefined) continue;
    if (isError) state.error = data;
    else if (data === '[DONE]') state.done = true;
    else gotText = addText(state, data) || gotText;
  }
  return gotText;
}

function addText(state: StreamState, data: string): boolean {
  const {choices} = JSON.parse(data) as {choices?: Array<{text?: string}>};
  const text = choices?.[0]?.text ?? '';
  state.text += text;
  return text.length > 0;
}

function failed(err: unknown, startedAt: number, text: string): Outcome {
  return {
    status: 0,
    requestId: '',
    text,
    complete: false,
    firstTokenMs: Number.NaN,
    totalMs: performance.now() - startedAt,
    errorCode: String(err),
    ran: 'unknown',
  };
}

/** Asks for a completion. Never rejects: a cut shows in the outcome. */
export async function complete(ask: CompletionAsk): Promise<Outcome> {
  const startedAt = performance.now();
  const state: StreamState = {text: '', done: false, error: '', rest: ''};
  try {
    const res = await request(`${ask.entryUrl}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: headersOf(ask, {
        'content-type': 'application/json',
        'x-onyxloft-priority': ask.priority,
      }),
      body: JSON.stringify({
        prompt: ask.prompt,
        max_tokens: ask.maxTokens,
        stream: ask.stream,
      }),
    });
    const requestId = String(res.headers['x-request-id'] ?? '');
    const streamed = String(res.headers['content-type']).startsWith(
      'text/event-stream',
    );
    let whole = '';
    let firstTokenMs = Number.NaN;
    const decoder = new TextDecoder();
    for await (const part of res.body) {
      const text = decoder.decode(part as Uint8Array, {stream: true});
      if (!streamed) whole += text;
      else if (readStreamPart(state, text) && Number.isNaN(firstTokenMs)) {
        firstTokenMs = performance.now() - startedAt;
      }
    }
    if (!streamed && res.statusCode === 200) addText(state, whole);
    const error = errorOf(streamed ? state.error : whole);
    return {
      status: res.statusCode,
      requestId,
      text: state.text,
      complete: streamed ? state.done : res.statusCode === 200,
      firstTokenMs,
      totalMs: performance.now() - startedAt,
      errorCode: error.code,
      ran: error.ran,
    };
  } catch (err) {
    return failed(err, startedAt, state.text);
  }
}

/** Calls a plain service through an entry. Never rejects. */
export async function call(ask: CallAsk): Promise<Outcome> {
  const startedAt = performance.now();
  try {
    const url = `${ask.entryUrl}/v1/services/${ask.pool}${ask.path}`;
    const res = await request(url, {
      method: ask.method,
      dispatcher: agent,
      headers: headersOf(ask, {'content-type': 'application/json'}),
      body: ask.method === 'GET' ? null : ask.body,
    });
    const text = await res.body.text();
    const error = errorOf(text);
    return {
      status: res.statusCode,
      requestId: String(res.headers['x-request-id'] ?? ''),
      text,
      complete: error.code === '',
      firstTokenMs: Number.NaN,
      totalMs: performance.now() - startedAt,
      errorCode: error.code,
      ran: error.ran,
    };
  } catch (err) {
    return failed(err, startedAt, '');
  }
}
