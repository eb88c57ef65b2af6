/**
 * Floods the built program with bytes without end on each wire, and checks that
 * no process ends, that calm requests are served meanwhile and afterwards, and
 * that memory stays within its limit.
 *
 * `npm run floods-soak -- --seed N [--seeds K] [--processes M] [--minutes T]
 * [--only PART] [--program DIR]`; DIR holds a build of another state of the code.
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {playParts} from '../starts_and_ends/play_parts.js';
import {FLOOD_PARTS, runFloods} from './floods_run.js';

await playParts({
  name: 'floods-soak',
  parts: FLOOD_PARTS,
  minutes: '0.2',
  run: runFloods,
});
