/** The policy bench on a short seeded run: its order holds, its figures repeat. */
import {describe, expect, test} from 'vitest';
import {
  arrivalsOf,
  measureAlone,
  runVariant,
  variantNamed,
} from '../bench/policy.js';
import {DEPLOYMENTS} from '../bench/policy_mix.js';
import {figuresOf} from '../bench/policy_stats.js';

// Shorter runs see too few long prompts for any policy to differ.
const SETTINGS = {seed: 1, durationMs: 60_000};
/** Near the measured 80% of capacity. */
const REQUESTS_PER_SEC = 9.5;
const BASELINES = [
  'round robin, fcfs',
  'least requests, fcfs',
  'random pairs, fcfs',
];

const [deployment] = DEPLOYMENTS;
const arrivals = arrivalsOf(deployment, SETTINGS, REQUESTS_PER_SEC);

async function measure(policy: string, aloneP95Ms: number) {
  const result = await runVariant(
    deployment,
    variantNamed(policy),
    arrivals,
    SETTINGS,
  );
  return figuresOf(result, SETTINGS.durationMs, aloneP95Ms);
}

describe('the policy bench', () => {
  test('shows ours to slow short prompts no more than any baseline', async () => {
    const aloneP95Ms = await measureAlone(deployment, arrivals, SETTINGS);
    const ours = await measure('ours', aloneP95Ms);
    expect(ours.violations).toBe(0);
    expect(ours.late).toBe(0);
    for (const name of BASELINES) {
      const baseline = await measure(name, aloneP95Ms);
      expect(ours.shortSlowdown, name).toBeLessThan(baseline.shortSlowdown);
    }
  }, 240_000);

  test('gives the same figures for the same seed', async () => {
    expect(await measure('ours', 1)).toEqual(await measure('ours', 1));
  }, 240_000);
});
