/**
 * Reads the history of the configuration for operators: for each of the newest
 * numbers, the patch that made it, its operator and the changed paths.
 */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {ConfigHistoryLine} from '../types/services.js';
import type {ConfigState} from './config_state.js';
import type {ConfigStore} from './config_store.js';
import type {Manifest} from './documents.js';

/**
 * Limit on the lines of one reply. Each line takes one call to the store, so a
 * larger request is cut to this many lines.
 */
const MAX_HISTORY_LINES = 100;

/**
 * Returns up to `limit` history lines, the newest first. The head is read from
 * the store, because this process may not have the newest number yet.
 */
export async function readHistory(
  store: ConfigStore,
  state: ConfigState,
  limit: number,
): Promise<Either<OnyxError, readonly ConfigHistoryLine[]>> {
  const head = await store.readHead('operator');
  if (head.isLeft()) return head;
  const atHead = head.toMaybe().join().extract()?.manifest;
  const newest = newerManifest(atHead, state.current()?.manifest);
  if (newest === undefined) return Right([]);
  const lines = [toHistoryLine(newest)];
  const lineLimit = Math.min(limit, MAX_HISTORY_LINES);
  while (lines.length < lineLimit && (lines.at(-1)?.number ?? 0) > 1) {
    const read = await store.readManifest((lines.at(-1)?.number ?? 0) - 1);
    if (read.isLeft()) return read;
    read.ifRight(manifest => lines.push(toHistoryLine(manifest)));
  }
  return Right(lines);
}

function newerManifest(
  a: Manifest | undefined,
  b: Manifest | undefined,
): Manifest | undefined {
  return (a?.number ?? 0) >= (b?.number ?? 0) ? a : b;
}

function toHistoryLine(manifest: Manifest): ConfigHistoryLine {
  const {number, patchId, operator, changedPaths, morePaths} = manifest;
  const more = morePaths > 0 ? [`(${morePaths} more)`] : [];
  return {number, patchId, operator, changedPaths: [...changedPaths, ...more]};
}
