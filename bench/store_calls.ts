/**
 * Calls to the platform's store that an entry makes, by step: `npm run bench --
 * store-calls [--entries N,N] [--json FILE]`. Each entry runs the service that
 * follows the store, before a fake store and on a virtual clock; entries answer
 * each other's queries. Writes and lists of the entries' own records, which
 * another service makes, are not counted.
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {Right} from 'purify-ts/Either';
import type {StorePosition} from '../src/direct/store_position.js';
import {createStoreFollower} from '../src/direct/store_follower.js';
import type {Collection} from '../src/direct/followed/collection.js';
import type {
  DirectConfig,
  DirectReplica,
  DirectStore,
  StoreKnowledge,
} from '../src/direct/types.js';
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import type {Clock} from '../src/types/runtime.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';
import {createVirtualClock} from '../standins/virtual_clock.js';

const REPLICAS = 54;
const WARM_UP_MS = 60_000;
const LENGTH_MS = 60_000;
/** Long enough for many of the longest watches. */
const CALM_LENGTH_MS = 580_000;
const CALL_MS = 1;
const DATAGRAM_MS = 1;
const MAX_READY_AGE_MS = 3_750;
const LEAVING_MS = 2_000;
/** Replicas of one domain, cold at the same time. */
const COLD_REPLICAS = 18;
const COLD_RECORD_MS = 1_000;
/** One replica leaves, is removed and starts again in each period. */
const REPLACED_EVERY_MS = 300;

type DayName = 'calm' | 'replicas replaced' | 'cold replicas';
const DAYS: readonly DayName[] = ['calm', 'replicas replaced', 'cold replicas'];

interface Row {
  readonly entries: number;
  readonly day: DayName;
  readonly callsPerEntryS: number;
  /** Of the first entry by name, which relies on no other. */
  readonly firstEntryS: number;
  readonly bySteps: Readonly<Record<string, number>>;
}

export async function benchStoreCalls(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      entries: {type: 'string', default: '12,30'},
      json: {type: 'string'},
    },
  });
  const sizes = values.entries.split(',').map(Number);
  if (sizes.some(size => !(size >= 1))) {
    console.error('usage: bench store-calls [--entries N,N] [--json FILE]');
    process.exitCode = 2;
    return;
  }
  const rows: Row[] = [];
  for (const size of sizes)
    for (const day of DAYS) rows.push(await measure(size, day));
  console.table(rows.map(({bySteps, ...row}) => ({...row, ...bySteps})));
  const {json} = values;
  if (json !== undefined) writeFileSync(json, JSON.stringify(rows, null, 2));
}

async function measure(entries: number, day: DayName): Promise<Row> {
  const clock = createVirtualClock();
  const store = createFakeStore(clock);
  const counts = Array.from({length: entries}, () => new Map<string, number>());
  const kernels: Kernel[] = [];
  for (let at = 0; at < entries; at++)
    kernels.push(await startEntry(clock, store, counts[at], at, kernels));
  for (const kernel of kernels)
    kernel.send('followed', {kind: 'entries', count: entries});
  await clock.runFor(WARM_UP_MS);
  counts.forEach(it => it.clear());
  playDay(clock, store, day);
  const lengthMs = day === 'calm' ? CALM_LENGTH_MS : LENGTH_MS;
  await clock.runFor(lengthMs);
  const seconds = lengthMs / 1_000;
  const totalOf = (it: ReadonlyMap<string, number>) =>
    [...it.values()].reduce((sum, value) => sum + value, 0);
  const bySteps: Record<string, number> = {};
  for (const it of counts)
    for (const [step, count] of it)
      bySteps[step] = (bySteps[step] ?? 0) + count / seconds / entries;
  return {
    entries,
    day,
    callsPerEntryS: rounded(
      counts.reduce((sum, it) => sum + totalOf(it), 0) / seconds / entries,
    ),
    firstEntryS: rounded(totalOf(counts[0]) / seconds),
    bySteps: Object.fromEntries(
      Object.entries(bySteps).map(([step, value]) => [step, rounded(value)]),
    ),
  };
}

function playDay(clock: Clock, store: FakeStore, day: DayName): void {
  if (day === 'cold replicas') {
    for (let at = 0; at < COLD_REPLICAS; at++) {
      const phaseMs = (at / COLD_REPLICAS) * COLD_RECORD_MS;
      clock.after(phaseMs, () =>
        clock.every(COLD_RECORD_MS, () => store.put(at, 'ready')),
      );
    }
  }
  if (day === 'replicas replaced') {
    let next = 0;
    clock.every(REPLACED_EVERY_MS, () => {
      const at = next++ % REPLICAS;
      store.put(at, 'leaving');
      clock.after(LEAVING_MS, () => store.put(at, 'removed'));
      clock.after(2 * LEAVING_MS, () => store.put(at, 'ready'));
    });
  }
}

