/**
 * A variant of the `claims` service that batches claims. Claims are sharded by
 * hash into objects; each shard collects claims for a short time and writes
 * them with one conditional update. It gives the same guarantee as one object
 * per key, because the conditional update decides. It needs fewer store calls
 * but more bytes, since each update writes the whole shard.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {OnyxError} from '../../types/errors.js';
import type {ServiceContext, ServiceSpec} from '../../types/kernel.js';
import type {ObjectStore} from '../../types/platform.js';
import type {ClaimOutcome, ClaimsMessage} from '../../types/services.js';
import {claimHash} from './claim_record.js';
import {createClaimError} from './claim_error.js';
import {applyClaims, formatShardTable, parseShardTable} from './claim_shard.js';
import type {ShardTable, PendingClaim} from './claim_shard.js';
import {CLAIMS_METRIC} from './claims_per_key.js';
import {createRecentMap} from '../../utils/recent_map.js';

/** First part of the object keys of all shards. */
const KEY_PREFIX = 'claims-batched';
/** Random bytes in a claim's nonce. */
const NONCE_BYTES = 12;
/** Hex digits of the hash by which a claim is stored in its shard. */
const KEY_HASH_DIGITS = 32;
/** Hex digits of the hash that select the shard. */
const SHARD_HASH_DIGITS = 8;
/** Maximum number of keys with unresolved claims that are remembered. */
const MAX_UNRESOLVED_KEYS = 10_000;
/** One day in milliseconds; the default of `minRetentionMs`. */
const DAY_MS = 86_400_000;
/**
 * Added to `minRetentionMs`, in milliseconds, because the hosts' wall clocks
 * differ.
 */
const CLOCK_SKEW_MS = 3_600_000;
/** Base of the jittered delay before a retry, in milliseconds; doubles. */
const RETRY_BACKOFF_MS = 5;

export interface BatchedClaimsOptions {
  readonly store: ObjectStore;
  /** Wall clock, in milliseconds; used only to expire claims. */
  readonly wallNow: () => number;
  /** Number of objects over which claims are distributed. @default 16 */
  readonly shardCount?: number;
  /**
   * Time for which a shard collects claims before it writes, in milliseconds.
   * @default 25
   */
  readonly batchWindowMs?: number;
  /**
   * Minimum time for which a key is remembered, in milliseconds, provided that
   * the hosts' wall clocks differ by less than an hour. @default 86400000
   */
  readonly minRetentionMs?: number;
  /** Maximum attempts per update. @default 8 */
  readonly maxAttempts?: number;
  /**
   * Minimum retry time given to refused callers, in milliseconds. @default 1000
   */
  readonly retryAfterMs?: number;
}

type ClaimResult = Either<OnyxError, ClaimOutcome>;

/** A claim in a shard's queue, with the message to reply to. */
interface QueuedClaim extends PendingClaim {
  readonly message: ClaimsMessage;
}

/** What this process knows of one shard. */
interface ShardState {
  readonly key: string;
  queue: QueuedClaim[];
  /**
   * Version of the newest state known to be stored; 0 before the first. `table`
   * is that state.
   */
  version: number;
  table: ShardTable;
  isFlushing: boolean;
}

export function createBatchedClaimsService(
  options: BatchedClaimsOptions,
): ServiceSpec<'claims'> {
  return {
    name: 'claims',
    start: ctx => {
      const enqueue = createBatcher(options, ctx);
      void ctx.mailbox.observe(enqueue);
    },
  };
}

