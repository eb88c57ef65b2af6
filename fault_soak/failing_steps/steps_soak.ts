/**
 * Throws errors into the steps of the built program, and starts it without a
 * configuration; checks that no process ends by itself and that each caller has
 * an answer.
 *
 * `npm run steps-soak -- --seed N [--seeds K] [--processes M] [--minutes T]
 * [--only PART] [--program DIR]`; DIR holds a build of another state of the code.
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {parseArgs} from 'node:util';
import {maybeNamed, playSeeds} from '../play_seeds.js';
import {PARTS, runSteps} from './steps_run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    minutes: {type: 'string', default: '0.5'},
    only: {type: 'string'},
    program: {type: 'string'},
  },
});
const only = maybeNamed(PARTS, values.only);

await playSeeds({
  name: 'steps-soak',
  values,
  play: async (seed, dir) => {
    const {violations, ...figures} = await runSteps({
      seed,
      processes: Number(values.processes),
      durationMs: Number(values.minutes) * 60_000,
      only,
      program: values.program,
      dir,
    });
    return {figures, broken: violations.map(it => `BROKEN ${it}`)};
  },
});
