/**
 * Starts the processes of a fleet plan, registers the hosts, applies the
 * declarations, and keeps `fleet.json`, by which anything outside can drive
 * the fleet. Used by the demo, the fleet command and the process tests.
 */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  closeSync,
  mkdirSync,
  openSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {toKeyed} from '../src/config/keyed_form.js';
import type {MembershipView, Replica} from '../src/types/services.js';
import {hashGeneratedKey} from '../src/utils/keys.js';
import {demoDeclarations} from './fleet_declarations.js';
import {planFleet} from './fleet_plan.js';
import type {
  FleetPlan,
  FleetShape,
  OrganisationAccess,
  ProcessPlan,
} from './fleet_plan.js';

/** Longest wait for one process to answer its health check. */
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
/** Longest wait for a process to end by itself after SIGTERM. */
const END_TIMEOUT_MS = 15_000;

/** One process as `fleet.json` lists it. */
export interface FleetProcess {
  readonly name: string;
  readonly role: string;
  readonly pid: number;
  readonly address: string;
}

/** What `fleet.json` holds. */
export interface FleetFile {
  readonly processes: readonly FleetProcess[];
  readonly entries: readonly string[];
  readonly operator: {readonly url: string; readonly token: string};
  readonly organisations: readonly OrganisationAccess[];
  readonly faults: Readonly<Record<string, string>>;
}

export interface Fleet {
  readonly plan: FleetPlan;
  readonly file: FleetFile;
  readonly dir: string;
  /** Pid of a process by its name, as `fleet.json` has it now. */
  pid(name: string): number;
  /** Resolves with the exit code of the newest process of that name. */
  exited(name: string): Promise<number | NodeJS.Signals>;
  /** Starts a process again that has ended; a daemon until it is ready. */
  restart(name: string): Promise<void>;
  /** Switches faults of a stand-in or relay. */
  fault(name: string, faults: unknown): Promise<void>;
  /** Ends all processes. */
  stop(): Promise<void>;
}

/** A process that was started, by its pid. */
interface Launched {
  readonly pid: number;
  readonly exited: Promise<number | NodeJS.Signals>;
}

const ORGANISATIONS = [
  {id: 'prairie-sky', weight: 2},
  {id: 'ingufu-hamwe', weight: 2},
  {id: 'volunteers-west', weight: 1},
] as const;

/** Build folder: this module runs from `<build>/demo`, or as source in tests. */
const BUILD_DIR = import.meta.filename.endsWith('.ts')
  ? join(import.meta.dirname, '..', 'dist')
  : join(import.meta.dirname, '..');

/** Starts a whole fleet and waits until it serves. */
export async function startFleet(
  shape: FleetShape,
  dir: string,
): Promise<Fleet> {
  mkdirSync(dir, {recursive: true});
  const token = randomBytes(24).toString('hex');
  const plan = await planFleet(shape, hashGeneratedKey(token, newSalt()));
  const access = ORGANISATIONS.map(({id}) => ({
    name: id,
    key: randomBytes(24).toString('hex'),
  }));
  const children = new Map<string, Launched>();
  for (const process of plan.processes) {
    writePlan(dir, process);
    children.set(process.name, launch(dir, process));
  }
  const file = writeFleetFile(dir, plan, children, token, access);
  const fleet = createFleet(plan, file, dir, children, token, access);
  try {
    await Promise.all(plan.processes.map(waitHealthy));
    await registerHosts(plan);
    await applyDeclarations(plan, token, access);
    await Promise.all(plan.processes.map(waitReady));
    await Promise.all(
      plan.operatorUrls.map(url => waitRoutable(url, token, plan.shape)),
    );
  } catch (err) {
    await fleet.stop();
    throw err;
  }
  return fleet;
}

