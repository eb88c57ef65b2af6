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
import {claimRefused} from './claim_error.js';
import {
  decideClaims,
  formatShardTable,
  parseShardTable,
} from './claim_shard.js';
import type {ShardTable, WaitingClaim} from './claim_shard.js';
import {CLAIMS_METRIC} from './claims_per_key.js';
import {createRecentMap} from '../../utils/recent_map.js';

const PREFIX = 'claims-batched';
const NONCE_BYTES = 12;
const HASH_DIGITS = 32;
const SHARD_DIGITS = 8;
const REMEMBERED = 10_000;
const DAY_MS = 86_400_000;
/** Added to the time a key is remembered: wall clocks differ. */
const CLOCK_SKEW_MS = 3_600_000;
const FIRST_PAUSE_MS = 5;

export interface BatchedClaimsOptions {
  readonly store: ObjectStore;
  /** Wall clock, in milliseconds; decides only when a key is forgotten. */
  readonly wallNow: () => number;
  /** Objects over which claims are spread. @default 16 */
  readonly shards?: number;
  /** How long a shard collects claims before it writes. @default 25 */
  readonly batchMs?: number;
  /**
   * How long a key is remembered at least, in milliseconds, while the hosts'
   * wall clocks differ by less than an hour. @default 86400000
   */
  readonly rememberMs?: number;
  /** Tries of one update. @default 8 */
  readonly tries?: number;
  /** Told to callers that were refused, in milliseconds. @default 1000 */
  readonly retryAfterMs?: number;
}

type Outcome = Either<OnyxError, ClaimOutcome>;

interface Queued extends WaitingClaim {
  readonly message: ClaimsMessage;
}

interface Shard {
  readonly key: string;
  queue: Queued[];
  /** Newest state known to be stored; version 0 before the first. */
  version: number;
  table: ShardTable;
  busy: boolean;
}

export function createBatchedClaimsService(
  options: BatchedClaimsOptions,
): ServiceSpec<'claims'> {
  return {
    name: 'claims',
    start: ctx => {
      const enqueue = createBatches(options, ctx);
      void ctx.mailbox.observe(enqueue);
    },
  };
}

function createBatches(
  options: BatchedClaimsOptions,
  ctx: ServiceContext<'claims'>,
) {
  const {store, wallNow, shards = 16, batchMs = 25, tries = 8} = options;
  const {rememberMs = DAY_MS, retryAfterMs = 1_000} = options;
  const {clock, random, metrics} = ctx;
  const unresolved = createRecentMap<readonly string[]>(REMEMBERED);
  const byIndex = new Map<number, Shard>();

  const shardOf = (hash: string): Shard => {
    const index = parseInt(hash.slice(0, SHARD_DIGITS), 16) % shards;
    const known = byIndex.get(index);
    if (known !== undefined) return known;
    const key = `${PREFIX}/${shards}/${index}`;
    const table = new Map();
    const shard = {key, queue: [], version: 0, table, busy: false};
    byIndex.set(index, shard);
    return shard;
  };

  const sleep = (ms: number) =>
    new Promise<void>(resolve => {
      clock.after(ms, resolve);
    });

  const refusal = (message: ClaimsMessage): Outcome =>
    Left(claimRefused(message.requestId, retryAfterMs, random));

  const reply = (queued: Queued, outcome: Outcome) => {
    const kind = outcome.map(it => it.kind).orDefault('refused' as never);
    metrics.count(CLAIMS_METRIC, {outcome: kind});
    queued.message.reply(outcome);
  };

  /** Reads the shard; false when that did not show its newest state. */
  const refresh = async (shard: Shard): Promise<boolean> => {
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

  const save = async (shard: Shard, table: ShardTable) => {
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
  const settle = async (shard: Shard, batch: readonly Queued[]) => {
    let isFresh = false;
    for (let count = 0; count < tries; count++) {
      // After a conflict or a lost answer the stored table tells; claims of
      // ours that are in it are known by their nonces.
      if (count > 0) {
        await sleep(FIRST_PAUSE_MS * 2 ** Math.min(count, 5) * random.next());
        isFresh = await refresh(shard);
      }
      const expireAt = wallNow() - rememberMs - CLOCK_SKEW_MS;
      const decision = decideClaims(shard.table, batch, expireAt);
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

  const flush = async (shard: Shard) => {
    const batch = shard.queue;
    shard.queue = [];
    const outcomes = await settle(shard, batch);
    batch.forEach((queued, index) => {
      const {hash, claim} = queued;
      if (outcomes !== undefined) {
        unresolved.delete(hash);
        reply(queued, Right(outcomes[index]));
        return;
      }
      const nonces = unresolved.get(hash) ?? [];
      unresolved.set(hash, [...nonces, claim.nonce]);
      reply(queued, refusal(queued.message));
    });
  };

  const run = async (shard: Shard) => {
    shard.busy = true;
    while (shard.queue.length > 0) {
      await sleep(batchMs);
      // A repeat may have been queued before its first claim was refused.
      shard.queue = shard.queue.map(queued => ({
        ...queued,
        unresolved: unresolved.get(queued.hash) ?? [],
      }));
      await flush(shard);
    }
    shard.busy = false;
  };

  return (message: ClaimsMessage) => {
    const {organisation, key, requestId} = message;
    const hash = claimHash(organisation, key).slice(0, HASH_DIGITS);
    const nonce = random.hex(NONCE_BYTES);
    const claim = {requestId, nonce, at: wallNow()};
    const shard = shardOf(hash);
    shard.queue.push({hash, claim, unresolved: [], message});
    if (!shard.busy) run(shard).catch(cause => ctx.fail(cause));
  };
}
