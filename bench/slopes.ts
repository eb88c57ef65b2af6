/**
 * Slopes of what the system costs against what it is given to do, from real
 * daemons over loopback:
 *
 *     npm run bench -- slopes --json FILE [--only NAME,NAME]
 *
 * `--only` measures these sweeps and keeps the others of FILE.
 */
import {existsSync, mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import type {FleetShape} from '../demo/fleet_plan.js';
import {startFleet} from '../demo/fleet_runner.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {sweepChanges, sweepOrganisations} from './slopes_config.js';
import {sweepEntries, sweepHosts, sweepReplicas} from './slopes_members.js';
import type {WithFleet} from './slopes_members.js';
import {thisMachine} from './slopes_record.js';
import type {SlopesFile, Sweep} from './slopes_record.js';
import {
  sweepClaims,
  sweepOpen,
  sweepPrompts,
  sweepRequests,
  sweepTokens,
} from './slopes_requests.js';
import {sweepShortBesideLong} from './slopes_mixed.js';

const SWEEPS: ReadonlyMap<string, (withFleet: WithFleet) => Promise<Sweep>> =
  new Map([
    ['replicas', sweepReplicas],
    ['entries', sweepEntries],
    ['hosts', sweepHosts],
    ['organisations', sweepOrganisations],
    ['changes', sweepChanges],
    ['requests', sweepRequests],
    ['tokens', sweepTokens],
    ['claims', sweepClaims],
    ['open', sweepOpen],
    ['prompts', sweepPrompts],
    ['mixed', sweepShortBesideLong],
  ]);

const START_TRIES = 3;

/** An inspector may take the port that was meant for another process. */
async function startInSomeTries(shape: FleetShape): Promise<Fleet> {
  for (let tries = 1; ; tries++) {
    const dir = mkdtempSync(join(tmpdir(), 'slopes-'));
    try {
      return await startFleet(shape, dir);
    } catch (err) {
      if (tries === START_TRIES) throw err;
      console.log(`the fleet did not start: ${String(err)}`);
    }
  }
}

const withFleet: WithFleet = async (shape, use) => {
  const fleet = await startInSomeTries(shape);
  try {
    return await use(fleet);
  } finally {
    await fleet.stop();
  }
};

function readFile(path: string): SlopesFile | undefined {
  if (!existsSync(path)) return undefined;
  return JSON.parse(readFileSync(path, 'utf8')) as SlopesFile;
}

/** Measures, and writes the file after each sweep. */
export async function benchSlopes(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {json: {type: 'string'}, only: {type: 'string'}},
  });
  const path = values.json ?? 'slopes.json';
  const names = values.only?.split(',') ?? [...SWEEPS.keys()];
  // Memory is read through the inspector, which asks nothing while unused.
  process.env['NODE_OPTIONS'] = '--inspect=127.0.0.1:0';
  const done = new Map(
    (readFile(path)?.sweeps ?? []).map(sweep => [sweep.name, sweep]),
  );
  for (const name of names) {
    const measure = SWEEPS.get(name);
    if (measure === undefined) throw new Error(`no sweep "${name}"`);
    done.set(name, await measure(withFleet));
    const file: SlopesFile = {
      command: 'npm run bench -- slopes --json docs/capacity/slopes.json',
      machine: thisMachine(),
      sweeps: [...done.values()],
    };
    writeFileSync(path, `${JSON.stringify(file, null, 1)}\n`);
  }
}
