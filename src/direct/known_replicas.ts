/**
 * The replicas as the store has them, and a digest by which entries find out
 * whether they know the same.
 */
import {createHash} from 'node:crypto';
import type {DirectReplica} from './types.js';

export interface KnownReplicas {
  /** By name; an undefined one was removed. */
  applyChanges(items: ReadonlyMap<string, DirectReplica | undefined>): void;
  replaceAll(items: ReadonlyMap<string, DirectReplica>): void;
  all(): ReadonlyMap<string, DirectReplica>;
  /** Equal for equal replicas. */
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
      .update(JSON.stringify([...replicas].sort(byName)))
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

function byName(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
) {
  return a < b ? -1 : 1;
}
