/**
 * Stand-in for the platform's object API, without any IO: versions,
 * conditional writes, waiting watches, a size limit, call counts, and faults
 * that can be switched while it runs. The HTTP program and the in-memory
 * client of the tests both run on it.
 */
import {Left, Maybe, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {StoredObject, StorePurpose} from '../src/types/platform.js';
import type {Clock, Random} from '../src/types/runtime.js';

export const MAX_VALUE_BYTES = 1_000_000;
/** Old states kept per key for stale reads. */
const HISTORY_LENGTH = 64;

export type CallKind =
  'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

/** Faults in force; each may be switched while the store runs. */
export interface StoreFaults {
  /** No call takes effect. @default false */
  readonly outage: boolean;
  /** During an outage calls get no answer at all. @default false */
  readonly hang: boolean;
  /** Delay added to each call, half before its effect. @default 0 */
  readonly slowMs: number;
  /** Each n-th write takes effect and its answer is lost. @default 0 */
  readonly loseEvery: number;
  /** Chance that a write's answer is lost. @default 0 */
  readonly loseProbability: number;
  /** Reads are served as of this long ago. @default 0 */
  readonly staleMs: number;
}

export const NO_FAULTS: StoreFaults = {
  outage: false,
  hang: false,
  slowMs: 0,
  loseEvery: 0,
  loseProbability: 0,
  staleMs: 0,
};

/** Why a call has no result. After `lost` it has taken effect. */
export interface CallFailure {
  readonly kind: 'conflict' | 'not-found' | 'too-large' | 'down' | 'lost';
  /** On a conflict: the version now stored, 0 when there is none. */
  readonly version: number;
}

export type CallResult<T> = Promise<Either<CallFailure, T>>;

/** Calls counted under one purpose and kind. */
export interface CallCount {
  readonly purpose: string;
  readonly kind: CallKind;
  readonly calls: number;
}

export interface ObjectStoreCore {
  get(key: string, purpose: StorePurpose): CallResult<Maybe<StoredObject>>;
  create(
    key: string,
    value: string,
    purpose: StorePurpose,
  ): CallResult<StoredObject>;
  update(
    key: string,
    value: string,
    version: number,
    purpose: StorePurpose,
  ): CallResult<StoredObject>;
  remove(key: string, version: number, purpose: StorePurpose): CallResult<void>;
  list(prefix: string, purpose: StorePurpose): CallResult<readonly string[]>;
  watch(
    key: string,
    version: number,
    waitMs: number,
    purpose: StorePurpose,
  ): CallResult<Maybe<StoredObject>>;
  faults(): StoreFaults;
  /** Changes the faults named and leaves the others. */
  setFaults(faults: Partial<StoreFaults>): void;
  counts(): readonly CallCount[];
  /** The newest state, past all faults and counts: for a test's judgement. */
  peek(key: string): Maybe<StoredObject>;
}

export interface ObjectStoreCoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Time of a call without faults, half before its effect. @default 2 */
  readonly latencyMs?: number;
}

/** A state that a write replaced. */
interface PastState {
  readonly object: StoredObject | undefined;
  readonly replacedAt: number;
}

const fail = <T>(
  kind: CallFailure['kind'],
  version = 0,
): Either<CallFailure, T> => Left({kind, version});