/** Starts one process of an earlier fleet again; for the fleet command. */
export async function restartFromDir(dir: string, name: string) {
  const plan = JSON.parse(
    readFileSync(join(dir, `${name}.plan.json`), 'utf8'),
  ) as ProcessPlan;
  const {pid} = launch(dir, plan);
  const path = join(dir, 'fleet.json');
  const file = JSON.parse(readFileSync(path, 'utf8')) as FleetFile;
  const processes = file.processes.map(one =>
    one.name === name ? {...one, pid} : one,
  );
  writeFileSync(path, JSON.stringify({...file, processes}, null, 2));
  await waitHealthy(plan);
}

/** Pids that `fleet.json` lists now. */
export function listedPids(dir: string): readonly number[] {
  const text = readFileSync(join(dir, 'fleet.json'), 'utf8');
  return (JSON.parse(text) as FleetFile).processes.map(({pid}) => pid);
}

function newSalt(): string {
  return randomBytes(16).toString('hex');
}

function createFleet(
  plan: FleetPlan,
  file: FleetFile,
  dir: string,
  children: Map<string, Launched>,
  token: string,
  access: readonly OrganisationAccess[],
): Fleet {
  const planOf = (name: string) => {
    const found = plan.processes.find(one => one.name === name);
    if (found === undefined) throw new Error(`no process "${name}"`);
    return found;
  };
  const launched = (name: string) =>
    children.get(planOf(name).name) as Launched;
  return {
    plan,
    file,
    dir,
    pid: name => launched(name).pid,
    exited: name => launched(name).exited,
    restart: async name => {
      const process = planOf(name);
      children.set(name, launch(dir, process));
      writeFleetFile(dir, plan, children, token, access);
      await waitHealthy(process);
      await waitReady(process);
    },
    fault: async (name, faults) => {
      const url = planOf(name).faultsUrl;
      if (url === undefined) throw new Error(`"${name}" has no faults`);
      await postJson('POST', url, faults, {});
    },
    stop: async () => {
      await Promise.all([...children.values()].map(({pid}) => endProcess(pid)));
    },
  };
}

function writePlan(dir: string, process: ProcessPlan) {
  writeFileSync(
    join(dir, `${process.name}.plan.json`),
    JSON.stringify(process, null, 2),
  );
  if (process.settings === undefined) return;
  writeFileSync(
    join(dir, `${process.name}.settings.json`),
    JSON.stringify(process.settings, null, 2),
  );
}