async function startEntry(
  clock: ReturnType<typeof createVirtualClock>,
  store: FakeStore,
  counts: Map<string, number>,
  at: number,
  kernels: readonly Kernel[],
): Promise<Kernel> {
  const {runtime} = createRecordingRuntime({clock, seed: at + 1});
  const kernel = createKernel(runtime);
  let evidenceAt = Number.NEGATIVE_INFINITY;
  let source: string | undefined;
  await kernel.start({
    name: 'direct',
    start: ctx =>
      void ctx.mailbox.observe(message => {
        if (message.kind === 'confirmed' && message.asOf > evidenceAt) {
          evidenceAt = message.asOf;
          source = message.origin.source;
        }
        if (message.kind === 'evidence')
          message.reply({ageMs: clock.now() - evidenceAt, source});
      }),
  });
  await kernel.start({
    name: 'sharing',
    start: ctx =>
      void ctx.mailbox.observe(message => {
        if (message.kind !== 'query-peer') return;
        const {anyPeer, reply} = message;
        const other = at > 0 ? 0 : anyPeer ? kernels.length - 1 : undefined;
        if (other === undefined || other === at) return reply(undefined);
        const askedAt = clock.now();
        clock.after(DATAGRAM_MS, () => {
          void askKnowledge(kernels[other]).then(knowledge => {
            const from = {node: `entry-${other}`, ip: '10.0.0.1', port: 1};
            clock.after(DATAGRAM_MS, () =>
              reply({...knowledge, askedAt, ...from}),
            );
          });
        });
      }),
  });
  await kernel.start(
    createStoreFollower({
      node: `entry-${at}`,
      store: store.clientFor(counts),
      maxReadyAgeMs: MAX_READY_AGE_MS,
      leavingMs: LEAVING_MS,
      evacuateMs: undefined,
      isBootstrap: false,
      wallMs: () => clock.now(),
    }),
  );
  return kernel;
}

function askKnowledge(kernel: Kernel): Promise<StoreKnowledge> {
  return kernel.ask(
    'followed',
    (reply: (knowledge: StoreKnowledge) => void) => ({
      kind: 'knowledge',
      reply,
    }),
  );
}

type ReplicaState = 'ready' | 'leaving' | 'removed';

interface FakeStore {
  put(replica: number, state: ReplicaState): void;
  /** A client that counts its calls by step. */
  clientFor(counts: Map<string, number>): DirectStore;
}

const ERA = 1;

function createFakeStore(clock: Clock): FakeStore {
  let revision = 1;
  const starts = Array.from({length: REPLICAS}, () => 1);
  const replicas = new Map<string, DirectReplica>();
  const history: {
    readonly revision: number;
    readonly name: string;
    readonly value: DirectReplica | undefined;
  }[] = [];
  const waiting = new Set<() => void>();

  const put = (at: number, state: ReplicaState): void => {
    const name = `server-${at}`;
    const wasPresent = replicas.has(name);
    if (state === 'ready' && !wasPresent) starts[at]++;
    const value: DirectReplica | undefined =
      state === 'removed'
        ? undefined
        : {
            id: `${name}@${starts[at]}`,
            name,
            startedAt: starts[at],
            service: 'pool',
            address: `10.0.0.${at}:80`,
            failureDomain: `domain-${at % 3}`,
            places: 8,
            leaving: state === 'leaving',
          };
    if (value === undefined) replicas.delete(name);
    else replicas.set(name, value);
    history.push({revision: ++revision, name, value});
    for (const wake of [...waiting]) wake();
  };
  for (let at = 0; at < REPLICAS; at++) put(at, 'ready');

  const pause = (ms: number) =>
    new Promise<void>(resolve => void clock.after(ms, resolve));
  const position = (): StorePosition => ({era: ERA, revision});
  /** Waits for a change after a revision. */
  const change = (after: number, waitMs: number): Promise<void> =>
    new Promise(resolve => {
      if (revision > after) return resolve();
      const end = () => {
        waiting.delete(end);
        cancel();
        resolve();
      };
      const cancel = clock.after(waitMs, end);
      waiting.add(end);
    });

  const clientFor = (counts: Map<string, number>): DirectStore => {
    let onEra: (era: number) => void = () => undefined;
    const call = async (step: string): Promise<void> => {
      counts.set(step, (counts.get(step) ?? 0) + 1);
      await pause(CALL_MS);
      onEra(ERA);
    };
    /** A collection that never changes. */
    const constant = <T>(
      kind: string,
      items: ReadonlyMap<string, T>,
    ): Collection<T> => ({
      list: async () => {
        await call(`list ${kind}`);
        return Right({position: position(), items, isPartial: false});
      },
      watch: async (_from, waitMs) => {
        await call(`watch ${kind}`);
        await pause(waitMs);
        return Right({position: position(), items: new Map()});
      },
    });
    const store: Partial<DirectStore> = {
      configs: constant('config', new Map([['main', CONFIG]])),
      quarantine: constant('quarantine', new Map()),
      replicas: {
        list: async () => {
          await call('list replicas');
          const items = new Map(replicas);
          return Right({position: position(), items, isPartial: false});
        },
        watch: async (from, waitMs) => {
          await call('watch replicas');
          await change(from.revision, waitMs);
          const changes = history.filter(it => it.revision > from.revision);
          return Right({
            position: position(),
            items: new Map(changes.map(({name, value}) => [name, value])),
          });
        },
      },
      settledEra: async () => {
        await call('read settled era');
        return Right({era: ERA});
      },
      watchEra: listener => {
        onEra = listener;
      },
    };
    return store as DirectStore;
  };
  return {put, clientFor};
}

const CONFIG: DirectConfig = {
  version: 1,
  routes: [],
  services: new Map(),
  keys: undefined,
  limits: {
    maxHeaderBytes: 0,
    maxBodyBytes: 0,
    headersTimeoutMs: 0,
    idleTimeoutMs: 0,
  },
};

function rounded(value: number): number {
  return Number(value.toFixed(3));
}
