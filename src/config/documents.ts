/**
 * Splits declarations into immutable documents, which a manifest lists by name
 * and content hash. Organisations are spread over a fixed number of documents
 * by the hash of their id. A change of one organisation writes one document and
 * the manifest. A cold start reads tens of documents, instead of 1,500 with one
 * per organisation. docs/design/configuration.md has the figures of both.
 */
import {z} from 'zod';
import type {Declarations, Organisation} from '../types/config.js';
import type {ConfigNumber} from '../types/ids.js';
import type {ConfigDocument} from '../types/peer_messages.js';
import {chainHash, hashText} from '../utils/digest.js';
import {declarationsSchema} from './declarations_schema.js';

/**
 * Number of documents over which organisations are spread. A change writes one
 * such document and two manifests. With 1,500 organisations, 64 documents give
 * nearly the smallest sum of their sizes.
 */
const ORGANISATION_BUCKETS = 64;
/** Limit on changed paths in a manifest. Paths beyond it are only counted. */
const MAX_MANIFEST_PATHS = 100;
/** Seeds of the two 64-bit halves of a document's hash. */
const HASH_SEEDS = [0n, 1n] as const;
/**
 * Limit on the size of a document, in bytes. The store takes values of up to
 * 1 MB. A patch that makes a larger document is rejected.
 */
export const MAX_VALUE_BYTES = 1_000_000;

const manifestSchema = z.object({
  number: z.number().int().min(1),
  patchId: z.string(),
  operator: z.string(),
  base: z.number().int().min(0),
  changedPaths: z.array(z.string()),
  /** Number of changed paths that were left out of `changedPaths`. */
  morePaths: z.number().int().min(0),
  documents: z.array(z.object({name: z.string(), hash: z.string()})),
});

/** Describes a configuration number: its documents, and the patch behind it. */
export interface Manifest {
  readonly number: ConfigNumber;
  readonly patchId: string;
  readonly operator: string;
  readonly base: ConfigNumber;
  readonly changedPaths: readonly string[];
  readonly morePaths: number;
  readonly documents: readonly DocumentRef[];
}

/** Reference to a document by its name and content hash. */
export interface DocumentRef {
  readonly name: string;
  readonly hash: string;
}

/** A document with its name, content hash and JSON text. */
export interface NamedDocument extends DocumentRef {
  readonly json: string;
}

/** Origin of a manifest: the patch that made the number, and its changes. */
export type ManifestOrigin = Pick<
  Manifest,
  'number' | 'patchId' | 'operator' | 'base' | 'changedPaths'
>;

/** Returns the 128-bit hash of a document's text, in hex. */
export function hashDocument(json: string): string {
  const bytes = new TextEncoder().encode(json);
  return HASH_SEEDS.map(seed =>
    chainHash(seed, bytes).toString(16).padStart(16, '0'),
  ).join('');
}

/** Returns true when the document's text has the hash stated with it. */
export function matchesHash(document: ConfigDocument): boolean {
  return hashDocument(document.json) === document.hash;
}

/** Splits declarations into documents. Equal parts give equal documents. */
export function splitDeclarations(
  declarations: Declarations,
): readonly NamedDocument[] {
  const {organisations, models, ...rest} = declarations;
  return [
    ...Object.entries(rest).map(([name, part]) => toDocument(name, part)),
    ...models.map(model => toDocument(`model/${model.id}`, model)),
    ...splitOrganisations(organisations),
  ];
}

function splitOrganisations(
  organisations: readonly Organisation[],
): readonly NamedDocument[] {
  const buckets = new Map<string, Organisation[]>();
  for (const organisation of organisations) {
    const name = bucketNameOf(organisation.id);
    buckets.set(name, [...(buckets.get(name) ?? []), organisation]);
  }
  return [...buckets.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, members]) => toDocument(name, members));
}

function bucketNameOf(id: string): string {
  const bucket = BigInt(`0x${hashText(id)}`) % BigInt(ORGANISATION_BUCKETS);
  return `organisations/${bucket.toString().padStart(2, '0')}`;
}

function toDocument(name: string, content: unknown): NamedDocument {
  const json = JSON.stringify(content);
  return {name, hash: hashDocument(json), json};
}

/** Creates the manifest of a number. */
export function createManifest(
  origin: ManifestOrigin,
  documents: readonly DocumentRef[],
): Manifest {
  return {
    ...origin,
    changedPaths: origin.changedPaths.slice(0, MAX_MANIFEST_PATHS),
    morePaths: Math.max(0, origin.changedPaths.length - MAX_MANIFEST_PATHS),
    documents: documents.map(({name, hash}) => ({name, hash})),
  };
}

/** Parses a manifest. Throws when the text is not a manifest. */
export function parseManifest(json: string): Manifest {
  return manifestSchema.parse(JSON.parse(json));
}

/**
 * Joins the documents of a manifest into declarations. Throws when a document
 * is missing or its content does not fit the schema.
 */
export function joinDocuments(
  manifest: Manifest,
  jsonByHash: ReadonlyMap<string, string>,
): Declarations {
  const organisations: unknown[] = [];
  const models: unknown[] = [];
  const otherParts: Record<string, unknown> = {};
  for (const {name, hash} of manifest.documents) {
    const json = jsonByHash.get(hash);
    if (json === undefined) throw new Error(`document ${name} is missing`);
    const content: unknown = JSON.parse(json);
    if (name.startsWith('organisations/')) {
      organisations.push(...(content as unknown[]));
    } else if (name.startsWith('model/')) {
      models.push(content);
    } else {
      otherParts[name] = content;
    }
  }
  const joined = declarationsSchema.parse({
    organisations,
    models,
    ...otherParts,
  });
  return {...joined, organisations: sortById(joined.organisations)};
}

function sortById<T extends {readonly id: string}>(
  items: readonly T[],
): readonly T[] {
  return [...items].sort((a, b) => (a.id < b.id ? -1 : 1));
}
