/** All faults of a run, in the order of their times. */
import type {Random} from '../../src/types/runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {COMPANIONS} from '../faults.js';
import type {Fault, PlannedFault} from '../faults.js';
import {drawPoison, drawPoisonParts} from '../poison_faults.js';
import type {SoakFleet} from '../soak_fleet.js';
import {DOMAINS} from '../soak_fleet.js';
import type {SoakShape} from '../soak_run.js';
import {
  drawColdStarts,
  drawDepartures,
  drawEvacuations,
  drawFaults,
  drawLimits,
  drawPauses,
  drawReturns,
} from './draw_faults.js';

const WARM_UP_DRAWS = 8;
/** Added to the seed for the sequence of the store's returns. */
const RETURNS_SEED = 1_000_003;
/** The same of requests that crash replicas. */
const POISON_SEED = 2_000_003;
/** The same of replicas that name limits. */
const LIMIT_SEED = 3_000_017;
/** The same of replicas that say that they leave. */
const DEPARTURE_SEED = 4_000_037;
/** The same of replicas that ask for pauses. */
const PAUSE_SEED = 5_000_011;
/** The same for evacuations. */
const EVACUATION_SEED = 6_000_011;
/** The same for replicas that start cold. */
const COLD_SEED = 7_000_003;
/** The same for parts of prompts that crash replicas. */
const PART_SEED = 8_000_009;

export function createSoakPlan(
  {seed, durationMs, only}: Pick<SoakShape, 'seed' | 'durationMs' | 'only'>,
  {entries, replicas}: Pick<SoakFleet, 'entries' | 'replicas'>,
  random: Random,
): readonly PlannedFault[] {
  const drawn = {
    entries: entries.length,
    replicas: replicas.length,
    domains: DOMAINS,
    durationMs,
  };
  const returns = createSeededRandom(seed + RETURNS_SEED);
  const poison = createSeededRandom(seed + POISON_SEED);
  const limits = createSeededRandom(seed + LIMIT_SEED);
  const departures = createSeededRandom(seed + DEPARTURE_SEED);
  const pauses = createSeededRandom(seed + PAUSE_SEED);
  const evacuations = createSeededRandom(seed + EVACUATION_SEED);
  const coldStarts = createSeededRandom(seed + COLD_SEED);
  const parts = createSeededRandom(seed + PART_SEED);
  return [
    ...drawFaults(random, drawn),
    ...drawReturns(warmedUp(returns), drawn),
    ...drawPoison(warmedUp(poison), drawn),
    ...drawPoisonParts(warmedUp(parts), drawn),
    ...drawLimits(warmedUp(limits), drawn),
    ...drawDepartures(warmedUp(departures), drawn),
    ...drawPauses(warmedUp(pauses), drawn),
    ...drawEvacuations(warmedUp(evacuations), drawn),
    ...drawColdStarts(warmedUp(coldStarts), drawn),
  ]
    .filter(({fault}) => isPlayed(fault.kind, only))
    .sort((a, b) => a.atMs - b.atMs);
}

function isPlayed(
  kind: Fault['kind'],
  only: Fault['kind'] | undefined,
): boolean {
  if (only === undefined || kind === only) return true;
  return COMPANIONS[only]?.includes(kind) ?? false;
}

/** The first draw of a small seed is always close to 1: no fault would come. */
export function warmedUp(random: Random): Random {
  for (let drawn = 0; drawn < WARM_UP_DRAWS; drawn++) random.next();
  return random;
}
