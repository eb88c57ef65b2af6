/**
 * Long randomised runs of a whole fleet in virtual time, under load and faults
 * of every kind, with all invariants judged.
 *
 * `npm run soak -- --seed N --steps M [--seeds K] [--json]`
 *
 * A step is one action, of load or of fault, with the pause after it. Exit
 * code 1 when a seed fails.
 */
import {parseArgs} from 'node:util';
import {runSeed} from './soak_run.js';
import type {SoakFailure, SoakResult} from './soak_run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    steps: {type: 'string', default: '1000'},
    seeds: {type: 'string', default: '1'},
    json: {type: 'boolean', default: false},
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printFailure(failure: SoakFailure): void {
  print(
    `FAILED seed ${failure.seed} step ${failure.step} ` +
      `invariant "${failure.invariant}": ${failure.message}`,
  );
  if (failure.request !== undefined) print(`request ${failure.request}`);
  for (const line of failure.history) print(`  ${line}`);
}

function printResult(result: SoakResult): void {
  if (values.json) {
    print(JSON.stringify(result));
    return;
  }
  const {seed, steps, digest, asked, ended, failed, virtualMs} = result;
  const failures = Object.entries(failed)
    .map(([code, count]) => `${code} ${count}`)
    .join(', ');
  print(
    `seed ${seed}: ${steps} steps, ${Math.round(virtualMs / 1_000)} s, ` +
      `${asked} asked, ${ended} whole (${failures}), digest ${digest}`,
  );
  if (result.failure !== undefined) printFailure(result.failure);
}

const first = Number(values.seed);
let steps = 0;
let failures = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  const result = await runSeed(seed, Number(values.steps));
  printResult(result);
  steps += result.steps;
  if (result.failure !== undefined) failures++;
}
if (!values.json) print(`${steps} steps, ${failures} seeds failed`);
process.exitCode = failures > 0 ? 1 : 0;
