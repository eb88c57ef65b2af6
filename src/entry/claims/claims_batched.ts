/**
 * The `claims` service in another form: claims are sharded by hash into
 * objects, and each shard collects claims for a short while and writes them by
 * one conditional update. It is as exact as one object per key, because the
 * conditional update decides; it saves calls and costs bytes, since each
 * update writes the whole shard.
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

const KEY_PREFIX = 'claims-batched';
const NONCE_BYTES = 12;
const KEY_HASH_DIGITS = 32;
const SHARD_HASH_DIGITS = 8;
const MAX_UNRESOLVED_KEYS = 10_000;
const DAY_MS = 86_400_000;
/** Added to the time a key is remembered: wall clocks differ. */
const CLOCK_SKEW_MS = 3_600_000;
const RETRY_BACKOFF_MS = 5;

export interface BatchedClaimsOptions {
  readonly store: ObjectStore;
  /** Wall clock, in milliseconds; decides only when a key is forgotten. */
  readonly wallNow: () => number;
  /** Objects over which claims are spread. @default 16 */
  readonly shardCount?: number;
  /** How long a shard collects claims before it writes. @default 25 */
  readonly batchWindowMs?: number;
  /**
   * How long a key is remembered at least, in milliseconds, while the hosts'
   * wall clocks differ by less than an hour. @default 86400000
   */
  readonly minRetentionMs?: number;
  /** Tries of one update. @default 8 */
  readonly maxAttempts?: number;
  /** Told to callers that were refused, in milliseconds. @default 1000 */
  readonly retryAfterMs?: number;
}

type ClaimResult = Either<OnyxError, ClaimOutcome>;

interface QueuedClaim extends PendingClaim {
  readonly message: ClaimsMessage;
}

interface ShardState {
  readonly key: string;
  queue: QueuedClaim[];
  /** Newest state known to be stored; version 0 before the first. */
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

function createBatcher(
  options: BatchedClaimsOptions,
  ctx: ServiceContext<'claims'>,
) {
  const {
    store,
    wallNow,
    shardCount: shardCount = 16,
    batchWindowMs: batchWindowMs = 25,
    maxAttempts: maxAttempts = 8,
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

  /** Reads the shard; false when that did not show its newest state. */
  const refresh = async (shard: ShardState): Promise<boolean> => {
    const read = await store.get(shard.key, 'claim');
    const object = read.toMaybe().join().extract();
    // A stale read shows a version that is passed; what is known is newer.
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

  /** Undefined when the store gave no answer to go by. */
  const writeBatch = async (
    shard: ShardState,
    batch: readonly QueuedClaim[],
  ) => {
    let isFresh = false;
    for (let count = 0; count < maxAttempts; count++) {
      // After a conflict or a lost answer the stored table tells; claims of
      // ours that are in it are known by their nonces.
      if (count > 0) {
        await sleep(RETRY_BACKOFF_MS * 2 ** Math.min(count, 5) * random.next());
        isFresh = await refresh(shard);
      }
      const expireAt = wallNow() - minRetentionMs - CLOCK_SKEW_MS;
      const decision = applyClaims(shard.table, batch, expireAt);
      if (decision.changed) {
        if (await save(shard, decision.table)) return decision.outcomes;
      } else if (isFresh) {
        // From memory alone a repeat might be sent to a request that another
        // has replaced since; a read costs little, as repeats are few.
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

  const flushUntilEmpty = async (shard: ShardState) => {
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
    if (!shard.isFlushing)
      flushUntilEmpty(shard).catch(cause => ctx.fail(cause));
  };
}
