/**
 * Transfers configurations between processes, so that an accepted number
 * reaches all of them while the store is unavailable. A process first fetches
 * the manifest, and then only the documents that it does not have, in replies
 * of bounded size.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../types/errors.js';
import type {Address, ConfigNumber} from '../types/ids.js';
import type {
  ConfigDocument,
  FetchConfigReq,
  FetchConfigRes,
} from '../types/peer_messages.js';
import type {Transport} from '../types/transport.js';
import type {ConfigState} from './config_state.js';
import {matchesHash, parseManifest} from './documents.js';
import type {Manifest} from './documents.js';

/**
 * Time limit of one call to a peer, in milliseconds. A slower call fails the
 * whole fetch.
 */
const CALL_TIMEOUT_MS = 2_000;
/** Limit on documents requested in one call. Further calls fetch the rest. */
const MAX_DOCUMENTS_PER_CALL = 64;
/**
 * Limit on the bytes of documents in one reply, unless the first document alone
 * is larger. It keeps messages far below the limit of gRPC. The requester asks
 * again for the documents that were left out.
 */
const MAX_REPLY_BYTES = 1_000_000;

/**
 * Creates the reply to a peer. It has the manifest if the peer's number is
 * lower. It also has those of the wanted documents that this process holds, in
 * the order of the request, as many as `MAX_REPLY_BYTES` allows.
 */
export function createFetchReply(
  state: ConfigState,
  req: FetchConfigReq,
): FetchConfigRes {
  const manifest = state.current()?.manifest;
  const isNewer = manifest !== undefined && manifest.number > req.haveNumber;
  return {
    number: state.number(),
    manifest: isNewer ? JSON.stringify(manifest) : '',
    documents: selectDocuments(state.knownDocuments(), req.wantHashes),
  };
}

function selectDocuments(
  known: ReadonlyMap<string, string>,
  hashes: readonly string[],
): readonly ConfigDocument[] {
  const selected: ConfigDocument[] = [];
  let bytes = 0;
  for (const hash of hashes) {
    const json = known.get(hash);
    if (json === undefined) continue;
    bytes += Buffer.byteLength(json);
    if (selected.length > 0 && bytes > MAX_REPLY_BYTES) break;
    selected.push({hash, json});
  }
  return selected;
}

/**
 * A manifest from a peer, with JSON text by hash of all its documents and of
 * any others that this process already had.
 */
export interface FetchedConfig {
  readonly manifest: Manifest;
  readonly jsonByHash: ReadonlyMap<string, string>;
}

/** The transport, and what this process already has. */
export interface PeerFetchOptions {
  readonly transport: Transport;
  /** Number of the configuration in this process. */
  readonly haveNumber: ConfigNumber;
  /** JSON text of the documents in this process, by hash. */
  readonly knownDocuments: ReadonlyMap<string, string>;
  /** Called for each received document whose text does not match its hash. */
  readonly onCorruptDocument: (hash: string) => void;
}

/**
 * Fetches a newer configuration from a peer. Returns Right of undefined when
 * the peer has no newer one. Returns a Left when the peer cannot be reached, or
 * does not send a readable manifest and all documents.
 */
export async function fetchFromPeer(
  options: PeerFetchOptions,
  peer: Address,
): Promise<Either<OnyxError, FetchedConfig | undefined>> {
  const {transport, haveNumber} = options;
  const manifestReply = await transport.call(
    peer,
    'fetchConfig',
    {haveNumber, wantHashes: []},
    CALL_TIMEOUT_MS,
  );
  if (manifestReply.isLeft()) return manifestReply;
  const res = manifestReply.extract() as FetchConfigRes;
  if (res.manifest === '') return Right(undefined);
  const manifest = tryParseManifest(res.manifest);
  if (manifest === undefined) {
    return Left(createFetchError(peer, 'the manifest is not readable'));
  }
  return fetchDocuments(options, peer, manifest);
}

async function fetchDocuments(
  options: PeerFetchOptions,
  peer: Address,
  manifest: Manifest,
): Promise<Either<OnyxError, FetchedConfig>> {
  const jsonByHash = new Map(options.knownDocuments);
  for (;;) {
    const missing = manifest.documents
      .map(({hash}) => hash)
      .filter(hash => !jsonByHash.has(hash));
    if (missing.length === 0) return Right({manifest, jsonByHash});
    const documentsReply = await options.transport.call(
      peer,
      'fetchConfig',
      {
        haveNumber: options.haveNumber,
        wantHashes: missing.slice(0, MAX_DOCUMENTS_PER_CALL),
      },
      CALL_TIMEOUT_MS,
    );
    if (documentsReply.isLeft()) return documentsReply;
    const {documents} = documentsReply.extract() as FetchConfigRes;
    const intact = documents.filter(document => {
      if (matchesHash(document)) return true;
      options.onCorruptDocument(document.hash);
      return false;
    });
    // The peer has replaced its configuration by a later one and no longer
    // holds these documents, or it sends corrupt ones. Asking for them again
    // would not help.
    if (intact.length === 0) {
      return Left(
        createFetchError(peer, `${missing.length} documents are missing`),
      );
    }
    for (const {hash, json} of intact) jsonByHash.set(hash, json);
  }
}

function tryParseManifest(text: string): Manifest | undefined {
  try {
    return parseManifest(text);
  } catch {
    return undefined;
  }
}

function createFetchError(peer: Address, message: string): OnyxError {
  return new OnyxError({code: 'internal', step: 'config', peer, message});
}
