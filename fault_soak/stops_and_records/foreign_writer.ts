/**
 * Another program that writes records with bytes of all sorts into the store, at
 * names before, between and after those of the replicas.
 */
import {ForeignBytes} from '../../standins/users_platform/store.js';
import type {Random} from '../../src/types/runtime.js';
import type {StoreProcess} from './store_process.js';

const KINDS = [
  'servers',
  'servers',
  'servers',
  'config',
  'onyxloft-entries',
  'onyxloft-quarantine',
  'evacuations',
] as const;
const NAMES = ['a-foreign', 'i-pool-1-foreign', 'm-foreign', 'z-foreign'];
const MOST_RECORDS = 6;
/** Shortest and longest mean pause between two writes; each run draws its own. */
const SHORTEST_GAP_MS = 15;
const LONGEST_GAP_MS = 1_200;
const REMOVED_SHARE = 0.15;
const NESTED = 5_000;

const VALID =
  '{"service":"desk","address":"127.0.0.1:9","zone":"domain-1","slots":4}';

/** Bytes that a record may hold; `name` is that of a replica that is sound. */
function bytesOf(name: string): readonly string[] {
  const metadata = `"metadata":{"name":"${name}","revision":3}`;
  return [
    '{"service":"desk",zz}',
    '{"service":"de',
    '"\\',
    '{}}}]}',
    '{}},{"a":1}',
    '{}}],"hasMore":false,"currentRev":1}',
    '{"a":[{"b":[',
    '\u0000\u0001{}',
    '',
    '['.repeat(NESTED),
    VALID,
    'null',
    `zz},{${metadata},"spec":{`,
    `zz},"removed":false},{"object":{${metadata},"spec":null},"removed":true},{"object":{"metadata":{"name":"q","revision":3},"spec":zz`,
  ];
}

export interface ForeignWriter {
  readonly writes: () => number;
  stop(): void;
}

/** Records other than the ones above. */
export interface ForeignRecords {
  readonly names: readonly string[];
  readonly meanGapMs: number;
  bytes(random: Random): string;
}

export function startForeignWriter(
  store: Pick<StoreProcess, 'put' | 'remove'>,
  replicaNames: readonly string[],
  random: Random,
  records?: ForeignRecords,
): ForeignWriter {
  const one = <T>(all: readonly T[]): T =>
    all[Math.floor(random.next() * all.length)] as T;
  const count = 1 + Math.floor(random.next() * MOST_RECORDS);
  const drawnGapMs =
    SHORTEST_GAP_MS + random.next() ** 3 * (LONGEST_GAP_MS - SHORTEST_GAP_MS);
  const meanGapMs = records?.meanGapMs ?? drawnGapMs;
  const names =
    records?.names ??
    Array.from({length: count}, (_, at) => `${one(NAMES)}-${at}`);
  const draw = () => records?.bytes(random) ?? one(bytesOf(one(replicaNames)));
  let writes = 0;
  let timer: NodeJS.Timeout;
  const write = (): void => {
    const kind = one(KINDS);
    const name = one(names);
    writes++;
    if (random.next() < REMOVED_SHARE) void store.remove(kind, name);
    else {
      void store.put(kind, name, new ForeignBytes(draw()));
    }
    timer = setTimeout(write, random.next() * 2 * meanGapMs);
  };
  write();
  return {writes: () => writes, stop: () => clearTimeout(timer)};
}
