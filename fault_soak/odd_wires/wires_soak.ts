/**
 * Sends odd bytes over each wire of the built program, and checks that no process
 * ends by itself and that all others are served.
 *
 * `npm run wires-soak -- --seed N [--seeds K] [--processes M] [--minutes T]
 * [--only WIRE] [--program DIR]`; DIR holds a build of another state of the code.
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {playParts} from '../starts_and_ends/play_parts.js';
import {WIRES, runWires} from './wires_run.js';

await playParts({
  name: 'wires-soak',
  parts: WIRES,
  minutes: '0.3',
  run: runWires,
});
