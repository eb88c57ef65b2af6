/**
 * Schemas of the declarations, with their defaults. Operators write the keyed
 * form, in which each list is an object by id. A patch then addresses
 * `/organisations/prairie-sky/weight`, whichever other items were added or
 * removed. A list index could address another organisation after a concurrent
 * change.
 */
import {z} from 'zod';
import type {Declarations} from '../types/config.js';

/**
 * Limit on `maxPromptTokens` of a model, in tokens, and its default. A higher
 * value is refused.
 */
const MAX_PROMPT_TOKENS = 1_000_000;
/** Limit on declared time limits: one day. A longer one is refused. */
const MAX_TIME_LIMIT_MS = 86_400_000;

const id = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$/,
    'must start with a letter or digit and hold only letters, digits and . _ / : -',
  );
const count = z.number().int().min(0);
const positive = z.number().int().min(1);
const share = z.number().min(0).max(1);
const timeLimitMs = positive.max(MAX_TIME_LIMIT_MS);

const organisationFields = {
  keyHashes: z.array(z.string().min(1)).default([]),
  weight: z.number().positive().default(1),
  maxRunning: positive.default(256),
  tokensPerSec: positive.default(2_000_000),
};

const modelFields = {
  version: z.string().min(1),
  adapters: z.array(id).default([]),
  isDefault: z.boolean().default(false),
  weightBytes: positive,
  maxPromptTokens: positive.max(MAX_PROMPT_TOKENS).default(MAX_PROMPT_TOKENS),
};

const priorityClassFields = {
  priority: count,
  isDefault: z.boolean().default(false),
};

const lengthClassFields = {
  maxTokens: positive,
  memoryFloor: share.default(0),
  maxRunning: count.default(0),
  defaultTimeLimitMs: timeLimitMs,
};

const serviceFields = {
  repeatableMethods: z
    .array(z.string().regex(/^[A-Z]+$/, 'must be a method in capitals'))
    .default(['GET', 'HEAD']),
  maxRunning: positive.default(32),
  defaultTimeLimitMs: timeLimitMs.default(30_000),
};

const placementFields = {
  minReplicas: count,
  minPerFailureDomain: count.default(0),
};

/** Routing policies that the entries implement. */
export const ROUTING_POLICIES = [
  'predicted-first-token',
  'least-requests',
  'round-robin',
  'random-pair',
  'prefix-only',
] as const;

const policy = z
  .strictObject({
    routing: z.string().min(1).default('predicted-first-token'),
    maxOffers: positive.default(3),
    retryRatio: share.default(0.2),
    prefixWeight: share.default(1),
    boundedLoadFactor: z.number().min(1).default(1.25),
    longShare: share.default(0.5),
    ageingMs: positive.default(10_000),
    shortSlowdownWeight: share.default(0.5),
    longFirstTokenWeight: share.default(0.5),
  })
  .prefault({});

/** Schema of the keyed form: each list is an object by id, name or pool. */
export const keyedDeclarationsSchema = z.strictObject({
  organisations: z.record(id, z.strictObject(organisationFields)).prefault({}),
  models: z.record(id, z.strictObject(modelFields)).prefault({}),
  priorityClasses: z
    .record(id, z.strictObject(priorityClassFields))
    .prefault({}),
  lengthClasses: z.record(id, z.strictObject(lengthClassFields)).prefault({}),
  services: z.record(id, z.strictObject(serviceFields)).prefault({}),
  /** By pool, then by model. */
  placement: z
    .record(id, z.record(id, z.strictObject(placementFields)))
    .prefault({}),
  policy,
});

/** Declarations in the keyed form, with defaults filled in. */
export type KeyedDeclarations = z.infer<typeof keyedDeclarationsSchema>;

/** Schema of the list form, which services read; see `types/config.ts`. */
export const declarationsSchema = z.strictObject({
  organisations: z
    .array(z.strictObject({id, ...organisationFields}))
    .default([]),
  models: z.array(z.strictObject({id, ...modelFields})).default([]),
  priorityClasses: z
    .array(z.strictObject({name: id, ...priorityClassFields}))
    .default([]),
  lengthClasses: z
    .array(z.strictObject({name: id, ...lengthClassFields}))
    .default([]),
  services: z.array(z.strictObject({pool: id, ...serviceFields})).default([]),
  placement: z
    .array(z.strictObject({pool: id, model: id, ...placementFields}))
    .default([]),
  policy,
});

/**
 * Creates the declarations of number 0, which are in force before the first
 * patch. They have no organisation and no model, so no request is admitted.
 * Patches may change their priority and length classes.
 */
export function createInitialDeclarations(): Declarations {
  return declarationsSchema.parse({
    priorityClasses: [
      {name: 'urgent', priority: 0},
      {name: 'normal', priority: 1, isDefault: true},
      {name: 'batch', priority: 2},
    ],
    lengthClasses: [
      {
        name: 'short',
        maxTokens: 8_000,
        memoryFloor: 0.1,
        maxRunning: 0,
        defaultTimeLimitMs: 60_000,
      },
      {
        name: 'medium',
        maxTokens: 128_000,
        maxRunning: 0,
        defaultTimeLimitMs: 300_000,
      },
      {
        name: 'long',
        maxTokens: MAX_PROMPT_TOKENS,
        maxRunning: 2,
        defaultTimeLimitMs: 1_800_000,
      },
    ],
  });
}
