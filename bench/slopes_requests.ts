/** What requests cost: by their rate, tokens, claims, number and prompts. */
import {setTimeout as sleep} from 'node:timers/promises';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {askOne, completed, steadyLoad} from './slopes_load.js';
import type {Load} from './slopes_load.js';
import type {WithFleet} from './slopes_members.js';
import {
  countsBetween,
  daemonsOf,
  memoryOf,
  ratesOf,
  storeCounts,
} from './slopes_readings.js';
import {createRecorder} from './slopes_record.js';
import type {Recorder} from './slopes_record.js';

const SHAPE = {...DEMO_SHAPE, entries: 2, engines: 4, services: 0};
/** Prompts are held whole: the engine is slow enough that they wait. */
const HOLDING_SHAPE = {
  ...SHAPE,
  engines: 2,
  engineMemoryTokens: 6_000_000,
  engineSpeed: 1,
};
const SECONDS = 10;
const WARM_UP: Load = {
  perSec: 40,
  seconds: 8,
  promptTokens: 1_000,
  maxTokens: 32,
};

/** Just under the longest that is taken, as the entry estimates it. */
const LONG_TOKENS = 990_000;
const LONG_MB = 3.96;

const ROLES = ['entry', 'side'] as const;

/** Sums over all processes of a role: whoever serves, the sum is the same. */
async function noteLoad(
  fleet: Fleet,
  recorder: Recorder,
  load: Load,
  x: number,
): Promise<void> {
  const named = ROLES.map(role => [role, daemonsOf(fleet, role)] as const);
  const names = named.flatMap(([, ofRole]) => ofRole);
  const counted = await storeCounts(fleet);
  let whole = 0;
  const rates = await ratesOf(fleet, names, async () => {
    whole = completed(await steadyLoad(fleet, load));
  });
  const calls = countsBetween(counted, await storeCounts(fleet));
  for (const [role, ofRole] of named) {
    const own = rates.filter((_, i) => ofRole.includes(names[i] ?? ''));
    const sum = (read: (rate: (typeof own)[number]) => number) =>
      own.reduce((total, rate) => total + read(rate), 0);
    const put = (figure: string, unit: string, y: number) =>
      recorder.note(role, figure, unit, [x, y]);
    put(
      'processor of all',
      '% of a core',
      sum(it => it.cpuPercent),
    );
    put(
      'control bytes of all',
      'B/s',
      sum(it => it.controlBytes),
    );
    put(
      'request bytes of all',
      'B/s',
      sum(it => it.requestBytes),
    );
  }
  recorder.note('entry', 'answered whole', 'share', [x, whole]);
  for (const [name, count] of calls) {
    recorder.note('object-api', `calls: ${name}`, '1/s', [x, count / SECONDS]);
  }
}

interface LoadSweep {
  readonly name: string;
  readonly varied: string;
  readonly fixed: string;
  readonly loads: ReadonlyArray<readonly [x: number, load: Load]>;
}

function sweepLoads(withFleet: WithFleet, sweep: LoadSweep) {
  const recorder = createRecorder(sweep.name, sweep.varied, sweep.fixed);
  return withFleet(SHAPE, async fleet => {
    await steadyLoad(fleet, WARM_UP);
    for (const [x, load] of sweep.loads) {
      await noteLoad(fleet, recorder, load, x);
    }
    return recorder.sweep();
  });
}

export function sweepRequests(withFleet: WithFleet) {
  return sweepLoads(withFleet, {
    name: 'requests',
    varied: 'requests a second',
    fixed: '2 entries and 4 sides; prompts of 1,000 tokens, 8 tokens answered',
    loads: [10, 20, 40, 80].map(perSec => [
      perSec,
      {perSec, seconds: SECONDS, promptTokens: 1_000, maxTokens: 8},
    ]),
  });
}

export function sweepTokens(withFleet: WithFleet) {
  const perSec = 10;
  return sweepLoads(withFleet, {
    name: 'tokens',
    varied: 'tokens answered a second',
    fixed: '2 entries and 4 sides; 10 requests a second of 1,000 tokens',
    loads: [8, 64, 128, 256].map(maxTokens => [
      perSec * maxTokens,
      {perSec, seconds: SECONDS, promptTokens: 1_000, maxTokens},
    ]),
  });
}

export function sweepClaims(withFleet: WithFleet) {
  return sweepLoads(withFleet, {
    name: 'claims',
    varied: 'requests a second that may run once only',
    fixed: '2 entries and 4 sides; prompts of 1,000 tokens, 8 tokens answered',
    loads: [5, 10, 20, 40].map(perSec => [
      perSec,
      {perSec, seconds: SECONDS, promptTokens: 1_000, maxTokens: 8, once: true},
    ]),
  });
}

interface Held {
  readonly counts: readonly number[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly settleMs: number;
}

/** Holds so many requests open, and reads the memory of all of a role. */
async function noteHeld(
  withFleet: WithFleet,
  recorder: Recorder,
  held: Held,
  toX: (count: number) => number,
): Promise<void> {
  for (const count of held.counts) {
    await withFleet(HOLDING_SHAPE, async fleet => {
      await steadyLoad(fleet, {...WARM_UP, perSec: 10, maxTokens: 4});
      let ended = 0;
      const hold = async () => {
        await askOne(fleet, held);
        ended += 1;
      };
      const answers = Array.from({length: count}, hold);
      await sleep(held.settleMs);
      const x = toX(count - ended);
      for (const role of ROLES) {
        const names = daemonsOf(fleet, role);
        const read = await Promise.all(names.map(it => memoryOf(fleet, it)));
        const sum = (of: (memory: (typeof read)[number]) => number) =>
          read.reduce((total, one) => total + of(one), 0);
        const put = (figure: string, y: number) =>
          recorder.note(role, figure, 'MB', [x, y]);
        put(
          'heap of all',
          sum(it => it.heapMb),
        );
        put(
          'buffers of all',
          sum(it => it.buffersMb),
        );
        put(
          'resident of all',
          sum(it => it.rssMb),
        );
      }
      void Promise.all(answers);
    });
  }
}

export async function sweepOpen(withFleet: WithFleet) {
  const recorder = createRecorder(
    'open',
    'requests open',
    '2 entries and 2 sides; prompts of 1,000 tokens',
  );
  const held = {
    counts: [0, 50, 100, 200],
    promptTokens: 1_000,
    maxTokens: 4_000,
    settleMs: 6_000,
  };
  await noteHeld(withFleet, recorder, held, count => count);
  return recorder.sweep();
}

export async function sweepPrompts(withFleet: WithFleet) {
  const recorder = createRecorder(
    'prompts',
    'megabytes of prompts open',
    '2 entries and 2 sides; prompts of 990,000 tokens',
  );
  const held = {
    counts: [0, 2, 4, 8],
    promptTokens: LONG_TOKENS,
    maxTokens: 16,
    settleMs: 8_000,
  };
  await noteHeld(withFleet, recorder, held, count => count * LONG_MB);
  return recorder.sweep();
}
