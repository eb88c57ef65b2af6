/**
 * Writes a request's events to its caller: as server-sent events, as one JSON
 * object, or as the plain service's own response.
 */
import type {ServerResponse} from 'node:http';
import {OnyxError} from '../../types/errors.js';
import type {ModelId, RequestId} from '../../types/ids.js';
import type {CallResHead} from '../../types/peer_messages.js';
import type {RequestEvent} from '../../types/services.js';
import {withoutHopHeaders} from '../../utils/hop_headers.js';
import {createChunkTextDecoder} from './chunk_text_decoder.js';
import {errorBody, sendError, sendJson} from './http_errors.js';

type EndEvent = Extract<RequestEvent, {kind: 'end'}>;
type ChunkEvent = Extract<RequestEvent, {kind: 'chunk'}>;

/** One way of answering. Events come in the order of `RequestEvent`. */
export interface ResponseWriter {
  setDispatch(dispatchId: string): void;
  writeChunk(event: ChunkEvent): void;
  /** Chunks so far are void; throws an `OnyxError` if the caller has some. */
  discardChunks(): void;
  end(event: EndEvent): void;
  /** No whole answer will come. */
  fail(error: OnyxError): void;
  /** Keeps a quiet connection known to be alive. */
  keepAlive(): void;
}

/** What a completion's answer tells besides its text. */
export interface CompletionMetadata {
  readonly id: RequestId;
  readonly model: ModelId;
  /** Unix time in seconds. */
  readonly created: number;
  /** Undefined when the side that was asked did not tell. */
  readonly promptTokens: number | undefined;
}

function choice(text: string, finishReason: string | null) {
  return {index: 0, text, logprobs: null, finish_reason: finishReason};
}

function completion(head: CompletionMetadata, text: string, end?: EndEvent) {
  return {
    id: head.id,
    object: 'text_completion',
    created: head.created,
    model: head.model,
    choices: [choice(text, end?.finishReason ?? null)],
    ...(end === undefined ? {} : {usage: usage(head, end)}),
  };
}

function usage(head: CompletionMetadata, end: EndEvent) {
  const known =
    head.promptTokens === undefined
      ? {}
      : {
          prompt_tokens: head.promptTokens,
          total_tokens: head.promptTokens + end.tokens,
        };
  return {
    ...known,
    completion_tokens: end.tokens,
    prompt_tokens_details: {cached_tokens: end.cachedTokens},
  };
}

/** Where a resumed stream goes on. */
export interface ResumePoint {
  readonly fromSeq: number;
  /** The run that the chunks before came from; empty when not known. */
  readonly dispatchId: string;
}

/**
 * Server-sent events. Each chunk's `id` is `<request>:<dispatch>:<seq>`, from
 * which a caller resumes. The response head waits for the first chunk, so that
 * a refusal still has its own status, but not beyond the first beat.
 */
export function createEventStreamWriter(
  res: ServerResponse,
  head: CompletionMetadata,
  from: ResumePoint,
): ResponseWriter {
  const text = createChunkTextDecoder();
  let dispatchId = from.dispatchId;
  let begun = from.fromSeq > 0;

  const write = (frame: string) => {
    if (!res.headersSent) {
      res.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-store',
      });
    }
    res.write(frame);
  };

  const data = (value: unknown) => `data: ${JSON.stringify(value)}\n\n`;

  const fail = (error: OnyxError) => {
    if (!res.headersSent) {
      sendError(res, error, head.id);
      return;
    }
    res.end(`event: error\n${data(errorBody(error, head.id))}`);
  };

  const placed = (placedId: string) => {
    // Chunks of two runs must not be joined: the texts differ, and the caller
    // would take the seam for the model's own words.
    if (begun && dispatchId !== '' && placedId !== dispatchId) {
      throw otherRun(head.id);
    }
    dispatchId = placedId;
  };

  const chunk = (event: ChunkEvent) => {
    begun = true;
    const whole = text.decode(event.data);
    if (whole === '') return;
    const id = `${head.id}:${dispatchId}:${event.seq}`;
    write(`id: ${id}\n${data(completion(head, whole))}`);
  };

  const end = (event: EndEvent) => {
    write(data(completion(head, text.finish(), event)));
    res.end('data: [DONE]\n\n');
  };

  const restart = () => {
    if (begun) throw otherRun(head.id);
  };

  return {
    setDispatch: placed,
    writeChunk: chunk,
    discardChunks: restart,
    end,
    fail,
    keepAlive: () => write(': beat\n\n'),
  };
}

function otherRun(id: RequestId): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'resume',
    requestId: id,
    message: 'the run was replaced by another; resume with from=0',
    ran: 'yes',
  });
}

/** One JSON object, sent when the answer is whole. */
export function createJsonWriter(
  res: ServerResponse,
  head: CompletionMetadata,
): ResponseWriter {
  const parts: string[] = [];
  let text = createChunkTextDecoder();
  return {
    setDispatch: () => undefined,
    writeChunk: event => void parts.push(text.decode(event.data)),
    discardChunks: () => {
      parts.length = 0;
      text = createChunkTextDecoder();
    },
    end: event => {
      parts.push(text.finish());
      sendJson(res, 200, completion(head, parts.join(''), event));
    },
    fail: error => sendError(res, error, head.id),
    keepAlive: () => undefined,
  };
}

/** A plain service's response, passed on as it comes. */
export function createServiceResponseWriter(
  res: ServerResponse,
  id: RequestId,
): ResponseWriter {
  const begin = (head: CallResHead) => {
    for (const {name, value} of withoutHopHeaders(head.headers)) {
      res.appendHeader(name, value);
    }
    res.writeHead(head.status);
  };
  return {
    setDispatch: () => undefined,
    writeChunk: event => {
      if (!res.headersSent) begin(event.callHead ?? {status: 200, headers: []});
      res.write(event.data);
    },
    discardChunks: () => {
      if (res.headersSent) throw otherRun(id);
    },
    end: () => {
      if (!res.headersSent) begin({status: 200, headers: []});
      res.end();
    },
    fail: error => {
      // Ending it in good order would pass a cut answer off as a whole one.
      if (res.headersSent) res.destroy();
      else sendError(res, error, id);
    },
    keepAlive: () => undefined,
  };
}
