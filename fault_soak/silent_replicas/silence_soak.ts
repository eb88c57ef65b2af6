/**
 * Lets sound replicas fall silent and go on beside changes of the configuration
 * and stops of entries, and checks that every request ends with a complete
 * answer.
 *
 * `npm run silence-soak -- --seed N [--seeds K] [--processes M] [--engines E]
 * [--silence-ms S] [--group NAME] [--other KIND] [--changes KINDS]
 * [--no-changes] [--stops] [--no-silences] [--parts KINDS] [--minutes T]`
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept. Exit
 * code 2 for a name that there is not.
 */
import {parseArgs} from 'node:util';
import {maybeNamed, maybeNumber, named, playSeeds} from '../play_seeds.js';
import {OTHER_KINDS} from './other_replica.js';
import {CHANGE_KINDS} from './silence_config.js';
import {runSilences} from './silence_run.js';
import {GROUPS} from './silence_shapes.js';
import {PART_KINDS} from './silent_parts.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    engines: {type: 'string'},
    'silence-ms': {type: 'string'},
    group: {type: 'string'},
    other: {type: 'string'},
    changes: {type: 'string'},
    'no-changes': {type: 'boolean', default: false},
    stops: {type: 'boolean', default: false},
    'no-silences': {type: 'boolean', default: false},
    parts: {type: 'string', default: ''},
    minutes: {type: 'string', default: '0.5'},
  },
});

function changesOf() {
  if (values['no-changes']) return [];
  if (values.changes === undefined) return CHANGE_KINDS;
  return values.changes.split(',').map(name => named(CHANGE_KINDS, name));
}

const fixed = {
  processes: Number(values.processes),
  engines: maybeNumber(values.engines),
  silenceMs: maybeNumber(values['silence-ms']),
  group: maybeNamed(GROUPS, values.group),
  other: maybeNamed([...OTHER_KINDS, 'none'] as const, values.other),
  changes: changesOf(),
  stops: values.stops,
  silences: !values['no-silences'],
  parts: values.parts
    .split(',')
    .filter(name => name !== '')
    .map(name => named(PART_KINDS, name)),
  durationMs: Number(values.minutes) * 60_000,
};

await playSeeds({
  name: 'silence-soak',
  values,
  play: async (seed, dir) => {
    const {violations, ...figures} = await runSilences({...fixed, seed, dir});
    return {figures, broken: violations.map(it => `BROKEN ${it}`)};
  },
});
