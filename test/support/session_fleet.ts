/**
 * A small fleet for golden files. Stand-in programs run as processes of their
 * own. Entries and sides are wired as in the daemon, with real HTTP and gRPC,
 * but run in the test's process so that the test can read their log events.
 */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {demoDeclarations} from '../../demo/fleet_declarations.js';
import {DEMO_SHAPE} from '../../demo/fleet_plan.js';
import {toKeyed} from '../../src/config/keyed_form.js';
import {parseSettings} from '../../src/config/settings.js';
import type {Runtime} from '../../src/types/runtime.js';
import {
  createProcessClock,
  createProcessRandom,
} from '../../src/utils/clock.js';
import {hashGeneratedKey} from '../../src/utils/keys.js';
import {createMetrics} from '../../src/utils/metrics.js';
import {startProcess} from '../../src/wiring.js';
import type {RunningProcess} from '../../src/wiring.js';
import {startProgram} from './programs.js';
import type {Program} from './programs.js';

const TOKEN = 'operators-token';
const SALT = '00112233445566778899aabbccddeeff';
/** Interval between polls of `waitUntil`, in milliseconds. */
const POLL_MS = 25;
/** Maximum number of polls of `waitUntil`; beyond it, it throws. */
const MAX_POLLS = 800;
/** API keys of the callers, by organisation. */
export const KEYS = {
  'prairie-sky': 'onyx_prairie',
  'ingufu-hamwe': 'onyx_ingufu',
} as const;

/** One log event of a process. */
export interface LoggedEvent {
  readonly node: string;
  readonly line: string;
  readonly text: string;
}

export interface SessionFleet {
  /** Base URL of an entry for callers. */
  url(entry: string): string;
  /** Base URL of an entry for operators. */
  operators(entry: string): string;
  readonly operatorToken: string;
  /** Log events that name the request, grouped by process. */
  eventsOf(requestId: string): readonly string[];
  close(): Promise<void>;
}

/** Returns a local address with a port that was free when asked. */
async function findFreeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  await new Promise(done => server.close(done));
  return `127.0.0.1:${port}`;
}

async function waitUntil(what: string, check: () => Promise<boolean>) {
  for (let tries = 0; tries < MAX_POLLS; tries++) {
    if (await check().catch(() => false)) return;
    await sleep(POLL_MS);
  }
  throw new Error(`timed out waiting until ${what}`);
}

async function send(url: string, method: string, body: object) {
  const res = await fetch(url, {
    method,
    headers: {authorization: `Bearer ${TOKEN}`},
    body: JSON.stringify(body),
  });
  if (!res.ok) throw new Error(`${url}: ${res.status} ${await res.text()}`);
}

