/**
 * The replicas that are known from the store, with a digest by which entries
 * find out whether they know the same ones.
 */
import {createHash} from 'node:crypto';
import type {DirectReplica} from './types.js';

export interface KnownReplicas {
  /** Applies changes by name; an undefined value removes the replica. */
  applyChanges(items: ReadonlyMap<string, DirectReplica | undefined>): void;
  replaceAll(items: ReadonlyMap<string, DirectReplica>): void;
  all(): ReadonlyMap<string, DirectReplica>;
  /** Digest of the replicas; equal for equal sets of replicas. */
  digest(): string;
}

export function createKnownReplicas(): KnownReplicas {
  const replicas = new Map<string, DirectReplica>();
  let digest: string | undefined;
  const change = (items: ReadonlyMap<string, DirectReplica | undefined>) => {
    digest = undefined;
    for (const [name, replica] of items) {
      if (replica === undefined) replicas.delete(name);
      else replicas.set(name, replica);
    }
  };
  const digestNow = () =>
    createHash('sha1')
      .update(JSON.stringify([...replicas].sort(byName).map(withoutCold)))
      .digest('base64');
  return {
    applyChanges: change,
    replaceAll: (items: ReadonlyMap<string, DirectReplica>) => {
      replicas.clear();
      change(items);
    },
    all: (): ReadonlyMap<string, DirectReplica> => replicas,
    digest: () => (digest ??= digestNow()),
  };
}

/**
 * Leaves out coldness, which changes every second. With it in the digest,
 * entries would list the store again and again, and entries of the previous
 * version would never have the same digest.
 */
function withoutCold([name, {cold: _cold, ...replica}]: readonly [
  string,
  DirectReplica,
]) {
  return [name, replica];
}

function byName(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
) {
  return a < b ? -1 : 1;
}
