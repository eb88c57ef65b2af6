/**
 * Reads and writes the configuration's objects in the platform's store:
 *
 * - `config/head`: the newest manifest, changed by conditional update only;
 * - `config/doc/<hash>`: documents, created once and never changed;
 * - `config/history/<number>`: manifests of the numbers below the head. The
 *   manifest of a number is written here before the head is updated to the
 *   next one, so that a failure between the two writes leaves no gap.
 */
import {Left, Maybe, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../types/errors.js';
import type {Ran} from '../types/errors.js';
import type {ConfigNumber} from '../types/ids.js';
import type {
  ObjectStore,
  StoreError,
  StorePurpose,
  StoredObject,
} from '../types/platform.js';
import {matchesHash, parseManifest} from './documents.js';
import type {DocumentRef, Manifest, NamedDocument} from './documents.js';

const HEAD_KEY = 'config/head';
/**
 * Limit on concurrent store calls when many documents are read or written. The
 * others wait for the next batch.
 */
const MAX_PARALLEL_CALLS = 8;

/** The manifest at the head, with the store's version of the head object. */
export interface ConfigHead {
  readonly version: number;
  readonly manifest: Manifest;
}

/** The configuration in the object API: head, documents and history. */
export interface ConfigStore {
  /** Reads the head; Nothing when the store holds none. */
  readHead(
    purpose: StorePurpose,
  ): Promise<Either<OnyxError, Maybe<ConfigHead>>>;
  /** Waits up to `waitMs` for a head with a version higher than `version`. */
  watchHead(
    version: number,
    waitMs: number,
  ): Promise<Either<OnyxError, Maybe<ConfigHead>>>;
  /** Reads the manifest of a number, from the history or the head. */
  readManifest(number: ConfigNumber): Promise<Either<OnyxError, Manifest>>;
  /**
   * Reads the documents that `known` does not hold. Returns them together with
   * those of `known`, as JSON text by hash.
   */
  readDocuments(
    refs: readonly DocumentRef[],
    known: ReadonlyMap<string, string>,
    purpose: StorePurpose,
  ): Promise<Either<OnyxError, ReadonlyMap<string, string>>>;
  /**
   * Creates the documents that the store does not hold. An existing document
   * with the same hash has the same content.
   */
  writeDocuments(
    documents: readonly NamedDocument[],
  ): Promise<Either<StoreError, void>>;
  /** Writes the head's manifest to the history, before the head is updated. */
  writeHistory(manifest: Manifest): Promise<Either<StoreError, void>>;
  /** Updates the head if its version is `version`. Version 0 creates it. */
  writeHead(
    manifest: Manifest,
    version: number,
  ): Promise<Either<StoreError, void>>;
}

/** Creates a store of the configuration over the platform's object store. */
export function createConfigStore(store: ObjectStore): ConfigStore {
  const decodeHead = (
    object: Maybe<StoredObject>,
  ): Either<OnyxError, Maybe<ConfigHead>> =>
    object.caseOf<Either<OnyxError, Maybe<ConfigHead>>>({
      Nothing: () => Right(Maybe.empty()),
      Just: ({value, version}) =>
        decodeManifest(value).map(manifest => Maybe.of({version, manifest})),
    });

  const readDocument = async (
    ref: DocumentRef,
    purpose: StorePurpose,
  ): Promise<Either<OnyxError, string>> => {
    const found = await store.get(`config/doc/${ref.hash}`, purpose);
    return found
      .mapLeft(toOnyxError)
      .chain(object =>
        object.toEither(
          createUnreadableError(`document ${ref.name} is not in the store`),
        ),
      )
      .chain(({value}) =>
        matchesHash({hash: ref.hash, json: value})
          ? Right(value)
          : Left(
              createUnreadableError(
                `document ${ref.name} does not match its hash`,
              ),
            ),
      );
  };

  const createIfAbsent = async (
    key: string,
    value: string,
  ): Promise<Either<StoreError, void>> => {
    const created = await store.create(key, value, 'operator');
    // The key determines the content, so a conflict means that the same object
    // exists already.
    return created
      .map(() => undefined)
      .chainLeft(err =>
        err.kind === 'conflict' ? Right(undefined) : Left(err),
      );
  };

  return {
    readHead: async purpose =>
      (await store.get(HEAD_KEY, purpose))
        .mapLeft(toOnyxError)
        .chain(decodeHead),
    watchHead: async (version, waitMs) =>
      (await store.watch(HEAD_KEY, version, waitMs, 'config'))
        .mapLeft(toOnyxError)
        .chain(decodeHead),
    readManifest: async number => {
      const key = historyKey(number);
      const kept = await store.get(key, 'operator');
      if (kept.isLeft()) return kept.mapLeft(toOnyxError);
      const object = kept.unsafeCoerce();
      if (object.isJust()) return decodeManifest(object.unsafeCoerce().value);
      // The newest number has no history entry: its manifest is the head.
      const head = await store.get(HEAD_KEY, 'operator');
      return head
        .mapLeft(toOnyxError)
        .chain(decodeHead)
        .chain(found =>
          found
            .map(({manifest}) => manifest)
            .filter(manifest => manifest.number === number)
            .toEither(createNotFoundError(number)),
        );
    },
    readDocuments: async (refs, known, purpose) => {
      const all = new Map(known);
      const missing = refs.filter(({hash}) => !known.has(hash));
      const outcome = await forEachInBatches(missing, async ref =>
        (await readDocument(ref, purpose)).map(json => {
          all.set(ref.hash, json);
        }),
      );
      return outcome.map(() => all);
    },
    writeDocuments: documents =>
      forEachInBatches(documents, ({hash, json}) =>
        createIfAbsent(`config/doc/${hash}`, json),
      ),
    writeHistory: manifest =>
      createIfAbsent(historyKey(manifest.number), JSON.stringify(manifest)),
    writeHead: async (manifest, version) => {
      const value = JSON.stringify(manifest);
      const written =
        version === 0
          ? await store.create(HEAD_KEY, value, 'operator')
          : await store.update(HEAD_KEY, value, version, 'operator');
      return written.map(() => undefined);
    },
  };
}

/** Converts a store error. An unknown effect becomes `ran: 'unknown'`. */
function toOnyxError(err: StoreError): OnyxError {
  const ran: Ran = err.effect === 'unknown' ? 'unknown' : 'no';
  return new OnyxError({
    code: err.kind === 'conflict' ? 'conflict' : 'store-unavailable',
    step: 'store',
    peer: 'object-api',
    message: err.message,
    ran,
  });
}

function historyKey(number: ConfigNumber): string {
  return `config/history/${number}`;
}

function createNotFoundError(number: ConfigNumber): OnyxError {
  return new OnyxError({
    code: 'not-found',
    step: 'config',
    message: `the store holds no number ${number}; see: onyxloft config history`,
  });
}

function createUnreadableError(message: string): OnyxError {
  return new OnyxError({
    code: 'internal',
    step: 'config',
    peer: 'object-api',
    message,
  });
}

function decodeManifest(text: string): Either<OnyxError, Manifest> {
  try {
    return Right(parseManifest(text));
  } catch (err) {
    return Left(
      createUnreadableError(`the manifest is not readable: ${String(err)}`),
    );
  }
}

/**
 * Calls `run` for each item, with up to MAX_PARALLEL_CALLS items at once. Stops
 * after the first batch in which a call failed.
 */
async function forEachInBatches<T, E>(
  items: readonly T[],
  run: (item: T) => Promise<Either<E, void>>,
): Promise<Either<E, void>> {
  for (let from = 0; from < items.length; from += MAX_PARALLEL_CALLS) {
    const batch = items.slice(from, from + MAX_PARALLEL_CALLS);
    const outcomes = await Promise.all(batch.map(run));
    const failed = outcomes.find(outcome => outcome.isLeft());
    if (failed !== undefined) return failed;
  }
  return Right(undefined);
}
