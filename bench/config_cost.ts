/**
 * What a change of the configuration costs in bytes and calls, for three ways
 * of splitting it, and how long a number takes to be in force everywhere.
 * Run: npx tsx bench/config_cost.ts
 */
import {createInitialDeclarations} from '../src/config/declarations_schema.js';
import {
  createManifest,
  hashDocument,
  splitDeclarations,
} from '../src/config/documents.js';
import type {DocumentRef, NamedDocument} from '../src/config/documents.js';
import type {Declarations} from '../src/types/config.js';
import {createConfigCluster} from '../test/support/config_cluster.js';

/** Manifests written for a change: the head and the history before it. */
const MANIFESTS = 2;
const KEYS_PER_ORGANISATION = 3;

/** Cost of one change of one organisation. */
interface Cost {
  readonly way: string;
  readonly organisations: number;
  readonly bytesWritten: number;
  readonly writes: number;
  readonly largestValue: number;
  /** Values that a process without any reads from the store. */
  readonly coldReads: number;
  readonly totalBytes: number;
}

function declarationsOf(organisations: number): Declarations {
  return {
    ...createInitialDeclarations(),
    organisations: Array.from({length: organisations}, (_, n) => ({
      id: `organisation-${String(n).padStart(4, '0')}`,
      keyHashes: Array.from(
        {length: KEYS_PER_ORGANISATION},
        (_, key) =>
          `${hashDocument(`salt ${n} ${key}`)}${hashDocument(`${n}`)}`,
      ),
      weight: 1,
      maxRunning: 256,
      tokensPerSec: 2_000_000,
    })),
  };
}

function changed(declarations: Declarations): Declarations {
  const organisations = declarations.organisations.map((item, at) =>
    at === 3 ? {...item, weight: 2} : item,
  );
  return {...declarations, organisations};
}

/** A document for each organisation, all listed by the manifest. */
function splitFlat(declarations: Declarations): readonly NamedDocument[] {
  const rest = splitDeclarations({...declarations, organisations: []});
  const organisations = declarations.organisations.map(item => {
    const json = JSON.stringify(item);
    return {name: `organisation/${item.id}`, hash: hashDocument(json), json};
  });
  return [...rest, ...organisations];
}

/** The same, listed by bucket documents, which the manifest lists. */
function splitTwoLevels(declarations: Declarations): {
  readonly listed: readonly NamedDocument[];
  readonly all: readonly NamedDocument[];
} {
  const organisations = splitFlat(declarations).filter(({name}) =>
    name.startsWith('organisation/'),
  );
  const rest = splitDeclarations({...declarations, organisations: []});
  const byBucket = new Map<string, DocumentRef[]>();
  for (const {name, hash} of organisations) {
    const bucket = `organisations/${parseInt(hashDocument(name).slice(0, 4), 16) % 64}`;
    byBucket.set(bucket, [...(byBucket.get(bucket) ?? []), {name, hash}]);
  }
  const buckets = [...byBucket].map(([name, refs]) => {
    const json = JSON.stringify(refs);
    return {name, hash: hashDocument(json), json};
  });
  return {
    listed: [...rest, ...buckets],
    all: [...rest, ...buckets, ...organisations],
  };
}

function costOf(
  way: string,
  organisations: number,
  before: readonly NamedDocument[],
  after: readonly NamedDocument[],
  listed: readonly NamedDocument[],
): Cost {
  const known = new Set(before.map(({hash}) => hash));
  const added = after.filter(({hash}) => !known.has(hash));
  const manifest = JSON.stringify(
    createManifest(
      {
        number: 2,
        base: 1,
        patchId: '0123456789abcdef',
        operator: 'ada',
        changedPaths: ['/organisations/organisation-0003/weight'],
      },
      listed,
    ),
  );
  const sizes = after.map(({json}) => json.length);
  return {
    way,
    organisations,
    bytesWritten:
      added.reduce((sum, {json}) => sum + json.length, 0) +
      MANIFESTS * manifest.length,
    writes: added.length + MANIFESTS,
    largestValue: Math.max(manifest.length, ...sizes),
    coldReads: 1 + after.length,
    totalBytes: sizes.reduce((sum, size) => sum + size, 0),
  };
}

