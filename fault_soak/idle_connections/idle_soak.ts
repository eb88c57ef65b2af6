/**
 * Changes limits of the configuration while connections of callers idle and
 * requests are under way, beside stops, pauses and silences, and checks that
 * each whole request within the limits has an answer.
 *
 * `npm run idle-soak -- --seed N [--seeds K] [--processes M] [--minutes T]
 * [--kind KIND] [--beside NAME] [--delay-ms D] [--idle-limits MS,MS]
 * [--ignore-keep-alive]`
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept. Exit
 * code 2 for a name that there is not.
 */
import {parseArgs} from 'node:util';
import {maybeNamed, maybeNumber, playSeeds} from '../play_seeds.js';
import {DISTURBANCES} from './disturbances.js';
import {runIdle} from './idle_run.js';
import {CHANGE_KINDS} from './limit_changes.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    minutes: {type: 'string', default: '0.5'},
    kind: {type: 'string'},
    beside: {type: 'string'},
    'delay-ms': {type: 'string'},
    'idle-limits': {type: 'string'},
    'ignore-keep-alive': {type: 'boolean', default: false},
  },
});

const fixed = {
  processes: Number(values.processes),
  durationMs: Number(values.minutes) * 60_000,
  kind: maybeNamed(CHANGE_KINDS, values.kind),
  beside: maybeNamed([...DISTURBANCES, 'none'] as const, values.beside),
  delayMs: maybeNumber(values['delay-ms']),
  ladder: values['idle-limits']?.split(',').map(Number),
  ignoresStated: values['ignore-keep-alive'],
};

await playSeeds({
  name: 'idle-soak',
  values,
  play: async (seed, dir) => {
    const {violations, ...figures} = await runIdle({...fixed, seed, dir});
    return {figures, broken: violations.map(it => `BROKEN ${it}`)};
  },
});
