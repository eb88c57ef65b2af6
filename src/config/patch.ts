/**
 * Applies an operator's patch to the keyed form of a numbered version: JSON
 * Patch (RFC 6902) or merge patch (RFC 7396). The result is checked as a
 * whole; nothing of a faulty patch is taken.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {applyPatch, createPatch} from 'rfc6902';
import type {Operation, Pointer} from 'rfc6902';
import {z} from 'zod';
import type {Declarations} from '../types/config.js';
import type {ConfigFault, ConfigPatch} from '../types/services.js';
import type {LiveHostCounts} from './validate.js';
import {parseKeyedDeclarations} from './validate.js';
import {toKeyed} from './keyed_form.js';

/** Outcome of a patch that was found sound. */
export interface PatchedDeclarations {
  readonly declarations: Declarations;
  /** Pointers into the keyed form, in order; lists count as one value. */
  readonly changedPaths: readonly string[];
}

type Json = null | boolean | number | string | readonly Json[] | JsonObject;

interface JsonObject {
  readonly [key: string]: Json;
}

const pointer = z.string().regex(/^(\/.*)?$/, 'must be a JSON pointer');
const value = z.unknown();
const operationsSchema = z.array(
  z.discriminatedUnion('op', [
    z.object({op: z.literal('add'), path: pointer, value}),
    z.object({op: z.literal('replace'), path: pointer, value}),
    z.object({op: z.literal('test'), path: pointer, value}),
    z.object({op: z.literal('remove'), path: pointer}),
    z.object({op: z.literal('move'), path: pointer, from: pointer}),
    z.object({op: z.literal('copy'), path: pointer, from: pointer}),
  ]),
);

/** Applies the patch and checks the outcome. Left: every fault found. */
export function patchDeclarations(
  base: Declarations,
  patch: Pick<ConfigPatch, 'form' | 'patch'>,
  fleet?: LiveHostCounts,
): Either<readonly ConfigFault[], PatchedDeclarations> {
  const before = toKeyed(base);
  return parsePatch(patch.patch)
    .chain(parsed =>
      patch.form === 'merge-patch'
        ? Right(mergePatch(before as unknown as Json, parsed))
        : applyOperations(before, parsed),
    )
    .chain(after => parseKeyedDeclarations(after, fleet, base.placement))
    .map(declarations => ({
      declarations,
      changedPaths: findChangedPaths(base, declarations),
    }));
}

/** Pointers into the keyed form under which two declarations differ. */
function findChangedPaths(
  before: Declarations,
  after: Declarations,
): readonly string[] {
  const paths = createPatch(
    toKeyed(before),
    toKeyed(after),
    diffListsAsWhole,
  ).map(operation => operation.path);
  return [...new Set(paths)].sort();
}

/**
 * A changed list is told as one replaced value: the edit script inside it is
 * quadratic in its length and tells an operator nothing.
 */
function diffListsAsWhole(
  input: unknown,
  output: unknown,
  at: Pointer,
): Operation[] | void {
  if (!Array.isArray(input) || !Array.isArray(output)) return undefined;
  if (JSON.stringify(input) === JSON.stringify(output)) return [];
  return [{op: 'replace', path: at.toString(), value: output}];
}

function parsePatch(text: string): Either<readonly ConfigFault[], Json> {
  try {
    return Right(JSON.parse(text) as Json);
  } catch (err) {
    return Left([
      {
        path: '',
        message: `the patch is not JSON: ${err instanceof Error ? err.message : String(err)}`,
        mend: 'send the patch as JSON text, without comments',
      },
    ]);
  }
}

function applyOperations(
  before: object,
  parsed: Json,
): Either<readonly ConfigFault[], unknown> {
  const operations = operationsSchema.safeParse(parsed);
  if (!operations.success) {
    return Left(
      operations.error.issues.map(issue => ({
        path: '',
        message: `operation ${issue.path.map(String).join('.')}: ${issue.message}`,
        mend: 'write a list of operations as in RFC 6902, or use the form merge-patch',
      })),
    );
  }
  const after: unknown = structuredClone(before);
  const outcomes = applyPatch(after, operations.data as Operation[]);
  const faults = outcomes.flatMap((err, at) =>
    err === null
      ? []
      : [
          {
            path: operations.data[at]?.path ?? '',
            message: `operation ${at} (${operations.data[at]?.op}) failed: ${err.message}`,
            mend: 'see the paths of this version with: onyxloft config get',
          },
        ],
  );
  return faults.length === 0 ? Right(after) : Left(faults);
}

/** Merge patch: objects merge, null removes, anything else replaces. */
function mergePatch(target: Json | undefined, patch: Json): Json {
  if (!isObject(patch)) return patch;
  const merged = new Map(
    isObject(target) ? Object.entries(target) : ([] as Array<[string, Json]>),
  );
  for (const [key, item] of Object.entries(patch)) {
    if (item === null) merged.delete(key);
    else merged.set(key, mergePatch(merged.get(key), item));
  }
  return Object.fromEntries(merged);
}

function isObject(item: Json | undefined): item is JsonObject {
  return typeof item === 'object' && item !== null && !Array.isArray(item);
}