/** Starts three entries, one engine and one plain service. */
export async function startSessionFleet(): Promise<SessionFleet> {
  const [objectApi, hostList, weightStore, engine, service] =
    (await Promise.all([
      startProgram('standins/object_api.ts'),
      startProgram('standins/host_list.ts'),
      startProgram('standins/weight_store.ts'),
      startProgram('standins/engine.ts', [
        '--models',
        `${DEMO_SHAPE.model}@${DEMO_SHAPE.modelVersion}`,
        '--memory-tokens',
        '420000',
      ]),
      startProgram('standins/plain_service.ts'),
    ])) as [Program, Program, Program, Program, Program];
  const events: LoggedEvent[] = [];
  const wired: RunningProcess[] = [];
  const listenAddresses = new Map<string, Readonly<Record<string, string>>>();
  const platform = {
    objectApi: objectApi.url,
    hostList: hostList.url,
    weightStore: weightStore.url,
  };

  const runtimeOf = (node: string): Runtime => ({
    clock: createProcessClock(),
    random: createProcessRandom(),
    metrics: createMetrics(),
    log: ({number, level, name}, fields) => {
      const text = JSON.stringify(fields);
      events.push({node, line: `${number} ${level} ${name}`, text});
    },
    invariant: (holds, name, fields) => {
      if (!holds) throw new Error(`${name} ${JSON.stringify(fields)}`);
    },
  });

  const start = async (
    node: string,
    pool: string,
    names: readonly string[],
    more: object,
  ) => {
    const listen = Object.fromEntries(
      await Promise.all(
        names.map(async name => [name, await findFreeAddress()] as const),
      ),
    );
    listenAddresses.set(node, listen);
    const host = `host-${node}`;
    const failureDomain = 'hall-north';
    const settings = parseSettings(
      JSON.stringify({
        node,
        host,
        failureDomain,
        listen,
        platform,
        operatorTokenHash: hashGeneratedKey(TOKEN, SALT),
        ...more,
      }),
      node,
    ).unsafeCoerce();
    const noFiles = () => Buffer.alloc(0);
    const drain = () => void running.drain();
    const running: RunningProcess = await startProcess(
      settings,
      runtimeOf(node),
      noFiles,
      drain,
    );
    wired.push(running);
    await send(`${hostList.url}/v1/hosts/${host}`, 'PUT', {
      host,
      address: listen['peers'],
      failureDomain,
      pool,
      state: 'live',
    });
  };

  const startSide = (node: string, kind: string, pool: string, url: string) =>
    start(node, pool, ['operators', 'peers'], {
      role: 'side',
      upstream: {kind, pool, url},
    });
  await startSide('side-engine', 'engine', DEMO_SHAPE.enginePool, engine.url);
  await startSide(
    'side-service',
    'service',
    DEMO_SHAPE.servicePool,
    service.url,
  );
  const entries = ['entry-1', 'entry-2', 'entry-3'];
  for (const entry of entries) {
    await start(entry, 'entry', ['callers', 'operators', 'peers'], {
      role: 'entry',
    });
  }

  const addressOf = (node: string, name: string) =>
    `http://${listenAddresses.get(node)?.[name]}`;
  const operators = (entry: string) => addressOf(entry, 'operators');
  await applyDeclarations(operators('entry-1'));
  await Promise.all(entries.map(entry => waitUntilServing(operators(entry))));

  return {
    url: entry => addressOf(entry, 'callers'),
    operators,
    operatorToken: TOKEN,
    eventsOf: requestId => {
      const requestEvents = events.filter(({text}) => text.includes(requestId));
      const nodes = [...new Set(requestEvents.map(({node}) => node))].sort();
      return nodes.flatMap(node =>
        requestEvents
          .filter(event => event.node === node)
          .map(({line}) => `${node} ${line}`),
      );
    },
    close: async () => {
      await Promise.all(wired.map(one => one.stop()));
      const programs = [objectApi, hostList, weightStore, engine, service];
      await Promise.all(programs.map(program => program.end()));
    },
  };
}

async function applyDeclarations(operators: string): Promise<void> {
  const organisations = Object.entries(KEYS).map(([id, key]) => ({
    id,
    keyHash: hashGeneratedKey(key, SALT),
    weight: 1,
  }));
  const shape = {...DEMO_SHAPE, engines: 1, services: 1};
  const keyed = toKeyed(demoDeclarations(shape, organisations));
  const removedClasses = {urgent: null, normal: null};
  const priorityClasses = {...removedClasses, ...keyed.priorityClasses};
  await send(`${operators}/operator/v1/config/patches`, 'POST', {
    patchId: 'first',
    base: 0,
    form: 'merge-patch',
    patch: JSON.stringify({...keyed, priorityClasses}),
  });
}

/**
 * Waits until the entry is ready, follows both replicas and the engine's model
 * is ready.
 */
function waitUntilServing(operators: string): Promise<void> {
  const headers = {authorization: `Bearer ${TOKEN}`};
  return waitUntil(`${operators} serves`, async () => {
    const ready = await fetch(`${operators}/readyz`);
    if (!ready.ok) return false;
    const res = await fetch(`${operators}/operator/v1/hosts`, {headers});
    const {replicas} = (await res.json()) as {
      readonly replicas: ReadonlyArray<{
        readonly pool: string;
        readonly load: {readonly capacityTokens: number};
        readonly models: ReadonlyArray<{readonly ready: boolean}>;
      }>;
    };
    const engine = replicas.find(({pool}) => pool === DEMO_SHAPE.enginePool);
    const modelReady = engine?.models.some(model => model.ready) ?? false;
    return replicas.length === 2 && modelReady;
  });
}
