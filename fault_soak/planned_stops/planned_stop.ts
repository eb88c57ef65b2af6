/**
 * Stops a real entry in calm while callers send work of 0.1 to 12 s on kept
 * connections, on routes of each kind, until its process has gone. The result is
 * what became of each request, at its caller and at the replicas.
 */
import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeAddresses} from '../../demo/free_addresses.js';
import type {DirectSettings} from '../../src/direct/settings.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {
  HOST,
  KEY,
  announce,
  configOf,
} from '../../standins/users_platform/deployment.js';
import {entrySettings} from '../../standins/users_platform/entry_program.js';
import {
  answerWell,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {startStore} from '../../standins/users_platform/store.js';
import {createEntryProcess} from '../entry_process.js';
import type {EntryProcess} from '../entry_process.js';

export const GRACE_S = 8;
const START_LIMIT_MS = 20_000;
/** Traffic from which the entry learns how long requests last. */
const CALM_MS = 4_000;
const SIGNAL_SPREAD_MS = 2_000;
const REPLICAS = 4;
const TIME_LIMIT_MS = 15_000;
const DEADLINE_MS = 14_000;
/** Callers of a route; each sends its next request when it has its answer. */
const CALLERS_PER_ROUTE = 6;
const SHORT_SHARE = 0.7;
const SHORT_MS = {least: 100, most: 600};
const LONG_MS = {least: 600, most: 12_000};
const EVENT_MS = 100;
const LONGEST_PAUSE_MS = 300;
/** The first draws of small seeds are alike. */
const WARM_UP_DRAWS = 8;

/** Work of the route `brief` is always short. */
const ROUTES = [
  {name: 'once', kind: 'unsafe', service: 'desk'},
  {name: 'brief', kind: 'unsafe', service: 'desk'},
  {name: 'again', kind: 'safe', service: 'desk'},
  {name: 'stream', kind: 'streaming', service: 'pool', resumable: true},
  {name: 'single', kind: 'streaming', service: 'pool', resumable: false},
] as const;

type RouteName = (typeof ROUTES)[number]['name'];

/** Routes whose requests may run once only. */
export const ONCE_ROUTES: readonly RouteName[] = ['once', 'brief', 'single'];

export interface StopOutcome {
  readonly id: string;
  readonly route: RouteName;
  /** From the signal to the sending, in milliseconds. */
  readonly sentAfterMs: number;
  /** From the signal to the end of the answer or of the connection. */
  readonly endedAfterMs: number;
  /** Undefined where no answer began. */
  readonly status: number | undefined;
  readonly isWhole: boolean;
  /** Times that the request reached a replica. */
  readonly runs: number;
}

export interface PlannedStopReport {
  readonly outcomes: readonly StopOutcome[];
  readonly exitCode: number;
  readonly tookMs: number;
  readonly faults: readonly string[];
}

export async function runPlannedStop(
  seed: number,
  dir: string,
): Promise<PlannedStopReport> {
  const random = createSeededRandom(seed);
  for (let draw = 0; draw < WARM_UP_DRAWS; draw++) random.next();
  const store = await startStore();
  const replicas = await startReplicas(store);
  store.put('config', 'main', patientConfig());
  const addresses = await freeAddresses(4);
  const program = {node: 'entry-1', store: store.address, addresses};
  const entry = createEntryProcess(
    entrySettings(program) as unknown as DirectSettings,
    dir,
  );
  try {
    await entry.start();
    await untilReady(entry);
    const runsOf = (id: string) =>
      replicas.flatMap(({arrivals}) => arrivals).filter(it => it.id === id)
        .length;
    const ended: EndedRequest[] = [];
    let isOver = false;
    const callers = ROUTES.flatMap(({name}) =>
      Array.from({length: CALLERS_PER_ROUTE}, (_, at) =>
        callInTurn({
          address: entry.callers,
          caller: `${name}-${at}`,
          route: name,
          draw: () => random.next(),
          isOver: () => isOver,
          onEnded: request => ended.push(request),
        }),
      ),
    );
    await sleep(CALM_MS + random.next() * SIGNAL_SPREAD_MS);
    const signalAt = performance.now();
    const {code, tookMs} = await entry.end();
    isOver = true;
    await Promise.all(callers);
    const outcomes = ended.map(({sentAt, endedAt, ...rest}) => ({
      ...rest,
      sentAfterMs: sentAt - signalAt,
      endedAfterMs: endedAt - signalAt,
      runs: runsOf(rest.id),
    }));
    return {outcomes, exitCode: code, tookMs, faults: entry.faults()};
  } finally {
    entry.abort();
    await Promise.all([store, ...replicas].map(part => part.close()));
  }
}

async function startReplicas(store: Awaited<ReturnType<typeof startStore>>) {
  const start = (service: string) =>
    Array.from({length: REPLICAS}, async (_, at) => {
      const replica = await startReplica(`${service}-${at}`);
      replica.behave(service === 'pool' ? streamForWork : answerAfterWork);
      announce(store, replica, service);
      return replica;
    });
  return Promise.all([...start('pool'), ...start('desk')]);
}

function patientConfig() {
  const {routes, ...config} = configOf(1);
  return {
    ...config,
    routes: ROUTES.map(route => ({
      ...routes[0],
      ...route,
      pathPrefix: `/${route.name}/`,
      timeoutMs: TIME_LIMIT_MS,
    })),
  };
}

const workMsOf = (header: unknown) => Number(header ?? SHORT_MS.least);

const answerAfterWork: Behaviour = (arrival, res, req) => {
  const workMs = workMsOf(arrival.headers['x-work-ms']);
  setTimeout(() => answerWell(arrival, res, req), workMs);
};

const streamForWork: Behaviour = (arrival, res, req) => {
  const workMs = workMsOf(arrival.headers['x-work-ms']);
  streamTo(eventsOf(workMs), EVENT_MS)(arrival, res, req);
};

function eventsOf(workMs: number): number {
  return Math.ceil(workMs / EVENT_MS);
}

async function untilReady(entry: EntryProcess): Promise<void> {
  const endsAt = performance.now() + START_LIMIT_MS;
  while (!(await entry.isReady())) {
    if (performance.now() > endsAt) throw new Error('the entry is not ready');
    await sleep(50);
  }
}

interface Caller {
  readonly address: string;
  readonly caller: string;
  readonly route: RouteName;
  draw(): number;
  isOver(): boolean;
  onEnded(request: EndedRequest): void;
}

interface EndedRequest extends Omit<
  StopOutcome,
  'sentAfterMs' | 'endedAfterMs' | 'runs'
> {
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Sends requests one after another on a kept connection. */
async function callInTurn(caller: Caller): Promise<void> {
  const {route, draw} = caller;
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !caller.isOver(); count++) {
    await sleep(draw() * LONGEST_PAUSE_MS);
    const isShort = route === 'brief' || draw() < SHORT_SHARE;
    const {least, most} = isShort ? SHORT_MS : LONG_MS;
    const workMs = Math.round(least + draw() * (most - least));
    const id = `${caller.caller}-${count}`;
    const sentAt = performance.now();
    const answer = await send(caller, agent, id, workMs);
    caller.onEnded({id, route, sentAt, endedAt: performance.now(), ...answer});
  }
  agent.destroy();
}

function send(
  {address, route}: Caller,
  agent: Agent,
  id: string,
  workMs: number,
): Promise<Pick<StopOutcome, 'status' | 'isWhole'>> {
  const [host, port] = address.split(':');
  const headers = {
    Host: HOST,
    Authorization: `Token ${KEY}`,
    'X-Request-Id': id,
    'X-Deadline-Ms': String(DEADLINE_MS),
    'X-Token-Usage': `100,${eventsOf(workMs)}`,
    'X-Work-Ms': String(workMs),
  };
  const path = `/${route}/a`;
  return new Promise(resolve => {
    const req = request(
      {host, port, path, method: 'POST', agent, headers},
      res => {
        res.resume();
        res.on('error', () => undefined);
        res.once('close', () =>
          resolve({status: res.statusCode, isWhole: res.complete}),
        );
      },
    );
    req.once('error', () => resolve({status: undefined, isWhole: false}));
    req.end('a prompt');
  });
}
