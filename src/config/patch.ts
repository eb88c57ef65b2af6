/**
 * Applies an operator's patch to the keyed form of the declarations: a JSON
 * Patch (RFC 6902) or a merge patch (RFC 7396). The result is validated as a
 * whole. A patch with any fault changes nothing.
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

/** Result of a valid patch. */
export interface PatchedDeclarations {
  readonly declarations: Declarations;
  /**
   * Sorted JSON pointers into the keyed form. A changed list is one path, not a
   * path for each item.
   */
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

/**
 * Applies the patch and validates the result. A Left holds every fault found.
 * `liveHostCounts` adds the checks against the live hosts.
 */
export function patchDeclarations(
  base: Declarations,
  patch: Pick<ConfigPatch, 'form' | 'patch'>,
  liveHostCounts?: LiveHostCounts,
): Either<readonly ConfigFault[], PatchedDeclarations> {
  const before = toKeyed(base);
  return parsePatch(patch.patch)
    .chain(parsed =>
      patch.form === 'merge-patch'
        ? Right(applyMergePatch(before as unknown as Json, parsed))
        : applyOperations(before, parsed),
    )
    .chain(after =>
      parseKeyedDeclarations(after, liveHostCounts, base.placement),
    )
    .map(declarations => ({
      declarations,
      changedPaths: findChangedPaths(base, declarations),
    }));
}

/** Returns JSON pointers into the keyed form at which declarations differ. */
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
 * Reports a changed list as one replaced value. Computing the edits inside a
 * list takes time quadratic in its length, and operators do not need them.
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

/**
 * Applies a merge patch: objects are merged, null removes a key, and any other
 * value replaces the old one.
 */
function applyMergePatch(target: Json | undefined, patch: Json): Json {
  if (!isObject(patch)) return patch;
  const merged = new Map(
    isObject(target) ? Object.entries(target) : ([] as Array<[string, Json]>),
  );
  for (const [key, item] of Object.entries(patch)) {
    if (item === null) merged.delete(key);
    else merged.set(key, applyMergePatch(merged.get(key), item));
  }
  return Object.fromEntries(merged);
}

function isObject(item: Json | undefined): item is JsonObject {
  return typeof item === 'object' && item !== null && !Array.isArray(item);
}