export function createObjectStoreCore(
  options: ObjectStoreCoreOptions,
): ObjectStoreCore {
  const {clock, random, latencyMs = 2} = options;
  const objects = new Map<string, StoredObject>();
  const past = new Map<string, PastState[]>();
  const waiters = new Map<string, Set<() => void>>();
  const counts = new Map<string, CallCount>();
  let faults = NO_FAULTS;
  // One counter for all keys: a key removed and made again gets no version
  // that it had before, so an old conditional update cannot match it.
  let lastVersion = 0;
  let writes = 0;

  const sleep = (ms: number) =>
    new Promise<void>(resolve => {
      if (ms <= 0) resolve();
      else clock.after(ms, resolve);
    });

  const forever = () => new Promise<never>(() => undefined);

  const halfDelay = () => sleep((latencyMs + faults.slowMs) / 2);

  const count = (kind: CallKind, purpose: string) => {
    const id = `${purpose} ${kind}`;
    const calls = (counts.get(id)?.calls ?? 0) + 1;
    counts.set(id, {purpose, kind, calls});
  };

  const wakeAll = (key: string) => {
    const woken = waiters.get(key);
    waiters.delete(key);
    woken?.forEach(wake => wake());
  };

  const put = (key: string, object: StoredObject | undefined) => {
    const states = past.get(key) ?? [];
    states.push({object: objects.get(key), replacedAt: clock.now()});
    past.set(key, states.slice(-HISTORY_LENGTH));
    if (object === undefined) objects.delete(key);
    else objects.set(key, object);
    wakeAll(key);
  };

  const write = (key: string, value: string): StoredObject => {
    lastVersion += 1;
    const object = {key, version: lastVersion, value};
    put(key, object);
    return object;
  };

  const stateAt = (key: string, time: number) => {
    const replaced = past.get(key)?.find(state => state.replacedAt > time);
    return replaced === undefined ? objects.get(key) : replaced.object;
  };

  const isLost = () => {
    writes += 1;
    if (faults.loseEvery > 0 && writes % faults.loseEvery === 0) return true;
    return faults.loseProbability > 0 && random.next() < faults.loseProbability;
  };

  const reach = async <T>(
    kind: CallKind,
    purpose: string,
    effect: () => Either<CallFailure, T>,
  ): Promise<Either<CallFailure, T>> => {
    count(kind, purpose);
    await halfDelay();
    if (faults.outage) return faults.hang ? forever() : fail('down');
    const result = effect();
    await halfDelay();
    return result;
  };

  const mutate = async <T>(
    kind: CallKind,
    purpose: string,
    effect: () => Either<CallFailure, T>,
  ): Promise<Either<CallFailure, T>> => {
    const result = await reach(kind, purpose, effect);
    if (result.isLeft()) return result;
    return isLost() ? fail('lost') : result;
  };

  const tooLarge = (value: string) =>
    Buffer.byteLength(value) > MAX_VALUE_BYTES;

  const waitForChange = (key: string, waitMs: number) =>
    new Promise<void>(resolve => {
      const waiting = waiters.get(key) ?? new Set();
      waiters.set(key, waiting);
      const wake = () => {
        waiting.delete(wake);
        cancel();
        resolve();
      };
      const cancel = clock.after(waitMs, wake);
      waiting.add(wake);
    });

  return {
    get: (key, purpose) =>
      reach('get', purpose, () =>
        Right(
          Maybe.fromNullable(
            faults.staleMs > 0
              ? stateAt(key, clock.now() - faults.staleMs)
              : objects.get(key),
          ),
        ),
      ),
    create: (key, value, purpose) =>
      mutate('create', purpose, () => {
        if (tooLarge(value)) return fail('too-large');
        const current = objects.get(key);
        if (current !== undefined) return fail('conflict', current.version);
        return Right(write(key, value));
      }),
    update: (key, value, version, purpose) =>
      mutate('update', purpose, () => {
        if (tooLarge(value)) return fail('too-large');
        const current = objects.get(key)?.version ?? 0;
        if (current !== version || current === 0) {
          return fail('conflict', current);
        }
        return Right(write(key, value));
      }),
    remove: (key, version, purpose) =>
      mutate('remove', purpose, () => {
        const current = objects.get(key)?.version;
        if (current === undefined) return fail('not-found');
        if (current !== version) return fail('conflict', current);
        put(key, undefined);
        return Right(undefined);
      }),
    list: (prefix, purpose) =>
      reach('list', purpose, () =>
        Right([...objects.keys()].filter(key => key.startsWith(prefix)).sort()),
      ),
    watch: async (key, version, waitMs, purpose) => {
      const seen = () => Maybe.fromNullable(objects.get(key));
      const first = await reach('watch', purpose, () => Right(seen()));
      if (first.isLeft()) return first;
      const isNewer = (objects.get(key)?.version ?? 0) > version;
      if (!isNewer) await waitForChange(key, waitMs);
      if (faults.outage) return faults.hang ? forever() : fail('down');
      return Right(seen());
    },
    faults: () => faults,
    setFaults: change => {
      faults = {...faults, ...change};
      if (faults.outage) [...waiters.keys()].forEach(wakeAll);
    },
    counts: () => [...counts.values()],
    peek: key => Maybe.fromNullable(objects.get(key)),
  };
}
