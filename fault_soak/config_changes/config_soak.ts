/**
 * Runs real entries as processes while the configuration changes in series, and
 * checks that each answer follows a version that may be in force.
 *
 * `npm run config-soak -- --seed N [--seeds K] [--processes M] [--minutes T] [--trouble NAME]`
 *
 * Exit code 1 when an entry in touch answered by an outdated version; the logs
 * of that seed are kept. Exit code 2 for a trouble that there is not.
 */
import {parseArgs} from 'node:util';
import {playSeeds} from '../play_seeds.js';
import {runConfigChanges} from './config_run.js';
import {TROUBLES} from './troubles.js';
import type {Trouble} from './troubles.js';

const EXIT_USAGE = 2;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '5'},
    minutes: {type: 'string', default: '0.5'},
    trouble: {type: 'string'},
  },
});

/** Undefined for all. */
function troubleOf(name: string | undefined): Trouble | undefined {
  const trouble = TROUBLES.find(it => it === name);
  if (name === undefined || trouble !== undefined) return trouble;
  const known = TROUBLES.join(', ');
  process.stderr.write(`no trouble "${name}"; there are: ${known}\n`);
  process.exit(EXIT_USAGE);
}

const trouble = troubleOf(values.trouble);
await playSeeds({
  name: 'config-soak',
  values,
  play: async (seed, dir) => {
    const {late, faults, ...figures} = await runConfigChanges({
      seed,
      processes: Number(values.processes),
      durationMs: Number(values.minutes) * 60_000,
      trouble,
      dir,
    });
    const lateInTouch = late.filter(({inTouch}) => inTouch);
    return {
      figures,
      broken: [
        ...lateInTouch.map(answer => `LATE ${JSON.stringify(answer)}`),
        ...faults.map(fault => `BROKEN ${fault}`),
      ],
    };
  },
});