/** Returns the function that adds a claim to its shard's next batch. */
function createBatcher(
  options: BatchedClaimsOptions,
  ctx: ServiceContext<'claims'>,
) {
  const {
    store,
    wallNow,
    shardCount = 16,
    batchWindowMs = 25,
    maxAttempts = 8,
  } = options;
  const {minRetentionMs = DAY_MS, retryAfterMs = 1_000} = options;
  const {clock, random, metrics} = ctx;
  const unresolvedNonces =
    createRecentMap<readonly string[]>(MAX_UNRESOLVED_KEYS);
  const shardsByIndex = new Map<number, ShardState>();

  const shardOf = (hash: string): ShardState => {
    const index = parseInt(hash.slice(0, SHARD_HASH_DIGITS), 16) % shardCount;
    const known = shardsByIndex.get(index);
    if (known !== undefined) return known;
    const key = `${KEY_PREFIX}/${shardCount}/${index}`;
    const table = new Map();
    const shard = {key, queue: [], version: 0, table, isFlushing: false};
    shardsByIndex.set(index, shard);
    return shard;
  };

  const sleep = (ms: number) =>
    new Promise<void>(resolve => {
      clock.after(ms, resolve);
    });

  const refuse = (message: ClaimsMessage): ClaimResult =>
    Left(createClaimError(message.requestId, retryAfterMs, random));

  const reply = (queued: QueuedClaim, outcome: ClaimResult) => {
    const kind = outcome.map(it => it.kind).orDefault('refused' as never);
    metrics.count(CLAIMS_METRIC, {outcome: kind});
    queued.message.reply(outcome);
  };

  /**
   * Reads the shard from the store. Returns false when the read did not return
   * its newest state.
   */
  const refresh = async (shard: ShardState): Promise<boolean> => {
    const read = await store.get(shard.key, 'claim');
    const object = read.toMaybe().join().extract();
    // A stale read returns a version older than the one already known.
    if (object === undefined || object.version < shard.version) return false;
    if (object.version === shard.version) return true;
    const table = parseShardTable(object.value).extract();
    if (table === undefined) return false;
    shard.version = object.version;
    shard.table = table;
    return true;
  };

  const save = async (shard: ShardState, table: ShardTable) => {
    const value = formatShardTable(table);
    const written =
      shard.version === 0
        ? await store.create(shard.key, value, 'claim')
        : await store.update(shard.key, value, shard.version, 'claim');
    if (written.isLeft()) return false;
    shard.version = written.unsafeCoerce().version;
    shard.table = table;
    return true;
  };

  /**
   * Applies the batch to the shard and writes it. Returns undefined when no
   * attempt gave a reliable result.
   */
  const writeBatch = async (
    shard: ShardState,
    batch: readonly QueuedClaim[],
  ) => {
    let isFresh = false;
    for (let count = 0; count < maxAttempts; count++) {
      // After a conflict or a lost response, the stored table shows what
      // happened. This process recognises its own claims there by their nonces.
      if (count > 0) {
        await sleep(RETRY_BACKOFF_MS * 2 ** Math.min(count, 5) * random.next());
        isFresh = await refresh(shard);
      }
      const expireAt = wallNow() - minRetentionMs - CLOCK_SKEW_MS;
      const decision = applyClaims(shard.table, batch, expireAt);
      if (decision.changed) {
        if (await save(shard, decision.table)) return decision.outcomes;
      } else if (isFresh) {
        // The table in memory may be out of date: it might name a request that
        // another one has since replaced. So an outcome without a write needs a
        // fresh read. Such reads are rare, because repeats are rare.
        return decision.outcomes;
      }
    }
    return undefined;
  };

  const flush = async (shard: ShardState) => {
    const batch = shard.queue;
    shard.queue = [];
    const outcomes = await writeBatch(shard, batch);
    batch.forEach((queued, index) => {
      const {hash, claim} = queued;
      if (outcomes !== undefined) {
        unresolvedNonces.delete(hash);
        reply(queued, Right(outcomes[index]));
        return;
      }
      const nonces = unresolvedNonces.get(hash) ?? [];
      unresolvedNonces.set(hash, [...nonces, claim.nonce]);
      reply(queued, refuse(queued.message));
    });
  };

  const flushAll = async (shard: ShardState) => {
    shard.isFlushing = true;
    while (shard.queue.length > 0) {
      await sleep(batchWindowMs);
      // A repeat may have been queued before its first claim was refused.
      shard.queue = shard.queue.map(queued => ({
        ...queued,
        unresolvedNonces: unresolvedNonces.get(queued.hash) ?? [],
      }));
      await flush(shard);
    }
    shard.isFlushing = false;
  };

  return (message: ClaimsMessage) => {
    const {organisation, key, requestId} = message;
    const hash = claimHash(organisation, key).slice(0, KEY_HASH_DIGITS);
    const nonce = random.hex(NONCE_BYTES);
    const claim = {requestId, nonce, claimedAt: wallNow()};
    const shard = shardOf(hash);
    shard.queue.push({hash, claim, unresolvedNonces: [], message});
    if (!shard.isFlushing) flushAll(shard).catch(cause => ctx.fail(cause));
  };
}
