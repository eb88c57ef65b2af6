import fc from 'fast-check';
import {test} from 'vitest';
import type {FaultAction, Step} from '../bench/soak_actions.js';
import {runSteps} from '../bench/soak_run.js';
import type {Ask} from '../standins/fleet_callers.js';

const SHAPE = {
  entries: 2,
  engines: 2,
  services: 1,
  engineMemoryTokens: 20_000,
  meanPauseMs: 0,
};

const at = fc.nat({max: 8});
const ms = fc.integer({min: 50, max: 12_000});

const fault: fc.Arbitrary<FaultAction> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      'engine-die',
      'engine-freeze',
      'engine-silent',
      'service-die',
      'service-lose',
      'side-crash',
      'side-freeze',
      'side-drain',
      'entry-crash',
      'entry-freeze',
      'entry-drain',
      'host-leave',
      'store-cut',
    ),
    at,
    ms,
  }),
  fc.record({kind: fc.constant('net-cut'), at, with: at, ms}),
  fc.record({kind: fc.constant('net-silence'), at, with: at}),
  fc.record({kind: fc.constant('store-lose'), ms, share: fc.constant(0.5)}),
  fc.record({kind: fc.constant('net-drop'), ms, share: fc.constant(0.3)}),
);

const ask: fc.Arbitrary<Ask> = fc.record({
  kind: fc.constantFrom('completion', 'call'),
  organisation: fc.constantFrom('prairie-sky', 'ingufu-hamwe'),
  promptTokens: fc.integer({min: 50, max: 45_000}),
  maxTokens: fc.integer({min: 1, max: 80}),
  timeLimitMs: fc.integer({min: 500, max: 30_000}),
  repeatable: fc.boolean(),
  priority: fc.constantFrom(0, 1, 2),
});

const step: fc.Arbitrary<Step> = fc.record({
  action: fc.oneof(
    {weight: 2, arbitrary: fault},
    {
      weight: 3,
      arbitrary: fc.record({kind: fc.constant('ask'), entry: at, ask}),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('resume'),
        entry: at,
        back: at,
        fromStart: fc.boolean(),
      }),
    },
  ),
  pauseMs: fc.nat({max: 1_500}),
});

// A schedule that breaks an invariant is shrunk to the few steps that do it.
test('no short schedule of faults breaks an invariant', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 5, maxLength: 25}),
      async steps => {
        const result = await runSteps({
          seed: 1,
          shape: SHAPE,
          steps: steps.length,
          next: index => steps[index] as Step,
        });
        const {failure} = result;
        if (failure === undefined) return;
        const {invariant, message, history} = failure;
        throw new Error(`${invariant}: ${message}\n${history.join('\n')}`);
      },
    ),
    {seed: 4, numRuns: 8},
  );
});
