/**
 * Hands configurations from process to process, so that an accepted number
 * reaches all of them while the store is out. The manifest goes first; then
 * only the documents that the asker lacks, in answers of bounded size.
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

const FETCH_TIMEOUT_MS = 2_000;
/** Documents asked for in one call. */
const MAX_DOCUMENTS_PER_FETCH = 64;
/** Bytes of documents in one answer; keeps messages far below grpc's limit. */
const MAX_REPLY_BYTES = 1_000_000;

/** Answers a peer from what is in force here. */
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

/** What a peer had to give. */
export interface FetchedConfig {
  readonly manifest: Manifest;
  readonly jsonByHash: ReadonlyMap<string, string>;
}

/** What this process has already; `known` is JSON by hash. */
export interface PeerFetchOptions {
  readonly transport: Transport;
  readonly haveNumber: ConfigNumber;
  readonly knownDocuments: ReadonlyMap<string, string>;
  /** A document came whose text does not match its hash. */
  readonly onCorruptDocument: (hash: string) => void;
}

/**
 * Fetches the peer's configuration. Right of undefined: it has none newer.
 * Left: it could not be reached, or did not give all documents.
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
    FETCH_TIMEOUT_MS,
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
        wantHashes: missing.slice(0, MAX_DOCUMENTS_PER_FETCH),
      },
      FETCH_TIMEOUT_MS,
    );
    if (documentsReply.isLeft()) return documentsReply;
    const {documents} = documentsReply.extract() as FetchConfigRes;
    const intact = documents.filter(document => {
      if (matchesHash(document)) return true;
      options.onCorruptDocument(document.hash);
      return false;
    });
    // The peer has gone on to a later number, or sends what is broken.
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
