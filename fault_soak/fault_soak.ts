/**
 * Runs real entries as processes under faults from outside and checks the
 * promises that callers and replicas can see.
 *
 * `npm run fault-soak -- --seed N [--seeds K] [--processes M] [--minutes T] [--only FAULT]`
 *
 * Exit code 1 when a promise was broken; the logs of that seed are kept. Exit
 * code 2 for a fault that there is not; those that there are are printed.
 */
import {parseArgs} from 'node:util';
import {playSeeds} from './play_seeds.js';
import {FAULT_KINDS} from './faults.js';
import type {Fault} from './faults.js';
import {runSoak} from './soak_run.js';

const EXIT_USAGE = 2;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    minutes: {type: 'string', default: '0.5'},
    only: {type: 'string'},
  },
});

/** Undefined for all. */
function onlyFault(name: string | undefined): Fault['kind'] | undefined {
  const only = FAULT_KINDS.find(kind => kind === name);
  if (name === undefined || only !== undefined) return only;
  process.stderr.write(
    `no fault "${name}"; there are: ${FAULT_KINDS.join(', ')}\n`,
  );
  process.exit(EXIT_USAGE);
}

const only = onlyFault(values.only);
await playSeeds({
  name: 'fault-soak',
  values,
  play: async (seed, dir) => {
    const {violations, ...figures} = await runSoak({
      seed,
      processes: Number(values.processes),
      durationMs: Number(values.minutes) * 60_000,
      only,
      dir,
    });
    return {
      figures: {...figures, violations: violations.length},
      broken: violations.map(
        ({promise, id, detail}) => `BROKEN "${promise}": ${id} ${detail}`,
      ),
    };
  },
});
