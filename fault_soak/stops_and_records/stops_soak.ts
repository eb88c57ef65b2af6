/**
 * Stops real entries in turn and removes replicas while another program writes
 * unreadable records, and checks that what was read is answered and that what was
 * removed is not used.
 *
 * `npm run stops-soak -- --seed N [--seeds K] [--processes M] [--minutes T]`
 *
 * Exit code 1 when a promise is broken; the logs of that seed are kept.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {runStops} from './stops_run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    seeds: {type: 'string', default: '1'},
    processes: {type: 'string', default: '3'},
    minutes: {type: 'string', default: '0.5'},
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function playSeed(seed: number): Promise<boolean> {
  const dir = mkdtempSync(join(tmpdir(), `stops-soak-${seed}-`));
  const {violations, ...figures} = await runStops({
    seed,
    processes: Number(values.processes),
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
