/**
 * Interfaces to the platform's services: object API, host list and weight
 * store. Support for another platform needs one module per interface.
 */
import type {Either, Maybe} from 'purify-ts';
import type {OnyxError} from './errors.js';
import type {Address, FailureDomain, HostId, PoolId} from './ids.js';

/** A stored object with its version; each write increases the version. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  /** JSON text of at most one megabyte. */
  readonly value: string;
}

/**
 * Failure of a store call. `effect` is `none` when the store refused the call.
 * It is `unknown` when the answer was lost and the call may have taken effect.
 */
export interface StoreError {
  readonly kind: 'conflict' | 'not-found' | 'too-large' | 'unavailable';
  readonly effect: 'none' | 'unknown';
  /** On a conflict: the stored version; 0 when there is no object. */
  readonly version: number;
  readonly message: string;
}

/** Outcome of a store call. */
export type StoreResult<T> = Promise<Either<StoreError, T>>;

/** Purpose of a store call; calls per second are counted by purpose. */
export type StorePurpose =
  'config' | 'claim' | 'lease' | 'status' | 'operator' | 'limits';

/**
 * The platform's object API. Every call counts towards the call rate; a waiting
 * watch counts as one call.
 */
export interface ObjectStore {
  get(key: string, purpose: StorePurpose): StoreResult<Maybe<StoredObject>>;
  /** Creates an object; fails with `conflict` if the key exists. */
  create(
    key: string,
    value: string,
    purpose: StorePurpose,
  ): StoreResult<StoredObject>;
  /** Replaces a value; fails with `conflict` if `version` is not stored. */
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
  /** Keys with the prefix, sorted. */
  list(prefix: string, purpose: StorePurpose): StoreResult<readonly string[]>;
  /**
   * Waits until the key's version exceeds `version`, for at most `waitMs`
   * milliseconds.
   */
  watch(
    key: string,
    version: number,
    waitMs: number,
    purpose: StorePurpose,
  ): StoreResult<Maybe<StoredObject>>;
}

/** One host of the host list. */
export interface HostInfo {
  readonly host: HostId;
  /** Address at which the system's process on the host listens for peers. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** `entry` for entry hosts, otherwise the pool of the upstream. */
  readonly pool: PoolId;
  readonly state: 'live' | 'leaving';
}

/**
 * Reads the platform's host list, which may be out of date. An unchanged list
 * may be returned as the same object as before.
 */
export type HostList = () => Promise<Either<OnyxError, readonly HostInfo[]>>;

/** Current load of the rate-limited weight store. */
export interface WeightStoreStatus {
  readonly bytesPerSec: number;
  readonly activeTransfers: number;
  readonly queuedTransfers: number;
}

/** Reads the weight store's load. `Left`: it did not answer in time. */
export type WeightStore = () => Promise<Either<OnyxError, WeightStoreStatus>>;
