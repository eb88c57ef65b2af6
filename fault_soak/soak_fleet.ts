/**
 * A fleet for the soak: entries as real processes; store, replicas and the
 * network before them as stand-ins in this process, so that faults are
 * injected from outside and the judge sees what ran.
 */
import type {ServerResponse} from 'node:http';
import {poisonOf} from './poison_labels.js';
import {freeAddresses} from '../demo/free_addresses.js';
import type {DirectSettings} from '../src/direct/settings.js';
import {startRelay} from '../standins/relay_core.js';
import type {Relay} from '../standins/relay_core.js';
import {announce, configOf} from '../standins/users_platform/deployment.js';
import {
  answerWell,
  askForPause,
  breakOff,
  refuse,
  startReplica,
  streamTo,
} from '../standins/users_platform/replica.js';
import type {
  Arrival,
  Behaviour,
  ReplicaStandIn,
} from '../standins/users_platform/replica.js';
import {startStore} from '../standins/users_platform/store.js';
import type {StoreStandIn} from '../standins/users_platform/store.js';
import type {EntryProcess} from './entry_process.js';
import {createEntryProcess} from './entry_process.js';
import type {ReplicaFault} from './faults.js';
import {STREAM_EVENTS} from './soak_requests.js';

export const TIMING = {
  graceS: 8,
  // Shorter than the longest cut from the store.
  revokeMs: 2_500,
  configMs: 2_000,
  leavingMs: 1_500,
  freeMs: 2_000,
  unusedMs: undefined,
  maxHoldMs: 20_000,
  evacuateMs: 5_000,
} as const;
/** Shares of retries, as the users' sheets have them. */
/** A cold replica takes so little that the callers' requests are above it. */
export const SERVICE_COLD = {coldStartS: 3, coldPerS: 4} as const;
const COLD_MS = SERVICE_COLD.coldStartS * 1_000;
/** A replica writes its record this often. */
const HEARTBEAT_MS = 1_000;
/** Bound on what all entries together send a cold replica. */
export const COLD_REPLICAS = {overFactor: 1.5, slack: 5} as const;
export const RETRIES = {ratio: 0.2, slack: 120, windowS: 10} as const;

/** Failure domains of the replicas, in turn; entries are in the first one. */
export const DOMAINS = ['domain-1', 'domain-2'] as const;

const REPORT_PATH = '/api/report';
const EVENT_PAUSE_MS = 15;
const SLOW_PAUSE_MS = 150;
export const PORTS_PER_ENTRY = 4;
/** A replica that has crashed is back after this time. */
const DOWN_MS = 900;

/** A replica ended under a request with this body. */
export interface Crash {
  readonly body: string;
  readonly at: number;
}

/** A request or an order that reached a replica. */
export interface Reached {
  readonly id: string;
  readonly at: number;
  /** Undefined for a request. */
  readonly operation: string | undefined;
}

/** What a replica named as its limit from a time on. */
export interface NamedLimit {
  /** When its first answer with the limit went out. */
  readonly at: number;
  /** Undefined where it named none any more. */
  readonly perSecond: number | undefined;
}

/** A replica with its link; the store lists the link's address. */
export interface SoakReplica {
  readonly standIn: ReplicaStandIn;
  readonly service: string;
  readonly domain: string;
  readonly link: Relay;
  become(how: ReplicaFault | undefined): void;
  /** Requests that crashed it, and when; steady time. */
  crashes(): readonly Crash[];
  /** Rises each time that it starts. */
  born(): number;
  /** How often it began to run the request. */
  runs(id: string): number;
  /** Names a limit in its answers from now on, or none. */
  limit(perSecond: number | undefined): void;
  /** All that it named, in order of time. */
  named(): readonly NamedLimit[];
  /** Requests and orders that reached it; those of reports name no sender. */
  reached(): readonly Reached[];
  /**
   * Says in all answers from now on that it leaves. The returned function ends
   * it, and it starts again after a while.
   */
  leave(): () => void;
  /** Times in which it said so. */
  departures(): readonly Span[];
  /** Turns requests away and asks for a pause, until the function is called. */
  turnAway(pauseS: number): () => void;
  /** All that it asked for. */
  pauses(): readonly AskedPause[];
  /** When the start ended that ran at this time; Infinity for the last one. */
  endOfStartAt(at: number): number;
  /** Ends the replica; its next start is cold and states that. */
  startCold(): void;
  /** Time left of its coldness; undefined where it was never cold. */
  coldLeftMs(): number | undefined;
  /** Periods in which it was cold. */
  coldSpans(): readonly Span[];
  /** Notes that its link is harmed, until the function is called. */
  beginLinkHarm(): () => void;
  isLinkHarmed(from: number, to: number): boolean;
}

/** Steady times, in milliseconds. */
export interface Span {
  readonly from: number;
  /** Infinity while it lasts. */
  to: number;
}

/** A pause that the replica asked for when it turned a request away. */
export interface AskedPause {
  /** Of the request. */
  readonly id: string;
  readonly at: number;
  readonly durationMs: number;
}

