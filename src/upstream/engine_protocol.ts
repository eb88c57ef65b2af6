/**
 * Defines the HTTP messages between a side and its model engine: the header
 * that describes a run, the bodies of requests and responses, and the JSON
 * lines of an event stream.
 */
import {z} from 'zod';
import type {
  CacheEvent,
  EngineEvent,
  EngineOrder,
  EngineReport,
  EngineRunInfo,
  EngineRunReq,
} from '../types/upstream.js';

/** Header of a request that starts a run; its value is an `EngineRunReq`. */
export const RUN_HEADER = 'x-run';

const nonNegativeInt = z.number().int().min(0);

/** JSON value of `RUN_HEADER`. */
export const runReqSchema: z.ZodType<EngineRunReq> = z.object({
  runId: z.string().min(1),
  model: z.string(),
  adapter: z.string(),
  priority: z.number(),
  promptTokens: nonNegativeInt,
  maxTokens: nonNegativeInt,
  memoryTokens: nonNegativeInt,
  groupSize: z.number().int().min(1),
  holdOnly: z.boolean(),
  prefixHashes: z.array(z.string()),
});

/** Response body of a request for the list of runs. */
export const runListSchema: z.ZodType<{
  readonly runs: readonly EngineRunInfo[];
}> = z.object({
  runs: z.array(
    z.object({
      runId: z.string(),
      state: z.enum(['waiting', 'prefill', 'decode', 'done', 'hold']),
      memoryTokens: nonNegativeInt,
      tokens: nonNegativeInt,
    }),
  ),
});

/** Response body of a request for the load report. */
export const reportSchema: z.ZodType<EngineReport> = z.object({
  capacityTokens: nonNegativeInt,
  usedTokens: nonNegativeInt,
  cacheTokens: nonNegativeInt,
  waiting: nonNegativeInt,
  running: nonNegativeInt,
  ageMs: z.number(),
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
      ready: z.boolean(),
      role: z.enum(['mixed', 'short', 'long']),
    }),
  ),
});

/** Response body of a request for cache events. */
export const cacheEventsSchema: z.ZodType<{
  readonly events: readonly CacheEvent[];
}> = z.object({
  events: z.array(
    z.object({
      seq: nonNegativeInt,
      kind: z.enum(['stored', 'evicted']),
      hash: z.string(),
    }),
  ),
});

/** Request body of an order. */
export const orderSchema: z.ZodType<EngineOrder> = z.object({
  orderId: z.string(),
  fence: z.number(),
  action: z.enum(['load', 'unload', 'load-adapter', 'set-role']),
  model: z.string(),
  version: z.string(),
  adapter: z.string(),
  role: z.string(),
});

/** One line of an event stream; `text` is the UTF-8 text of the tokens. */
const lineSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('prefill'), doneTokens: nonNegativeInt}),
  z.object({
    kind: z.literal('tokens'),
    index: nonNegativeInt,
    count: nonNegativeInt,
    text: z.string(),
  }),
  z.object({
    kind: z.literal('done'),
    tokens: nonNegativeInt,
    finishReason: z.string(),
    cachedTokens: nonNegativeInt,
  }),
  z.object({kind: z.literal('beat')}),
  z.object({kind: z.literal('failed'), message: z.string()}),
]);

/** Encodes an event as a line of JSON, including the newline. */
export function eventToLine(event: EngineEvent): string {
  if (event.kind !== 'tokens') return `${JSON.stringify(event)}\n`;
  const {kind, index} = event;
  const text = Buffer.from(event.data).toString('utf8');
  return `${JSON.stringify({kind, index, count: event.count, text})}\n`;
}

/** Decodes a line; throws if it is not a known event. */
export function lineToEvent(line: string): EngineEvent {
  const parsed = lineSchema.parse(JSON.parse(line));
  if (parsed.kind !== 'tokens') return parsed;
  const {kind, index, text} = parsed;
  return {kind, index, count: parsed.count, data: Buffer.from(text, 'utf8')};
}
