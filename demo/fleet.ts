/**
 * `npm run fleet -- --dir DIR`: a small fleet that runs until SIGINT.
 * `--start NAME` starts one process of it again.
 */
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {DEMO_SHAPE} from './fleet_plan.js';
import {
  endProcess,
  listedPids,
  restartFromDir,
  startFleet,
} from './fleet_runner.js';
import type {FleetFile} from './fleet_runner.js';

const USAGE = `usage: npm run fleet -- --dir DIR [--start NAME] [--relays]
  --dir DIR      folder for fleet.json, settings and logs
  --start NAME   start one ended process of the fleet in DIR again
  --relays       put a relay with faults before each side and upstream
`;

/** Two processes of one name would take each other's port and log. */
function whyNotStart(dir: string, name: string): string | undefined {
  const path = join(dir, 'fleet.json');
  if (!existsSync(path)) return `${path} is not there; start the fleet first`;
  const file = JSON.parse(readFileSync(path, 'utf8')) as FleetFile;
  const found = file.processes.find(one => one.name === name);
  if (found === undefined) {
    const names = file.processes.map(one => one.name).join(', ');
    return `no process "${name}"; there are: ${names}`;
  }
  return isRunning(found.pid)
    ? `${name} runs already, with pid ${found.pid}`
    : undefined;
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

async function main(): Promise<number> {
  const {values} = parseArgs({
    options: {
      dir: {type: 'string'},
      start: {type: 'string'},
      relays: {type: 'boolean', default: false},
    },
  });
  if (values.dir === undefined) {
    process.stderr.write(USAGE);
    return 2;
  }
  const dir = values.dir;
  if (values.start !== undefined) {
    const fault = whyNotStart(dir, values.start);
    if (fault !== undefined) {
      process.stderr.write(`fleet: ${fault}\n`);
      return 2;
    }
    await restartFromDir(dir, values.start);
    process.stdout.write(`${values.start} is up again\n`);
    return 0;
  }
  const shape = {...DEMO_SHAPE, relays: values.relays};
  const fleet = await startFleet(shape, dir);
  process.stdout.write(
    `fleet is up: entries ${fleet.file.entries.join(' ')}\n` +
      `see ${dir}/fleet.json; end with SIGINT\n`,
  );
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
    // Keeps this process alive until then.
    setInterval(() => undefined, 60_000);
  });
  await Promise.all(listedPids(dir).map(endProcess));
  return 0;
}

process.exit(await main());
