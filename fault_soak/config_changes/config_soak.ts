/**
 * Runs real entries as processes while the configuration changes in series, and
 * checks that each answer follows a version that may be in force.
 *
 * `npm run config-soak -- --seed N [--seeds K] [--processes M] [--minutes T] [--trouble NAME]`
 *
 * Exit code 1 when an entry in touch answered by an outdated version; the logs
 * of that seed are kept. Exit code 2 for a trouble that there is not.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
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

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Undefined for all. */
function troubleOf(name: string | undefined): Trouble | undefined {
  const trouble = TROUBLES.find(it => it === name);
  if (name === undefined || trouble !== undefined) return trouble;
  const known = TROUBLES.join(', ');
  process.stderr.write(`no trouble "${name}"; there are: ${known}\n`);
  process.exit(EXIT_USAGE);
}

async function playSeed(
  seed: number,
  trouble: Trouble | undefined,
): Promise<boolean> {
  const dir = mkdtempSync(join(tmpdir(), `config-soak-${seed}-`));
  const {late, faults, ...figures} = await runConfigChanges({
    seed,
    processes: Number(values.processes),
    durationMs: Number(values.minutes) * 60_000,
    trouble,
    dir,
  });
  print(JSON.stringify(figures));
  for (const answer of late.filter(({inTouch}) => inTouch)) {
    print(`  LATE ${JSON.stringify(answer)}`);
  }
  for (const fault of faults) print(`  BROKEN ${fault}`);
  const isSound = figures.lateInTouch === 0 && faults.length === 0;
  if (isSound) rmSync(dir, {recursive: true});
  else print(`  logs in ${dir}`);
  return isSound;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
const trouble = troubleOf(values.trouble);
const first = Number(values.seed);
let broken = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  if (!(await playSeed(seed, trouble))) broken += 1;
}
process.exitCode = broken === 0 ? 0 : 1;
