/**
 * Lets sound replicas fall silent and go on beside changes of the configuration,
 * and checks that every request ends with a complete answer.
 *
 * `npm run silence-soak -- --seed N [--seeds K] [--processes M] [--engines E]
 * [--silence-ms S] [--all] [--no-changes] [--minutes T]`
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {runSilences} from './silence_run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    engines: {type: 'string', default: '1'},
    'silence-ms': {type: 'string', default: '1200'},
    all: {type: 'boolean', default: false},
    'no-changes': {type: 'boolean', default: false},
    minutes: {type: 'string', default: '0.5'},
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function playSeed(seed: number): Promise<boolean> {
  const dir = mkdtempSync(join(tmpdir(), `silence-soak-${seed}-`));
  const {violations, ...figures} = await runSilences({
    seed,
    processes: Number(values.processes),
    engines: Number(values.engines),
    silenceMs: Number(values['silence-ms']),
    all: values.all,
    changes: !values['no-changes'],
    durationMs: Number(values.minutes) * 60_000,
    dir,
  });
  print(JSON.stringify(figures));
  for (const violation of violations) print(`  BROKEN ${violation}`);
  if (violations.length === 0) rmSync(dir, {recursive: true});
  else print(`  logs in ${dir}`);
  return violations.length === 0;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
const first = Number(values.seed);
let broken = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  if (!(await playSeed(seed))) broken += 1;
}
process.exitCode = broken === 0 ? 0 : 1;
