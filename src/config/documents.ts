/**
 * Splits declarations into immutable documents named by the hash of their
 * content, under a manifest. Organisations lie in a fixed number of documents
 * by the hash of their id: a change of one writes that document and the
 * manifest, and a cold start reads tens of values where one document for each
 * organisation would make it 1,500. docs/design/configuration.md has the
 * figures of both.
 */
import {z} from 'zod';
import type {Declarations, Organisation} from '../types/config.js';
import type {ConfigNumber} from '../types/ids.js';
import type {ConfigDocument} from '../types/peer_messages.js';
import {chainHash, hashText} from '../utils/digest.js';
import {declarationsSchema} from './declarations_schema.js';

/**
 * Documents over which organisations are spread. Bytes of one change are
 * those of one such document and of two manifests; at 1,500 organisations 64
 * is near the least sum.
 */
const ORGANISATION_BUCKETS = 64;
/** Paths kept in a manifest; the rest is only counted. */
const MAX_MANIFEST_PATHS = 100;
/** Seeds of the two halves of a document's hash. */
const HASH_SEEDS = [0n, 1n] as const;
/** Largest value that goes to the store, in bytes; the store takes 1 MB. */
export const MAX_VALUE_BYTES = 1_000_000;

const manifestSchema = z.object({
  number: z.number().int().min(1),
  patchId: z.string(),
  operator: z.string(),
  base: z.number().int().min(0),
  changedPaths: z.array(z.string()),
  /** Changed paths that were left out of `changedPaths`. */
  morePaths: z.number().int().min(0),
  documents: z.array(z.object({name: z.string(), hash: z.string()})),
});

/** What a number consists of, and which patch made it. */
export interface Manifest {
  readonly number: ConfigNumber;
  readonly patchId: string;
  readonly operator: string;
  readonly base: ConfigNumber;
  readonly changedPaths: readonly string[];
  readonly morePaths: number;
  readonly documents: readonly DocumentRef[];
}

/** A document by its name and content hash. */
export interface DocumentRef {
  readonly name: string;
  readonly hash: string;
}

/** A document's content under its name. */
export interface NamedDocument extends DocumentRef {
  readonly json: string;
}

/** Where a manifest came from. */
export type ManifestOrigin = Pick<
  Manifest,
  'number' | 'patchId' | 'operator' | 'base' | 'changedPaths'
>;

/** Hash of a document's text, 128 bits as hex. */
export function hashDocument(json: string): string {
  const bytes = new TextEncoder().encode(json);
  return HASH_SEEDS.map(seed =>
    chainHash(seed, bytes).toString(16).padStart(16, '0'),
  ).join('');
}

/** True when the document's text has the hash that it is named by. */
export function matchesHash(document: ConfigDocument): boolean {
  return hashDocument(document.json) === document.hash;
}

/** Splits declarations; equal parts give equal documents. */
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

/** Makes the manifest of a number. */
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

/** Reads a manifest; throws when the text is none. */
export function parseManifest(json: string): Manifest {
  return manifestSchema.parse(JSON.parse(json));
}

/**
 * Puts the declarations of a manifest together. Throws when a document is
 * missing or does not hold what its name says.
 */
export function joinDocuments(
  manifest: Manifest,
  jsonByHash: ReadonlyMap<string, string>,
): Declarations {
  const organisations: unknown[] = [];
  const models: unknown[] = [];
  const rest: Record<string, unknown> = {};
  for (const {name, hash} of manifest.documents) {
    const json = jsonByHash.get(hash);
    if (json === undefined) throw new Error(`document ${name} is missing`);
    const content: unknown = JSON.parse(json);
    if (name.startsWith('organisations/')) {
      organisations.push(...(content as unknown[]));
    } else if (name.startsWith('model/')) {
      models.push(content);
    } else {
      rest[name] = content;
    }
  }
  const joined = declarationsSchema.parse({organisations, models, ...rest});
  return {...joined, organisations: sortById(joined.organisations)};
}

function sortById<T extends {readonly id: string}>(
  items: readonly T[],
): readonly T[] {
  return [...items].sort((a, b) => (a.id < b.id ? -1 : 1));
}
