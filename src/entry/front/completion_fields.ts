/**
 * The fields of a completion's body in the customary form. Fields that have no
 * meaning here are taken and left unused, but their types are checked, so that
 * a caller's slip is told at once.
 */
import {z} from 'zod';
import type {Body} from '../../types/services.js';
import {badRequest} from '../faults.js';
import type {ParsedCompletion} from './completion_parser.js';

/** Answer length of a request that names none, as is customary. */
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

/** What a completion's body asks for. */
export interface CompletionFields {
  /** Undefined for the default model. */
  readonly model: string | undefined;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly prompt: Body;
  readonly options: BodyOptions;
}

/** Fields under `onyxloft`; headers of the same meaning go before them. */
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

/** Checks a parsed body. Throws an `OnyxError` that names each bad field. */
export function validateCompletion(parsed: ParsedCompletion): CompletionFields {
  if (parsed.prompt === undefined) throw badRequest('"prompt" is missing');
  if (parsed.prompt.bytes === 0) throw badRequest('"prompt" is empty');
  const known = Object.keys(fieldsSchema.shape);
  const given = Object.fromEntries(
    known.map(name => [name, parsed.fields.get(name)]),
  );
  const checked = fieldsSchema.safeParse(given);
  if (!checked.success) throw badRequest(faultsOf(checked.error));
  const fields = checked.data;
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

function faultsOf(error: z.ZodError): string {
  return error.issues
    .map(issue => `"${issue.path.join('.')}": ${issue.message}`)
    .join('; ');
}
