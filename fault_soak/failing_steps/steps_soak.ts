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
import {playParts} from '../starts_and_ends/play_parts.js';
import {PARTS, runSteps} from './steps_run.js';

await playParts({
  name: 'steps-soak',
  parts: PARTS,
  minutes: '0.5',
  run: runSteps,
});
