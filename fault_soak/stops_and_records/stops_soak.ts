/**
 * Stops real entries in turn and removes replicas while another program writes
 * unreadable records, and checks that what was read is answered and that what was
 * removed is not used.
 *
 * `npm run stops-soak -- --seed N [--seeds K] [--processes M] [--minutes T]`
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {parseArgs} from 'node:util';
import {playSeeds} from '../play_seeds.js';
import {runStops} from './stops_run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    minutes: {type: 'string', default: '0.5'},
  },
});

await playSeeds({
  name: 'stops-soak',
  values,
  play: async (seed, dir) => {
    const {violations, ...figures} = await runStops({
      seed,
      processes: Number(values.processes),
      durationMs: Number(values.minutes) * 60_000,
      dir,
    });
    return {figures, broken: violations.map(it => `BROKEN ${it}`)};
  },
});
