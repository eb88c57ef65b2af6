/** Detection and return times of the membership; virtual time, as JSON. */
import {MEMBERSHIP_RUNS} from './membership_runs.js';
import {subsetMoves} from './membership_subset.js';

const DEFAULT_SEEDS = 3;

/** `args`: how many seeds, then names or part of names of runs. */
export async function benchMembership(args: readonly string[]): Promise<void> {
  const [seeds = String(DEFAULT_SEEDS)] = args;
  const runs = [];
  for (const run of MEMBERSHIP_RUNS) {
    for (let seed = 1; seed <= Number(seeds); seed++)
      runs.push(await run(seed));
  }
  const subset = [subsetMoves(100, 40), subsetMoves(600, 370)];
  console.log(JSON.stringify({runs, subset}, undefined, 2));
}