/** Entries and replicas, without what they reach the store by. */
export interface EntriesAndReplicas {
  readonly entries: readonly EntryProcess[];
  readonly replicas: readonly SoakReplica[];
  /** Lists a replica in this state. */
  list(replica: SoakReplica, state: string): void;
  close(): Promise<void>;
}

export interface SoakFleet extends EntriesAndReplicas {
  readonly store: StoreStandIn;
  /** Link of each entry to the store. */
  readonly storeLinks: readonly Relay[];
}

const FAULTY: {readonly [F in ReplicaFault]: Behaviour} = {
  refuses: refuse,
  hangs: () => undefined,
  'breaks-off': breakOff,
  slow: (arrival, res, req) =>
    arrival.path.startsWith('/stream/')
      ? streamTo(STREAM_EVENTS, SLOW_PAUSE_MS)(arrival, res, req)
      : void setTimeout(() => answerWell(arrival, res, req), SLOW_PAUSE_MS),
};

const behaveWell: Behaviour = (arrival, res, req) =>
  arrival.path.startsWith('/stream/')
    ? streamTo(STREAM_EVENTS, EVENT_PAUSE_MS)(arrival, res, req)
    : answerWell(arrival, res, req);

async function createReplica(
  service: string,
  at: number,
  onStart: (replica: SoakReplica) => void,
): Promise<SoakReplica> {
  const standIn = await startReplica(`${service}-${at}`);
  const link = await startRelay('127.0.0.1:0', standIn.address);
  const ran = new Map<string, number>();
  let fault: ReplicaFault | undefined;
  const crashes: Crash[] = [];
  let born = 1;
  let isDown = false;
  const startEnds: number[] = [];
  const departures: Span[] = [];
  const pauses: AskedPause[] = [];
  const linkHarm: Span[] = [];
  /** Pauses that it asks for now; the newest one counts. */
  const turning: number[] = [];
  const beginSpan = (spans: Span[]): (() => void) => {
    const span: Span = {from: performance.now(), to: Infinity};
    spans.push(span);
    return () => {
      span.to = Math.min(span.to, performance.now());
    };
  };
  let endDeparture = () => {};
  const coldSpans: Span[] = [];
  let startsCold = false;
  const coldLeftMs = () => {
    const span = coldSpans.at(-1);
    return span && Math.max(0, Math.round(span.to - performance.now()));
  };
  const beginCold = () => {
    const from = performance.now();
    coldSpans.push({from, to: from + COLD_MS});
    const bornThen = born;
    for (let ms = HEARTBEAT_MS; ms <= COLD_MS; ms += HEARTBEAT_MS) {
      const write = () => born === bornThen && !isDown && onStart(replica);
      setTimeout(write, ms).unref();
    }
  };
  const crash = (body: string) => {
    if (isDown) return;
    crashes.push({body, at: performance.now()});
    end();
  };
  const end = () => {
    if (isDown) return;
    isDown = true;
    startEnds.push(performance.now());
    const cold = coldSpans.at(-1);
    if (cold !== undefined) cold.to = Math.min(cold.to, performance.now());
    endDeparture();
    standIn.stateInAll({});
    // The limit is gone until its next start names one.
    setLimit(undefined);
    link.stop();
    setTimeout(() => {
      born += 1;
      isDown = false;
      if (startsCold) beginCold();
      startsCold = false;
      void link.start().then(() => onStart(replica));
    }, DOWN_MS);
  };
  let limit: number | undefined;
  const named: NamedLimit[] = [];
  const reached: Reached[] = [];
  const setLimit = (perSecond: number | undefined) => {
    limit = perSecond;
    if (perSecond === undefined && named.at(-1)?.perSecond !== undefined) {
      named.push({at: performance.now(), perSecond});
    }
  };
  const nameLimit = (res: ServerResponse) => {
    if (limit === undefined) return;
    res.setHeader('Server-Limit', String(limit));
    if (named.at(-1)?.perSecond === limit) return;
    named.push({at: performance.now(), perSecond: limit});
  };
  const noteReached = (id: string, operation?: string) =>
    void reached.push({id, at: performance.now(), operation});
  const note = ({id}: Arrival) => void ran.set(id, (ran.get(id) ?? 0) + 1);
  standIn.answerOrders(order => {
    noteReached(order.id, order.operation);
    return 200;
  });
  standIn.behave((arrival, res, req) => {
    if (arrival.path !== REPORT_PATH) noteReached(arrival.id);
    nameLimit(res);
    const coldMs = coldLeftMs();
    if (coldMs !== undefined) res.setHeader('X-Cold-Ms', String(coldMs));
    const pauseS = turning.at(-1);
    if (pauseS !== undefined && arrival.path !== REPORT_PATH) {
      const {id} = arrival;
      const at = performance.now();
      pauses.push({id, at, durationMs: pauseS * 1_000});
      askForPause(String(pauseS))(arrival, res, req);
      return;
    }
    const poison = poisonOf(arrival);
    if (poison !== undefined) {
      note(arrival);
      setTimeout(() => crash(poison.label), poison.crashMs);
      return;
    }
    if (fault !== 'refuses') note(arrival);
    const behaviour = fault === undefined ? behaveWell : FAULTY[fault];
    behaviour(arrival, res, req);
  });
  const replica: SoakReplica = {
    standIn,
    service,
    domain: DOMAINS[at % DOMAINS.length],
    link,
    crashes: () => crashes,
    born: () => born,
    become: how => {
      fault = how;
    },
    runs: id => ran.get(id) ?? 0,
    limit: setLimit,
    named: () => named,
    reached: () => reached,
    leave: () => {
      // A process that has ended says nothing.
      if (isDown) return () => undefined;
      const bornThen = born;
      endDeparture();
      endDeparture = beginSpan(departures);
      standIn.stateInAll({'Server-Leaving': '1'});
      // It may have crashed and started again since.
      return () => born === bornThen && end();
    },
    departures: () => departures,
    turnAway: pauseS => {
      turning.push(pauseS);
      return () => void turning.splice(turning.indexOf(pauseS), 1);
    },
    pauses: () => pauses,
    endOfStartAt: at => startEnds.find(time => time > at) ?? Infinity,
    startCold: () => {
      startsCold = true;
      end();
    },
    coldLeftMs,
    coldSpans: () => coldSpans,
    beginLinkHarm: () => beginSpan(linkHarm),
    isLinkHarmed: (from, to) =>
      linkHarm.some(span => span.from < to && span.to > from),
  };
  return replica;
}

