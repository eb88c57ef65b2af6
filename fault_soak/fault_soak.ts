/**
 * Runs real entries as processes under faults from outside and checks the
 * promises that callers and replicas can see.
 *
 * `npm run fault-soak -- --seed N [--seeds K] [--processes M] [--minutes T] [--only FAULT]`
 *
 * Exit code 1 when a promise was broken; the logs of that seed are kept. Exit
 * code 2 for a fault that there is not; those that there are are printed.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
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

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Undefined for all. */
function onlyFault(name: string | undefined): Fault['kind'] | undefined {
  const only = FAULT_KINDS.find(kind => kind === name);
  if (name === undefined || only !== undefined) return only;
  process.stderr.write(
    `no fault "${name}"; there are: ${FAULT_KINDS.join(', ')}\n`,
  );
  process.exit(EXIT_USAGE);
}

async function playSeed(
  seed: number,
  only: Fault['kind'] | undefined,
): Promise<boolean> {
  const dir = mkdtempSync(join(tmpdir(), `fault-soak-${seed}-`));
  const report = await runSoak({
    seed,
    processes: Number(values.processes),
    durationMs: Number(values.minutes) * 60_000,
    only,
    dir,
  });
  const {violations, ...figures} = report;
  print(JSON.stringify({...figures, violations: violations.length}));
  for (const {promise, id, detail} of violations) {
    print(`  BROKEN "${promise}": ${id} ${detail}`);
  }
  if (violations.length === 0) rmSync(dir, {recursive: true});
  else print(`  logs in ${dir}`);
  return violations.length === 0;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
const only = onlyFault(values.only);
const first = Number(values.seed);
let broken = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  if (!(await playSeed(seed, only))) broken += 1;
}
process.exitCode = broken === 0 ? 0 : 1;
