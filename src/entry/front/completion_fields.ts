/**
 * Validates the fields of a completion body, which has the form of the common
 * completions API. Fields of that API that are not supported here are accepted
 * and ignored. Their types are still checked, so that a caller learns of a
 * mistake at once.
 */
import {z} from 'zod';
import type {Body} from '../../types/services.js';
import {badRequest} from '../entry_errors.js';
import type {ParsedCompletion} from './completion_parser.js';

/** `max_tokens` of a request without it, as in the common API. */
export const DEFAULT_MAX_TOKENS = 16;

const optionalNumber = z.number().nullish();

const fieldsSchema = z.object({
  model: z.string().max(256).nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  stream: z.boolean().nullish(),
  user: z.string().nullish(),
  suffix: z.string().nullish(),
  temperature: optionalNumber,
  top_p: optionalNumber,
  presence_penalty: optionalNumber,
  frequency_penalty: optionalNumber,
  seed: z.number().int().nullish(),
  logprobs: z.number().int().nullish(),
  echo: z.literal(false).nullish(),
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  stop: z.union([z.string(), z.array(z.string())]).nullish(),
  logit_bias: z.record(z.string(), z.number()).nullish(),
  stream_options: z.object({include_usage: z.boolean().nullish()}).nullish(),
  onyxloft: z
    .strictObject({
      priority: z.string().nullish(),
      time_limit_ms: z.number().nullish(),
      repeatable: z.boolean().nullish(),
    })
    .nullish(),
});

/** The validated fields of a completion body. */
export interface CompletionFields {
  /** Undefined for the default model. */
  readonly model: string | undefined;
  /** Largest number of tokens to generate. */
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly prompt: Body;
  readonly options: BodyOptions;
}

/** Fields under `onyxloft`. Headers of the same meaning take precedence. */
export interface BodyOptions {
  readonly priority: string | undefined;
  readonly timeLimitMs: number | undefined;
  readonly repeatable: boolean | undefined;
}

export const EMPTY_BODY_OPTIONS: BodyOptions = {
  priority: undefined,
  timeLimitMs: undefined,
  repeatable: undefined,
};

/** Validates a parsed body. Throws an `OnyxError` that names invalid fields. */
export function validateCompletion(parsed: ParsedCompletion): CompletionFields {
  if (parsed.prompt === undefined) throw badRequest('"prompt" is missing');
  if (parsed.prompt.bytes === 0) throw badRequest('"prompt" is empty');
  const names = Object.keys(fieldsSchema.shape);
  const values = Object.fromEntries(
    names.map(name => [name, parsed.fields.get(name)]),
  );
  const result = fieldsSchema.safeParse(values);
  if (!result.success) throw badRequest(formatIssues(result.error));
  const fields = result.data;
  return {
    model: fields.model ?? undefined,
    maxTokens: fields.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: fields.stream ?? false,
    prompt: parsed.prompt,
    options: {
      priority: fields.onyxloft?.priority ?? undefined,
      timeLimitMs: fields.onyxloft?.time_limit_ms ?? undefined,
      repeatable: fields.onyxloft?.repeatable ?? undefined,
    },
  };
}

function formatIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `"${issue.path.join('.')}": ${issue.message}`)
    .join('; ');
}
