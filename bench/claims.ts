/**
 * What a claim of an idempotency key costs at the object API, one object per
 * key against batches, in virtual time. The figures are calls and bytes, and
 * waiting times under the stand-in's stated latency; no processor time.
 *
 * `node dist/bench/claims.js --json FILE`
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import type {Either} from 'purify-ts';
import {createClaimsService} from '../src/entry/claims/claims_per_key.js';
import {createBatchedClaimsService} from '../src/entry/claims/claims_batched.js';
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import type {OnyxError} from '../src/types/errors.js';
import type {ServiceSpec} from '../src/types/kernel.js';
import type {ObjectStore} from '../src/types/platform.js';
import type {ClaimOutcome} from '../src/types/services.js';
import {createMemoryObjectStore} from '../standins/memory_object_store.js';
import {createObjectStoreCore} from '../standins/object_store_core.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';

const SEED = 1;
const RUN_MS = 10_000;
const DRAIN_MS = 10_000;
const STORE_LATENCY_MS = 4;
const REPEAT_SHARE = 0.02;
const WRITE_KINDS = new Set(['create', 'update', 'remove']);

interface Scenario {
  readonly form: 'per key' | 'batched';
  readonly entries: number;
  /** Objects of the batched form; 0 for the other. */
  readonly shards: number;
  readonly claimsPerSec: number;
  /** Chance that the answer to a write is lost. */
  readonly loseProbability: number;
}

interface Row extends Scenario {
  readonly claims: number;
  readonly refused: number;
  readonly writesPerClaim: number;
  readonly readsPerClaim: number;
  readonly writesPerSec: number;
  readonly bytesWrittenPerClaim: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** The store with the bytes of all writes counted. */
function counting(store: ObjectStore, count: (bytes: number) => void) {
  return {
    ...store,
    create: (key, value, purpose) => {
      count(value.length);
      return store.create(key, value, purpose);
    },
    update: (key, value, version, purpose) => {
      count(value.length);
      return store.update(key, value, version, purpose);
    },
  } satisfies ObjectStore;
}

function serviceOf(
  scenario: Scenario,
  store: ObjectStore,
  wallNow: () => number,
): ServiceSpec<'claims'> {
  return scenario.form === 'per key'
    ? createClaimsService({store})
    : createBatchedClaimsService({store, wallNow, shardCount: scenario.shards});
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Math.round(sorted[index] * 10) / 10;
}

async function run(scenario: Scenario): Promise<Row> {
  const {runtime, clock, random} = createRecordingRuntime({seed: SEED});
  const core = createObjectStoreCore({
    clock,
    random,
    latencyMs: STORE_LATENCY_MS,
  });
  core.setFaults({loseProbability: scenario.loseProbability});
  let bytes = 0;
  const kernels: Kernel[] = [];
  for (let index = 0; index < scenario.entries; index++) {
    const kernel = createKernel(runtime);
    const memory = createMemoryObjectStore({core, clock});
    const store = counting(memory, size => (bytes += size));
    await kernel.start(serviceOf(scenario, store, () => clock.now()));
    kernels.push(kernel);
  }

  const waits: number[] = [];
  const open: Array<Promise<void>> = [];
  let refused = 0;
  const claim = async (key: string) => {
    const startedAt = clock.now();
    const kernel = kernels[Math.floor(random.next() * kernels.length)];
    const outcome = await kernel.ask<'claims', Either<OnyxError, ClaimOutcome>>(
      'claims',
      reply => ({
        kind: 'claim',
        organisation: 'org',
        key,
        requestId: random.hex(16),
        reply,
      }),
    );
    if (outcome.isLeft()) refused += 1;
    else waits.push(clock.now() - startedAt);
  };

  let made = 0;
  while (clock.now() < RUN_MS) {
    const isRepeat = made > 0 && random.next() < REPEAT_SHARE;
    const of = isRepeat ? Math.floor(random.next() * made) : made;
    open.push(claim(`key-${of}`));
    made += 1;
    const gapMs =
      (-Math.log(1 - random.next()) * 1_000) / scenario.claimsPerSec;
    await clock.runFor(gapMs);
  }
  await clock.runFor(DRAIN_MS);
  await Promise.all(open);

  const calls = (isWrite: boolean) =>
    core
      .counts()
      .filter(line => WRITE_KINDS.has(line.kind) === isWrite)
      .reduce((sum, line) => sum + line.calls, 0);
  const perClaim = (total: number) =>
    Math.round((total / made) * 1_000) / 1_000;
  return {
    ...scenario,
    claims: made,
    refused,
    writesPerClaim: perClaim(calls(true)),
    readsPerClaim: perClaim(calls(false)),
    writesPerSec: Math.round(calls(true) / (RUN_MS / 1_000)),
    bytesWrittenPerClaim: Math.round(bytes / made),
    p50Ms: quantile(waits, 0.5),
    p99Ms: quantile(waits, 0.99),
  };
}

const USUAL = {entries: 4, claimsPerSec: 500, loseProbability: 0} as const;
const PER_KEY = {...USUAL, form: 'per key', shards: 0} as const;
const BATCHED = {...USUAL, form: 'batched', shards: 16} as const;

const SCENARIOS: readonly Scenario[] = [
  {...PER_KEY, claimsPerSec: 100},
  PER_KEY,
  {...PER_KEY, entries: 16},
  {...PER_KEY, loseProbability: 0.05},
  {...BATCHED, claimsPerSec: 100},
  BATCHED,
  {...BATCHED, entries: 16},
  {...BATCHED, loseProbability: 0.05},
  // One home for all shards, as when entries pass their claims on to it.
  {...BATCHED, entries: 1},
  {...BATCHED, entries: 1, shards: 4},
  {...BATCHED, entries: 1, shards: 1},
];

const {values} = parseArgs({options: {json: {type: 'string'}}});
const rows: Row[] = [];
for (const scenario of SCENARIOS) rows.push(await run(scenario));
console.table(rows);
if (values.json !== undefined) {
  const about = {
    seed: SEED,
    virtualMs: RUN_MS,
    storeLatencyMs: STORE_LATENCY_MS,
    repeatShare: REPEAT_SHARE,
  };
  writeFileSync(values.json, `${JSON.stringify({about, rows}, null, 2)}\n`);
}
