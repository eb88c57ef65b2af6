/**
 * What the platform gives: object API, host list, weight store. Another
 * platform takes its place by one module each that implements these.
 */
import type {Either, Maybe} from 'purify-ts';
import type {OnyxError} from './errors.js';
import type {Address, FailureDomain, HostId, PoolId} from './ids.js';

/** One object with its version, which grows with each write to it. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  /** JSON text, at most a megabyte. */
  readonly value: string;
}

/**
 * Failure of a store call. `effect` is `none` when the store refused and
 * `unknown` when the call may have taken effect though its answer was lost.
 */
export interface StoreError {
  readonly kind: 'conflict' | 'not-found' | 'too-large' | 'unavailable';
  readonly effect: 'none' | 'unknown';
  /** On a conflict: the version now stored, 0 when there is none. */
  readonly version: number;
  readonly message: string;
}

/** Outcome of a store call. */
export type StoreResult<T> = Promise<Either<StoreError, T>>;

/** Purpose of a store call, for counting calls a second by purpose. */
export type StorePurpose =
  'config' | 'claim' | 'lease' | 'status' | 'operator' | 'limits';

/** The platform's object API. Each call counts, a waiting watch as one. */
export interface ObjectStore {
  get(key: string, purpose: StorePurpose): StoreResult<Maybe<StoredObject>>;
  /** Conflict when the key exists. */
  create(
    key: string,
    value: string,
    purpose: StorePurpose,
  ): StoreResult<StoredObject>;
  /** Conflict when the stored version is not `version`. */
  update(
    key: string,
    value: string,
    version: number,
    purpose: StorePurpose,
  ): StoreResult<StoredObject>;
  remove(
    key: string,
    version: number,
    purpose: StorePurpose,
  ): StoreResult<void>;
  /** Keys with the prefix, in order. */
  list(prefix: string, purpose: StorePurpose): StoreResult<readonly string[]>;
  /** Waits until the key's version is over `version`, or `waitMs` passed. */
  watch(
    key: string,
    version: number,
    waitMs: number,
    purpose: StorePurpose,
  ): StoreResult<Maybe<StoredObject>>;
}

/** One line of the host list. */
export interface HostInfo {
  readonly host: HostId;
  /** Address where the system's process on that host listens for peers. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** `entry` for entry hosts, else the pool of the upstream. */
  readonly pool: PoolId;
  readonly state: 'live' | 'leaving';
}

/**
 * The platform's host list; lags behind the truth. A list that has not changed
 * may be the same object as the one before.
 */
export type HostList = () => Promise<Either<OnyxError, readonly HostInfo[]>>;

/** Rate-limited weight store: what a load of a model costs. */
export interface WeightStoreStatus {
  readonly bytesPerSec: number;
  readonly activeTransfers: number;
  readonly queuedTransfers: number;
}

/** Reads the weight store's load. Left: it gave no answer in time. */
export type WeightStore = () => Promise<Either<OnyxError, WeightStoreStatus>>;
