/**
 * Builds the spec of a request from the caller's fields and the declarations in
 * force at its arrival: model, classes, time limit and prefix hashes. It
 * contacts no upstream, so a refused request costs upstreams nothing.
 */
import type {
  Declarations,
  LengthClass,
  Model,
  NumberedDeclarations,
  Organisation,
  PlainService,
  PriorityClass,
} from '../../types/config.js';
import {OnyxError} from '../../types/errors.js';
import type {PoolId, RequestId} from '../../types/ids.js';
import type {CallHead} from '../../types/peer_messages.js';
import type {Body, RequestSpec} from '../../types/services.js';
import type {CompletionFields} from '../front/completion_fields.js';
import {badRequest} from '../entry_errors.js';
import {prefixHashes} from './prefix_hashes.js';
import type {RequestOptions} from '../front/request_options.js';

/**
 * Bytes of prompt per token, for estimates. English prose has about four bytes
 * per token with common tokenizers; only engines count tokens exactly.
 */
export const BYTES_PER_TOKEN = 4;

/**
 * Length class in the spec of a call, which has no declared one. Metrics report
 * it for calls.
 */
export const CALL_LENGTH_CLASS = 'call';

/** What is known of a request before its body is examined. */
export interface ArrivedRequest {
  readonly id: RequestId;
  readonly organisation: Organisation;
  readonly config: NumberedDeclarations;
  /**
   * Arrival time on this process's clock, in milliseconds. The time limit
   * starts here.
   */
  readonly arrivedAt: number;
}

/** Estimates the number of tokens of a prompt from its size in bytes. */
export function estimateTokens(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}

/**
 * Builds the spec of a completion. Throws an `OnyxError` when the request
 * cannot be admitted.
 */
export function admitCompletion(
  arrival: ArrivedRequest,
  fields: CompletionFields,
  options: RequestOptions,
): RequestSpec {
  const {declarations} = arrival.config;
  const {model, adapter} = findModel(declarations, fields.model);
  const estimatedTokens = estimateTokens(fields.prompt.bytes);
  if (estimatedTokens > model.maxPromptTokens) {
    throw promptTooLong(estimatedTokens, model);
  }
  const lengthClass = findLengthClass(declarations, estimatedTokens);
  // Prefixes are shared only within an organisation, model and adapter.
  const scope = `${arrival.organisation.id}\n${model.id}\n${adapter}`;
  return {
    ...commonFields(arrival, options, lengthClass.defaultTimeLimitMs),
    kind: 'completion',
    pool: '',
    model: model.id,
    adapter,
    lengthClass: lengthClass.name,
    body: fields.prompt,
    promptTokens: estimatedTokens,
    maxTokens: fields.maxTokens,
    streamed: fields.stream,
    repeatable: options.repeatable ?? true,
    prefixHashes: prefixHashes(fields.prompt, scope),
    call: undefined,
  };
}

/**
 * Builds the spec of a call to a plain service. Throws an `OnyxError` when the
 * call cannot be admitted.
 */
export function admitCall(
  arrival: ArrivedRequest,
  service: PlainService,
  call: CallHead,
  body: Body,
  options: RequestOptions,
): RequestSpec {
  return {
    ...commonFields(arrival, options, service.defaultTimeLimitMs),
    kind: 'call',
    pool: service.pool,
    model: '',
    adapter: '',
    lengthClass: CALL_LENGTH_CLASS,
    body,
    promptTokens: 0,
    maxTokens: 0,
    streamed: true,
    repeatable:
      options.repeatable ?? service.repeatableMethods.includes(call.method),
    prefixHashes: [],
    call,
  };
}

/**
 * Finds the plain service of the pool, an HTTP service without a model. Throws
 * `not-found` when none is declared for the pool.
 */
export function findService(
  declarations: Declarations,
  pool: PoolId,
): PlainService {
  const found = declarations.services.find(service => service.pool === pool);
  if (found === undefined) {
    throw badRequest(`no service "${pool}"`, 'validate', 'not-found');
  }
  return found;
}

/** The fields of a spec that completions and calls have in common. */
function commonFields(
  arrival: ArrivedRequest,
  options: RequestOptions,
  defaultTimeLimitMs: number,
) {
  const {declarations} = arrival.config;
  const priorityClass = findPriorityClass(declarations, options.priority);
  const timeLimitMs = options.timeLimitMs ?? defaultTimeLimitMs;
  return {
    id: arrival.id,
    organisation: arrival.organisation.id,
    weight: arrival.organisation.weight,
    priorityClass: priorityClass.name,
    priority: priorityClass.priority,
    deadlineAt: arrival.arrivedAt + timeLimitMs,
    // The arrival counts as the admission.
    admittedAt: arrival.arrivedAt,
    idempotencyKey: options.idempotencyKey,
    config: arrival.config,
  };
}

/** The model and adapter that a request uses. */
interface ModelChoice {
  readonly model: Model;
  readonly adapter: string;
}

/**
 * Finds the model for `MODEL` or `MODEL:ADAPTER`; the default model when none
 * is requested.
 */
function findModel(
  declarations: Declarations,
  requested: string | undefined,
): ModelChoice {
  const {models} = declarations;
  const exact =
    requested === undefined
      ? models.find(model => model.isDefault)
      : models.find(model => model.id === requested);
  if (exact !== undefined) return {model: exact, adapter: ''};
  const colon = (requested ?? '').lastIndexOf(':');
  const id = (requested ?? '').slice(0, Math.max(0, colon));
  const adapter = (requested ?? '').slice(colon + 1);
  const base = models.find(
    model => model.id === id && model.adapters.includes(adapter),
  );
  if (base !== undefined) return {model: base, adapter};
  throw badRequest(
    requested === undefined
      ? 'no model was named and none is the default'
      : `no model "${requested}"`,
    'validate',
    'unknown-model',
  );
}

/**
 * Finds a priority class by name. When no name is given, finds the default
 * class, or else the first one.
 */
function findPriorityClass(
  declarations: Declarations,
  name: string | undefined,
): PriorityClass {
  const {priorityClasses} = declarations;
  const found =
    name === undefined
      ? (priorityClasses.find(each => each.isDefault) ?? priorityClasses[0])
      : priorityClasses.find(each => each.name === name);
  if (found !== undefined) return found;
  const names = priorityClasses.map(each => each.name).join(', ');
  throw badRequest(`no priority class "${name}"; there are: ${names}`);
}

/**
 * Finds the smallest length class that holds the prompt, else the largest
 * class. Declarations list the classes in ascending order of `maxTokens`.
 */
function findLengthClass(
  declarations: Declarations,
  tokens: number,
): LengthClass {
  const {lengthClasses} = declarations;
  const found =
    lengthClasses.find(each => tokens <= each.maxTokens) ??
    lengthClasses.at(-1);
  if (found !== undefined) return found;
  throw new OnyxError({
    code: 'internal',
    step: 'validate',
    message: 'the declarations have no length class',
  });
}

function promptTooLong(promptTokens: number, model: Model): OnyxError {
  return badRequest(
    `the prompt has some ${promptTokens} tokens; ` +
      `"${model.id}" takes ${model.maxPromptTokens}`,
    'validate',
    'too-large',
  );
}
