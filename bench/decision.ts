/**
 * What one decision about a waiting prompt costs an entry in processor time:
 * `npm run bench -- decision [--json FILE]`. All of it is counted, from what
 * the entries told of their work to the decision, since an entry with a
 * quarter of a core pays for it four times over in time.
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {usesSingleEngine} from '../src/direct/decide/choose_engines.js';
import {sampleCandidates} from '../src/direct/decide/sample_candidates.js';
import {prefillMs} from '../src/direct/decide/engine_timing.js';
import {callerTimeoutMs} from '../src/direct/decide/caller_timeout.js';
import {placeOrWait} from '../src/direct/decide/place_or_wait.js';
import type {PlacingRequest} from '../src/direct/decide/place_or_wait.js';
import {weightOf} from '../src/direct/decide/request_weights.js';
import {createLoadTracker} from '../src/direct/load_tracker.js';
import type {LoadTracker} from '../src/direct/load_tracker.js';
import type {ReplicaLoad} from '../src/direct/replica_load.js';
import type {DirectReplica} from '../src/direct/types.js';
import type {Random} from '../src/types/runtime.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createVirtualClock} from '../standins/virtual_clock.js';
import {routeOf} from './direct/load.js';
import {SERVICE} from './direct/model_fleet.js';
import {ENGINE, LONG, SHORT} from './direct/scenarios.js';

const ENGINE_COUNTS = [14, 45, 135, 370] as const;
const FAILURE_DOMAINS = 5;
const ENGINES_PER_ENTRY = 2;
const WARM_UP_RUNS = 300;
const RUNS = 1_500;
const SEED = 7;

type LoadName = 'calm' | 'full';
type RequestName = 'short' | 'long';

interface Row {
  readonly engines: number;
  readonly load: LoadName;
  readonly requests: RequestName;
  readonly meanMs: number;
  readonly p99Ms: number;
}

export async function benchDecision(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {json: {type: 'string'}},
  });
  const rows = ENGINE_COUNTS.flatMap(engines =>
    (['calm', 'full'] as const).flatMap(load =>
      (['short', 'long'] as const).map(requests =>
        measure(engines, load, requests),
      ),
    ),
  );
  console.table(rows);
  const {json} = values;
  if (json !== undefined) writeFileSync(json, JSON.stringify(rows, null, 2));
}

function measure(engines: number, load: LoadName, requests: RequestName): Row {
  const random = createSeededRandom(SEED);
  const clock = createVirtualClock();
  const book = createLoadTracker(clock, () => undefined);
  const replicas = Array.from({length: engines}, (_, at) => replicaOf(at));
  tellLoads(book, replicas, load, random);
  const times: number[] = [];
  for (let run = -WARM_UP_RUNS; run < RUNS; run++) {
    const req = requestOf(requests, random);
    const startedAt = performance.now();
    decide(book, replicas, req);
    if (run >= 0) times.push(performance.now() - startedAt);
  }
  times.sort((a, b) => a - b);
  const sum = times.reduce((total, ms) => total + ms, 0);
  return {
    engines,
    load,
    requests,
    meanMs: Number((sum / times.length).toFixed(4)),
    p99Ms: Number(times[Math.floor(times.length * 0.99)].toFixed(4)),
  };
}

function decide(
  book: LoadTracker,
  replicas: readonly DirectReplica[],
  req: PlacingRequest,
): void {
  const looked = usesSingleEngine(ENGINE, req)
    ? sampleCandidates(replicas, replicas[0].failureDomain, req.draw)
    : replicas;
  const candidates = looked.map(replica => ({
    replica,
    load: book.totalLoad(replica.id),
    slowness: 1,
  }));
  const weightPerPrefillMs = 2_000;
  placeOrWait({figures: ENGINE, candidates, weightPerPrefillMs}, req);
}

function replicaOf(at: number): DirectReplica {
  return {
    id: `engine-${at}@1`,
    name: `engine-${at}`,
    startedAt: 1,
    service: SERVICE,
    address: `10.0.0.${at}:80`,
    failureDomain: `domain-${at % FAILURE_DOMAINS}`,
    places: ENGINE.places,
    leaving: false,
  };
}

/** Each entry tells of streams, and of parts of long prompts. */
function tellLoads(
  book: LoadTracker,
  replicas: readonly DirectReplica[],
  load: LoadName,
  random: Random,
): void {
  const streamsPerEngine = load === 'full' ? 6 : 2;
  const entries = Math.max(1, Math.round(replicas.length / ENGINES_PER_ENTRY));
  const streams = streamsPerEngine * ENGINES_PER_ENTRY;
  for (let entry = 0; entry < entries; entry++) {
    const loads = Array.from({length: streams}, () =>
      loadOf(replicas[Math.floor(random.next() * replicas.length)], load),
    );
    const distinct = new Map(loads.map(it => [it.replicaId, it]));
    book.setPeerLoad(`entry-${entry}`, [...distinct.values()]);
  }
}

function loadOf({id}: DirectReplica, load: LoadName): ReplicaLoad {
  const isReading = load === 'full';
  return {
    replicaId: id,
    running: 1,
    tokens: 6_000,
    readMs: isReading ? 120 : 0,
    readers: isReading
      ? [{slackMs: 100, marginMs: 75, weight: weightOf(18_500, 18_500)}]
      : [],
    writers: [{pauseAimMs: 250, weight: weightOf(18_500, 18_500)}],
  };
}

function requestOf(requests: RequestName, random: Random): PlacingRequest {
  const kind = requests === 'short' ? SHORT : LONG;
  const promptTokens = kind.promptTokens.mean;
  const route = routeOf(kind, SERVICE);
  const size = promptTokens + kind.maxTokens;
  return {
    isNew: true,
    promptTokens,
    weight: weightOf(size, size),
    answerTokens: kind.maxTokens,
    aimMs: route.aimMs,
    pauseAimMs: route.pauseAimMs,
    callerTimeoutMs: callerTimeoutMs(route),
    elapsedMs: prefillMs(ENGINE, promptTokens, 1) * 0.1,
    draw: () => random.next(),
  };
}