/** Settings of the entry with this index. */
export function settingsOf(
  at: number,
  store: string,
  addresses: readonly string[],
  timing: DirectSettings['timing'],
): DirectSettings {
  const [callers = '', ready = '', metrics = '', peers = ''] = addresses;
  return {
    role: 'direct-entry',
    node: `entry-${at}`,
    failureDomain: DOMAINS[0],
    ip: '127.0.0.1',
    bootstrap: undefined,
    organisationShares: undefined,
    slowReaders: undefined,
    listen: {callers, ready, metrics},
    peerPorts: [Number(peers.split(':')[1])],
    store: {address: store},
    limits: {memoryMb: 300, maxDescriptors: 1_000},
    timing,
    retries: RETRIES,
    coldReplicas: COLD_REPLICAS,
  };
}

/** Starts all stand-ins, and the entries' processes without waiting. */
export async function startSoakFleet(
  entryCount: number,
  dir: string,
  timing: DirectSettings['timing'] = TIMING,
): Promise<SoakFleet> {
  const store = await startStore();
  const storeLinks: Relay[] = [];
  for (let at = 0; at < entryCount; at++) {
    storeLinks.push(await startRelay('127.0.0.1:0', store.address));
  }
  const addresses = storeLinks.map(({address}) => address);
  const others = await startEntriesAndReplicas(store, addresses, dir, timing);
  return {
    ...others,
    store,
    storeLinks,
    close: async () => {
      await others.close();
      await Promise.all(storeLinks.map(link => link.close()));
      await store.close();
    },
  };
}

/**
 * Lists the replicas in the store, and starts an entry for each address at which
 * one reaches the store, without waiting.
 */
export async function startEntriesAndReplicas(
  store: Pick<StoreStandIn, 'put'>,
  storeAddresses: readonly string[],
  dir: string,
  timing: DirectSettings['timing'],
): Promise<EntriesAndReplicas> {
  const states = new Map<SoakReplica, string>();
  const list = (replica: SoakReplica, state: string) => {
    const {standIn, service, domain, link} = replica;
    states.set(replica, state);
    const at = {...standIn, address: link.address};
    announce(
      store,
      at,
      service,
      state,
      replica.born(),
      domain,
      replica.coldLeftMs(),
    );
  };
  const onStart = (replica: SoakReplica) =>
    list(replica, states.get(replica) ?? 'ready');
  const replicas = await Promise.all([
    ...Array.from({length: 4}, (_, at) => createReplica('pool', at, onStart)),
    ...Array.from({length: 3}, (_, at) => createReplica('desk', at, onStart)),
  ]);
  for (const replica of replicas) list(replica, 'ready');
  store.put('config', 'main', configOf(1, undefined, SERVICE_COLD));

  const ports = await freeAddresses(storeAddresses.length * PORTS_PER_ENTRY);
  const entries = storeAddresses.map((address, at) => {
    const from = at * PORTS_PER_ENTRY;
    const own = ports.slice(from, from + PORTS_PER_ENTRY);
    return createEntryProcess(settingsOf(at, address, own, timing), dir);
  });
  // Else they would live on after a soak that is interrupted.
  const abort = () => entries.forEach(entry => entry.abort());
  process.once('exit', abort);
  await Promise.all(entries.map(entry => entry.start()));
  return {
    entries,
    replicas,
    list,
    close: async () => {
      process.off('exit', abort);
      await Promise.all(entries.map(entry => entry.kill()));
      await Promise.all(replicas.map(({link}) => link.close()));
      await Promise.all(replicas.map(({standIn}) => standIn.close()));
    },
  };
}
