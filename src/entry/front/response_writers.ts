/**
 * Writes the events of a request to the HTTP response. There are three forms:
 * server-sent events, one JSON object, and the forwarded response of a plain
 * service.
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

/**
 * Writes one response. Its methods are called in the order in which the events
 * come; see `RequestEvent`.
 */
export interface ResponseWriter {
  /**
   * Sets the dispatch that the next chunks come from. Only the event stream
   * uses it. Throws an `OnyxError` there if `writeChunk` was called before, or
   * if the stream resumes after the first chunk, and the dispatch of these
   * chunks is known and is another one.
   */
  setDispatch(dispatchId: string): void;
  writeChunk(event: ChunkEvent): void;
  /**
   * Drops the chunks so far, because another run replaces the run that they
   * came from. Only the JSON form can drop chunks. The others throw an
   * `OnyxError`: the event stream if `writeChunk` was called before or the
   * stream resumes after the first chunk, the forwarded response if its head
   * was sent.
   */
  discardChunks(): void;
  /** Completes the response. */
  end(event: EndEvent): void;
  /** Ends the response with an error, so that it can't pass for complete. */
  fail(error: OnyxError): void;
  /**
   * Writes a comment to an event stream, so that its connection is not closed
   * as idle. Does nothing in the other forms.
   */
  keepAlive(): void;
}

/** The fields of a completion response besides its text. */
export interface CompletionMetadata {
  readonly id: RequestId;
  readonly model: ModelId;
  /** Unix time in seconds. */
  readonly created: number;
  /**
   * Estimated length of the prompt. Undefined for a resumed request whose state
   * does not contain it.
   */
  readonly promptTokens: number | undefined;
}

function completionChoice(text: string, finishReason: string | null) {
  return {index: 0, text, logprobs: null, finish_reason: finishReason};
}

function completionBody(
  metadata: CompletionMetadata,
  text: string,
  end?: EndEvent,
) {
  return {
    id: metadata.id,
    object: 'text_completion',
    created: metadata.created,
    model: metadata.model,
    choices: [completionChoice(text, end?.finishReason ?? null)],
    ...(end === undefined ? {} : {usage: tokenUsage(metadata, end)}),
  };
}

function tokenUsage(metadata: CompletionMetadata, end: EndEvent) {
  const promptUsage =
    metadata.promptTokens === undefined
      ? {}
      : {
          prompt_tokens: metadata.promptTokens,
          total_tokens: metadata.promptTokens + end.tokens,
        };
  return {
    ...promptUsage,
    completion_tokens: end.tokens,
    prompt_tokens_details: {cached_tokens: end.cachedTokens},
  };
}

/** Where a stream resumes. */
export interface ResumePoint {
  /** Sequence number of the first chunk to send. */
  readonly fromSeq: number;
  /** Dispatch of the chunks that the caller has; empty when not known. */
  readonly dispatchId: string;
}

/**
 * Writes server-sent events. The `id` of each chunk is
 * `<request>:<dispatch>:<seq>`; a caller that reconnects sends it to resume.
 * The end event has no `id`. The response head is sent with the first chunk
 * that has text, the first keep-alive or the end event, whichever is earliest.
 * Until then, a refusal can be sent with its own HTTP status.
 */
export function createEventStreamWriter(
  res: ServerResponse,
  metadata: CompletionMetadata,
  resumePoint: ResumePoint,
): ResponseWriter {
  const decoder = createChunkTextDecoder();
  let dispatchId = resumePoint.dispatchId;
  let hasChunks = resumePoint.fromSeq > 0;

  const writeEvent = (event: string) => {
    if (!res.headersSent) {
      res.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'Cache-Control': 'no-store',
      });
    }
    res.write(event);
  };

  const dataLine = (value: unknown) => `data: ${JSON.stringify(value)}\n\n`;

  const fail = (error: OnyxError) => {
    if (!res.headersSent) {
      sendError(res, error, metadata.id);
      return;
    }
    res.end(`event: error\n${dataLine(errorBody(error, metadata.id))}`);
  };

  const setDispatch = (newDispatchId: string) => {
    // Two runs generate different texts. If their chunks were joined, the
    // caller would receive a text that the model never generated.
    if (hasChunks && dispatchId !== '' && newDispatchId !== dispatchId) {
      throw runReplacedError(metadata.id);
    }
    dispatchId = newDispatchId;
  };

  const writeChunk = (event: ChunkEvent) => {
    // This holds also for a chunk without text, for which nothing is sent.
    hasChunks = true;
    const text = decoder.decode(event.data);
    if (text === '') return;
    const id = `${metadata.id}:${dispatchId}:${event.seq}`;
    writeEvent(`id: ${id}\n${dataLine(completionBody(metadata, text))}`);
  };

  const end = (event: EndEvent) => {
    writeEvent(dataLine(completionBody(metadata, decoder.finish(), event)));
    res.end('data: [DONE]\n\n');
  };

  const discardChunks = () => {
    if (hasChunks) throw runReplacedError(metadata.id);
  };

  return {
    setDispatch,
    writeChunk,
    discardChunks,
    end,
    fail,
    keepAlive: () => writeEvent(': beat\n\n'),
  };
}

function runReplacedError(id: RequestId): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'resume',
    requestId: id,
    message: 'the run was replaced by another; resume with from=0',
    ran: 'yes',
  });
}

/** Writes one JSON object when the answer is complete. */
export function createJsonWriter(
  res: ServerResponse,
  metadata: CompletionMetadata,
): ResponseWriter {
  const parts: string[] = [];
  let decoder = createChunkTextDecoder();
  return {
    setDispatch: () => undefined,
    writeChunk: event => void parts.push(decoder.decode(event.data)),
    discardChunks: () => {
      parts.length = 0;
      decoder = createChunkTextDecoder();
    },
    end: event => {
      parts.push(decoder.finish());
      sendJson(res, 200, completionBody(metadata, parts.join(''), event));
    },
    fail: error => sendError(res, error, metadata.id),
    keepAlive: () => undefined,
  };
}

/** Forwards the response of a plain service as it arrives. */
export function createServiceResponseWriter(
  res: ServerResponse,
  id: RequestId,
): ResponseWriter {
  const writeHead = (head: CallResHead) => {
    for (const {name, value} of withoutHopHeaders(head.headers)) {
      res.appendHeader(name, value);
    }
    res.writeHead(head.status);
  };
  return {
    setDispatch: () => undefined,
    writeChunk: event => {
      if (!res.headersSent)
        writeHead(event.callHead ?? {status: 200, headers: []});
      res.write(event.data);
    },
    discardChunks: () => {
      if (res.headersSent) throw runReplacedError(id);
    },
    end: () => {
      if (!res.headersSent) writeHead({status: 200, headers: []});
      res.end();
    },
    fail: error => {
      // A regular end would make an incomplete response look complete.
      if (res.headersSent) res.destroy();
      else sendError(res, error, id);
    },
    keepAlive: () => undefined,
  };
}
