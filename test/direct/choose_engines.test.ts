/** The engines that are chosen for a prompt, with given loads. */
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {chooseEngines} from '../../src/direct/decide/choose_engines.js';
import type {EngineRequest} from '../../src/direct/decide/score_engine.js';
import {weightOf} from '../../src/direct/decide/request_weights.js';
import type {ReplicaLoad} from '../../src/direct/replica_load.js';
import type {EngineFigures} from '../../src/direct/types.js';
import {engineCandidate} from '../support/engine_candidates.js';

const FIGURES: EngineFigures = {
  places: 10,
  memoryTokens: 200_000,
  stepsPerPass: 40,
  stepMs: 1,
  stepMsPerWriter: 0,
  readTokensPerMs: 200,
  pairsMsPerMillion: 0.1,
  chunkTokens: 2_048,
  contextMsPerThousand: 0,
};

function engine(id: string, load: Partial<ReplicaLoad> = {}) {
  return engineCandidate(id, FIGURES.places, load);
}

function prompt(promptTokens: number, overrides: Partial<EngineRequest> = {}) {
  return {
    promptTokens,
    weight: weightOf(promptTokens + 5_000, promptTokens + 5_000),
    answerTokens: 500,
    aimMs: promptTokens > 50_000 ? 3_000 : 300,
    pauseAimMs: promptTokens > 50_000 ? 1_000 : 250,
    callerTimeoutMs: promptTokens > 50_000 ? 12_000 : 2_000,
    elapsedMs: 0,
    draw: () => 0,
    ...overrides,
  };
}

const SHORT_WRITERS = [{pauseAimMs: 250, weight: 60_000}];

const membersOf = (plan: ReturnType<typeof chooseEngines>) =>
  plan === undefined
    ? []
    : [plan.lead, ...plan.helpers].map(it => it.replica.id).sort();

describe('a short prompt', () => {
  test('is placed beside similar streams rather than on an idle engine', () => {
    const busy = engine('b', {running: 3, writers: SHORT_WRITERS});
    const plan = chooseEngines(FIGURES, prompt(5_000), [engine('a'), busy]);
    expect(membersOf(plan)).toEqual(['b']);
  });

  test('is placed on an idle engine before the last slots are taken', () => {
    const crowded = engine('b', {running: 9, writers: SHORT_WRITERS});
    const plan = chooseEngines(FIGURES, prompt(5_000), [engine('a'), crowded]);
    expect(membersOf(plan)).toEqual(['a']);
  });

  test('avoids an engine that prefills a long prompt', () => {
    const prefilling = engine('b', {
      running: 3,
      readMs: 800,
      writers: SHORT_WRITERS,
    });
    const plan = chooseEngines(FIGURES, prompt(5_000), [
      engine('a'),
      prefilling,
    ]);
    expect(membersOf(plan)).toEqual(['a']);
  });
});

describe('a long prompt', () => {
  test('avoids streams with a short pause objective', () => {
    const shortStreams = engine('a', {running: 5, writers: SHORT_WRITERS});
    const plan = chooseEngines(FIGURES, prompt(60_000), [
      shortStreams,
      engine('b'),
    ]);
    expect(membersOf(plan)).toEqual(['b']);
  });

  test('is split over a group if one engine would take too long', () => {
    const engines = ['a', 'b', 'c', 'd'].map(id => engine(id));
    const plan = chooseEngines(FIGURES, prompt(190_000), engines);
    expect(membersOf(plan).length).toBeGreaterThan(1);
    expect(plan?.partTokens).toBeGreaterThan(0);
  });

  test('gets no plan if no group has the memory', () => {
    const engines = ['a', 'b'].map(id => engine(id, {tokens: 150_000}));
    expect(chooseEngines(FIGURES, prompt(190_000), engines)).toBeUndefined();
  });

  // A group part is prefilled before all other prompts on its engine. A waiting
  // prompt without slack there would miss its latency objective.
  test('is not split over an engine where it would delay another prompt', () => {
    const readers = [{slackMs: 10, marginMs: 75, weight: 900_000}];
    const prefilling = engine('b', {readMs: 100, readers});
    const engines = [engine('a'), prefilling, engine('c'), engine('d')];
    const plan = chooseEngines(FIGURES, prompt(120_000), engines);
    expect(membersOf(plan)).not.toContain('b');
  });
});

describe('entries that choose at the same time', () => {
  test('choose different idle engines at random', () => {
    const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => engine(id));
    const draws = [0.1, 0.9, 0.3, 0.7, 0.5, 0.2];
    const firsts = [0, 1, 2, 3].map(shift => {
      let at = shift;
      const draw = () => draws[at++ % draws.length];
      const plan = chooseEngines(FIGURES, prompt(5_000, {draw}), engines);
      return plan?.lead.replica.id;
    });
    expect(new Set(firsts).size).toBeGreaterThan(1);
  });
});

describe('the best plan', () => {
  const loadArb = fc.record({
    running: fc.integer({min: 0, max: 10}),
    tokens: fc.integer({min: 0, max: 200_000}),
    readMs: fc.integer({min: 0, max: 900}),
    writers: fc.constantFrom([], SHORT_WRITERS),
  });

  // Group sizes are skipped if they cannot beat the best plan found. If one were
  // skipped wrongly, a subset of the engines could give a better plan.
  test('is no worse than the best plan for a subset of the engines', () => {
    fc.assert(
      fc.property(
        fc.array(loadArb, {minLength: 2, maxLength: 20}),
        fc.integer({min: 100, max: 300_000}),
        fc.integer({min: 1, max: 19}),
        (loads, promptTokens, count) => {
          const all = loads.map((load, at) => engine(`e${at}`, load));
          const req = prompt(promptTokens);
          const subset = chooseEngines(FIGURES, req, all.slice(0, count));
          const best = chooseEngines(FIGURES, req, all);
          if (subset === undefined || count === 1) return;
          expect(best?.loss).toBeLessThanOrEqual(subset.loss + 1e-6);
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });
});