function costs(organisations: number): readonly Cost[] {
  const before = declarationsOf(organisations);
  const after = changed(before);
  const flat = splitFlat(after);
  const levels = splitTwoLevels(after);
  const buckets = splitDeclarations(after);
  return [
    costOf(
      'document each, flat manifest',
      organisations,
      splitFlat(before),
      flat,
      flat,
    ),
    costOf(
      'document each, listed by 64',
      organisations,
      splitTwoLevels(before).all,
      levels.all,
      levels.listed,
    ),
    costOf(
      '64 documents (taken)',
      organisations,
      splitDeclarations(before),
      buckets,
      buckets,
    ),
  ];
}

/** Measured on the service itself: calls and bytes that reach the store. */
async function serviceCost(organisations: number) {
  const cluster = createConfigCluster();
  const node = await cluster.addNode();
  await cluster.clock.runFor(3_000);
  const byId = Object.fromEntries(
    declarationsOf(organisations).organisations.map(({id, ...rest}) => [
      id,
      rest,
    ]),
  );
  await cluster.apply(node, {patch: JSON.stringify({organisations: byId})});
  const callsBefore = operatorCalls(cluster.core.counts());
  const startedAt = cluster.clock.now();
  const cpuStart = process.cpuUsage();
  await cluster.apply(node, {
    base: 1,
    patchId: 'patch-2',
    patch: '{"organisations":{"organisation-0003":{"weight":2}}}',
  });
  const cpuMs = process.cpuUsage(cpuStart).user / 1_000;
  const row = {
    organisations,
    calls: operatorCalls(cluster.core.counts()) - callsBefore,
    virtualMs: cluster.clock.now() - startedAt,
    cpuMs: Math.round(cpuMs),
  };
  await cluster.stop();
  return row;
}

function operatorCalls(
  counts: ReadonlyArray<{readonly purpose: string; readonly calls: number}>,
): number {
  return counts
    .filter(({purpose}) => purpose === 'operator')
    .reduce((sum, {calls}) => sum + calls, 0);
}

/** Virtual time from acceptance to in force, per process. */
async function spread(processes: number, store: 'up' | 'slow' | 'out') {
  const cluster = createConfigCluster();
  for (let n = 0; n < processes; n++) await cluster.addNode();
  await cluster.clock.runFor(40_000);
  const times: number[] = [];
  const rounds = 5;
  for (let base = 0; base < rounds; base++) {
    if (store === 'slow') cluster.core.setFaults({slowMs: 500});
    await cluster.apply(cluster.nodes[base % processes], {
      base,
      patchId: `patch-${base}`,
      patch: `{"organisations":{"prairie-sky":{"weight":${base + 1}}}}`,
    });
    if (store === 'out') cluster.core.setFaults({outage: true});
    const acceptedAt = cluster.clock.now();
    const waiting = new Set(cluster.nodes);
    while (waiting.size > 0) {
      for (const node of waiting) {
        if (node.inForce()?.number !== base + 1) continue;
        waiting.delete(node);
        times.push(cluster.clock.now() - acceptedAt);
      }
      await cluster.clock.runFor(10);
    }
    cluster.core.setFaults({outage: false, slowMs: 0});
    await cluster.clock.runFor(40_000);
  }
  await cluster.stop();
  times.sort((a, b) => a - b);
  const at = (share: number) => times[Math.floor((times.length - 1) * share)];
  return {processes, store, p50: at(0.5), p99: at(0.99), max: at(1)};
}

async function main() {
  console.table([10, 100, 1_500].flatMap(costs));
  const services = [];
  for (const count of [10, 100, 1_500]) services.push(await serviceCost(count));
  console.table(services);
  const rows = [];
  for (const processes of [10, 40, 100]) {
    for (const store of ['up', 'slow', 'out'] as const) {
      rows.push(await spread(processes, store));
    }
  }
  console.table(rows);
}

void main();