function launch(dir: string, process: ProcessPlan): Launched {
  const log = openSync(join(dir, `${process.name}.log`), 'a');
  const settings = join(dir, `${process.name}.settings.json`);
  const args =
    process.settings === undefined ? process.args : ['--settings', settings];
  const child: ChildProcess = spawn(
    globalThis.process.execPath,
    [join(BUILD_DIR, `${process.program}.js`), ...args],
    {stdio: ['ignore', log, log], detached: true},
  );
  closeSync(log);
  child.unref();
  if (child.pid === undefined) throw new Error(`cannot start ${process.name}`);
  const exited = new Promise<number | NodeJS.Signals>(resolve => {
    child.once('exit', (code, signal) => resolve(code ?? signal ?? 0));
  });
  return {pid: child.pid, exited};
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

/** SIGTERM, then SIGKILL when it does not end in time. */
export async function endProcess(pid: number): Promise<void> {
  const signal = (name: NodeJS.Signals) => {
    try {
      process.kill(pid, name);
    } catch {
      // Gone already.
    }
  };
  signal('SIGCONT');
  signal('SIGTERM');
  for (let waited = 0; waited < END_TIMEOUT_MS; waited += POLL_MS) {
    if (!isRunning(pid)) return;
    await sleep(POLL_MS);
  }
  signal('SIGKILL');
}

async function waitOk(url: string, what: string): Promise<void> {
  let last = 'no answer';
  for (let waited = 0; waited < START_TIMEOUT_MS; waited += POLL_MS) {
    try {
      const res = await request(url);
      const body = await res.body.text();
      if (res.statusCode < 400) return;
      last = `status ${res.statusCode} ${body}`;
    } catch (err) {
      last = String(err);
    }
    await sleep(POLL_MS);
  }
  throw new Error(`${what} is not up at ${url}: ${last}`);
}

function waitHealthy(process: ProcessPlan): Promise<void> {
  return waitOk(process.healthUrl, process.name);
}

async function waitReady({name, readyUrl}: ProcessPlan): Promise<void> {
  if (readyUrl !== undefined) await waitOk(readyUrl, name);
}

/**
 * Waits until an entry has heard from all sides that it follows, and knows a
 * model of an engine. An entry is ready before: until the next heartbeats its
 * first callers would be told that no upstream serves their model.
 */
async function waitRoutable(
  url: string,
  token: string,
  {engines, enginePool, services, servicePool}: FleetShape,
): Promise<void> {
  const isServed = (replicas: readonly Replica[]) => {
    const isLive = replicas.every(({state}) => state === 'live');
    const inPool = (name: string) => replicas.filter(one => one.pool === name);
    const models = inPool(enginePool).flatMap(replica => replica.models);
    return (
      isLive &&
      (engines === 0 || models.some(({ready}) => ready)) &&
      (services === 0 || inPool(servicePool).length > 0)
    );
  };
  for (let waited = 0; waited < START_TIMEOUT_MS; waited += POLL_MS) {
    const res = await request(`${url}/operator/v1/hosts`, {
      headers: {authorization: `Bearer ${token}`},
    });
    const {replicas} = (await res.body.json()) as Pick<
      MembershipView,
      'replicas'
    >;
    if (isServed(replicas)) return;
    await sleep(POLL_MS);
  }
  throw new Error(`the entry at ${url} has not heard from all its sides`);
}

async function postJson(
  method: 'POST' | 'PUT',
  url: string,
  body: unknown,
  headers: Readonly<Record<string, string>>,
): Promise<void> {
  const res = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) {
    throw new Error(`${method} ${url}: ${res.statusCode} ${text}`);
  }
}

async function registerHosts(plan: FleetPlan): Promise<void> {
  for (const host of plan.hosts) {
    const url = `${plan.hostListUrl}/v1/hosts/${host.host}`;
    await postJson('PUT', url, host, {});
  }
}

async function applyDeclarations(
  plan: FleetPlan,
  token: string,
  access: readonly OrganisationAccess[],
): Promise<void> {
  const organisations = ORGANISATIONS.map(({id, weight}, index) => ({
    id,
    weight,
    keyHash: hashGeneratedKey(access[index]?.key ?? '', newSalt()),
  }));
  const keyed = toKeyed(demoDeclarations(plan.shape, organisations));
  // The classes that an empty system starts with give way to the demo's own.
  const priorityClasses = {
    urgent: null,
    normal: null,
    ...keyed.priorityClasses,
  };
  await postJson(
    'POST',
    `${plan.operatorUrls[0]}/operator/v1/config/patches`,
    {
      patchId: randomBytes(8).toString('hex'),
      base: 0,
      form: 'merge-patch',
      patch: JSON.stringify({...keyed, priorityClasses}),
      dryRun: false,
      operator: 'fleet',
    },
    {authorization: `Bearer ${token}`},
  );
}

function writeFleetFile(
  dir: string,
  plan: FleetPlan,
  children: ReadonlyMap<string, Launched>,
  token: string,
  organisations: readonly OrganisationAccess[],
): FleetFile {
  const faults = Object.fromEntries(
    plan.processes
      .filter(({faultsUrl}) => faultsUrl !== undefined)
      .map(({name, faultsUrl}) => [name, faultsUrl as string]),
  );
  const file: FleetFile = {
    processes: plan.processes.map(({name, role, address}) => ({
      name,
      role,
      address,
      pid: children.get(name)?.pid ?? 0,
    })),
    entries: plan.callerUrls,
    operator: {url: plan.operatorUrls[0] ?? '', token},
    organisations,
    faults,
  };
  writeFileSync(join(dir, 'fleet.json'), JSON.stringify(file, null, 2));
  return file;
}
