/**
 * Ends and starts the built program in series, under obstacles, signals, odd
 * records, endless answers and bursts, and checks that no process ends by itself,
 * that each start becomes ready, and that the limit of memory holds.
 *
 * `npm run starts-soak -- --seed N [--seeds K] [--processes M] [--minutes T]
 * [--only PART] [--program DIR]`; DIR holds a build of another state of the code.
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {playParts} from './play_parts.js';
import {PARTS, runStarts} from './starts_run.js';

await playParts({
  name: 'starts-soak',
  parts: PARTS,
  minutes: '0.5',
  run: runStarts,
});
