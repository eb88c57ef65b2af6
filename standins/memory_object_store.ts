/**
 * The product's view of the object API over the in-memory core, for runs in
 * virtual time. Each client has its own timeout and may be cut off alone, as
 * one host is when the network between it and the platform fails.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ObjectStore, StoreError} from '../src/types/platform.js';
import type {Clock} from '../src/types/runtime.js';
import type {CallFailure, ObjectStoreCore} from './object_store_core.js';

export interface MemoryObjectStore extends ObjectStore {
  /** While cut off, calls reach nothing and time out. */
  setCut(cut: boolean): void;
}

export interface MemoryObjectStoreOptions {
  readonly core: ObjectStoreCore;
  readonly clock: Clock;
  /** A call without an answer for so long is given up. @default 1000 */
  readonly timeoutMs?: number;
}

type Access = 'read' | 'write';

const unavailable = (effect: StoreError['effect']): StoreError => ({
  kind: 'unavailable',
  effect,
  version: 0,
  message: 'the object API gave no answer',
});

function toStoreError(failure: CallFailure, access: Access): StoreError {
  if (failure.kind === 'down') return unavailable('none');
  if (failure.kind === 'lost') {
    return unavailable(access === 'write' ? 'unknown' : 'none');
  }
  return {
    kind: failure.kind,
    effect: 'none',
    version: failure.version,
    message: `the object API refused: ${failure.kind}`,
  };
}

export function createMemoryObjectStore(
  options: MemoryObjectStoreOptions,
): MemoryObjectStore {
  const {core, clock, timeoutMs = 1_000} = options;
  let isCut = false;

  const call = <T>(
    access: Access,
    start: () => Promise<Either<CallFailure, T>>,
    limitMs = timeoutMs,
  ): Promise<Either<StoreError, T>> =>
    new Promise(resolve => {
      const effect = access === 'write' ? 'unknown' : 'none';
      const cancel = clock.after(limitMs, () =>
        resolve(Left(unavailable(effect))),
      );
      if (isCut) return;
      void start().then(result => {
        if (isCut) return;
        cancel();
        resolve(
          result.caseOf<Either<StoreError, T>>({
            Left: failure => Left(toStoreError(failure, access)),
            Right: value => Right(value),
          }),
        );
      });
    });

  return {
    get: (key, purpose) => call('read', () => core.get(key, purpose)),
    create: (key, value, purpose) =>
      call('write', () => core.create(key, value, purpose)),
    update: (key, value, version, purpose) =>
      call('write', () => core.update(key, value, version, purpose)),
    remove: (key, version, purpose) =>
      call('write', () => core.remove(key, version, purpose)),
    list: (prefix, purpose) => call('read', () => core.list(prefix, purpose)),
    watch: (key, version, waitMs, purpose) =>
      call(
        'read',
        () => core.watch(key, version, waitMs, purpose),
        waitMs + timeoutMs,
      ),
    setCut: cut => {
      isCut = cut;
    },
  };
}
