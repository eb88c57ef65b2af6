/**
 * Entries that serve as in a process, before modelled engines, on a virtual
 * clock. Between them stand modelled ways: each message takes its time, and
 * entries hear of each other as they do by datagrams.
 */
import type {Fullness} from '../../src/direct/decide/place_or_wait.js';
import type {OpenDispatch} from '../../src/direct/dispatch.js';
import {createServing} from '../../src/direct/serving.js';
import type {Serving} from '../../src/direct/serving.js';
import {
  HEARTBEAT_MS,
  createLoadBroadcast,
} from '../../src/direct/load_broadcast.js';
import type {LoadBroadcastLimits} from '../../src/direct/load_broadcast.js';
import {encodeDatagram} from '../../src/direct/datagrams.js';
import {senderHashOf} from '../../src/direct/peers/compact_load.js';
import {createLoadDeltas} from '../../src/direct/peers/load_deltas.js';
import type {CompactReport} from '../../src/direct/peers/load_deltas.js';
import type {
  AnswerFacts,
  DirectReplica,
  DispatchFacts,
  HeaderCodec,
  Reservations,
} from '../../src/direct/types.js';
import {
  SHARE_REPORT_INTERVAL_MS,
  SHARE_REPORT_PEERS,
  sampleRandomly,
} from '../../src/direct/shares/share_broadcast.js';
import type {ShareSettings} from '../../src/direct/shares/request_shares.js';
import type {Cancel, Clock, Log, Metrics} from '../../src/types/runtime.js';
import {createPoolEngine} from '../../standins/pool_engine.js';
import type {
  PoolEngine,
  PoolEngineFigures,
} from '../../standins/pool_engine.js';
import {createSeededRandom} from '../../standins/seeded_random.js';

export const SERVICE = 'pool';
/** Lease on a member's memory. */
const HOLD_MS = 3_500;
/** No replica of the model shuts down, so this decides nothing. */
const LEAVING_MS = 2_000;
/** As an entry has it without bounds in its settings. */
const UNUSED_MS = 2_000;
/** Records of replicas are gone so long after their death. */
const RECORD_MS = 3_600;
/** A replica that starts is found in the store after so long. */
const RECORD_AGAIN_MS = 500;
/** How long the load of a peer counts, as for another failure domain. */
const KEEP_MS = 3_500;
/** Peers of other failure domains count as alive for so long. */
const SILENCE_MS = 3_500;
const RETRIES = {ratio: 0.2, slack: 106, windowS: 10};

export interface ModelFleetOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly entries: number;
  readonly engines: number;
  readonly failureDomains: number;
  readonly figures: PoolEngineFigures;
  /** One way, between failure domains and within one. */
  readonly wayMs: number;
  /** Share of the datagrams between entries that are lost. */
  readonly lossShare: number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** @default as the entries have it */
  readonly fullness?: Fullness;
  /** @default the limits that entries use */
  readonly talk?: LoadBroadcastLimits;
  /** @default none */
  readonly organisationShares?: ShareSettings;
}

export interface ModelEntry {
  readonly serving: Serving;
  isUp(): boolean;
  /** Fault: the process is gone, and its callers' connections break. */
  kill(forMs: number): void;
  /** Fault: no datagram reaches other entries or comes from them. */
  cutOff(forMs: number): void;
  isCutOff(): boolean;
}

export interface ModelFleet {
  readonly entries: readonly ModelEntry[];
  readonly engines: readonly PoolEngine[];
  /** Fault: engines fall silent, and start again after a while. */
  darken(at: number, forMs: number): void;
  /** Loads that all entries sent to other failure domains. */
  talk(): {readonly datagrams: number; readonly bytes: number};
}

export function createModelFleet(options: ModelFleetOptions): ModelFleet {
  const {clock, figures} = options;
  const engines = Array.from({length: options.engines}, (_, at) =>
    createPoolEngine(`engine-${at}`, figures, clock),
  );
  const byAddress = new Map(engines.map(it => [addressOf(it.name), it]));
  const starts = engines.map(() => 1);
  const replicaOf = (at: number): DirectReplica => ({
    id: `${engines[at].name}@${starts[at]}`,
    name: engines[at].name,
    startedAt: starts[at],
    service: SERVICE,
    address: addressOf(engines[at].name),
    failureDomain: `domain-${at % options.failureDomains}`,
    places: figures.places,
    leaving: false,
  });

  const entries: ModelEntry[] = [];
  let talkDatagrams = 0;
  let talkBytes = 0;
  const countTalk = (
    from: number,
    to: readonly number[],
    report: CompactReport,
  ): void => {
    const domainOf = (entry: number) => entry % options.failureDomains;
    const far = to.filter(at => domainOf(at) !== domainOf(from)).length;
    if (far === 0) return;
    talkDatagrams += far;
    talkBytes += far * compactBytes(report);
  };
  const tellFrom: TellFrom = (from, to, tell) => {
    for (const at of to) {
      if (links.next() < options.lossShare) continue;
      if (entries[from].isCutOff()) continue;
      clock.after(options.wayMs, () => {
        const entry = entries[at];
        if (entry.isUp() && !entry.isCutOff()) tell(entry.serving);
      });
    }
  };
  const links = createSeededRandom(options.seed ^ 0x5eed);

  for (let at = 0; at < options.entries; at++) {
    entries.push(
      createModelEntry(options, at, byAddress, {tellFrom, countTalk}),
    );
  }
  const tellAll = (tell: (serving: Serving) => void) =>
    entries.forEach(({serving}) => tell(serving));
  tellAll(serving => {
    serving.setEntryCount(options.entries);
    serving.replicas.replaceAll(
      new Map(engines.map((it, at) => [it.name, replicaOf(at)])),
    );
  });

  return {
    entries,
    engines,
    talk: () => ({datagrams: talkDatagrams, bytes: talkBytes}),
    darken: (at, forMs) => {
      const engine = engines[at];
      engine.goDark();
      const removed = clock.after(RECORD_MS, () =>
        tellAll(({replicas}) =>
          replicas.applyChanges(new Map([[engine.name, undefined]])),
        ),
      );
      clock.after(forMs, () => {
        removed();
        engine.restart();
        starts[at]++;
      });
      clock.after(forMs + RECORD_AGAIN_MS, () =>
        tellAll(({replicas}) =>
          replicas.applyChanges(new Map([[engine.name, replicaOf(at)]])),
        ),
      );
    },
  };
}

/** Sends a message between entries, which are numbered. */
/** The network between the modelled entries. */
interface Links {
  readonly tellFrom: TellFrom;
  countTalk(from: number, to: readonly number[], report: CompactReport): void;
}

type TellFrom = (
  from: number,
  to: readonly number[],
  tell: (serving: Serving) => void,
) => void;

/** Bytes of a load without the sender's address, in the compact format. */
function compactBytes({loads, isWhole}: CompactReport): number {
  const [node, incarnation, ip, port] = ['entry', 'i', '10.0.0.1', 1] as const;
  return encodeDatagram({
    kind: 'compact-load',
    from: senderHashOf({node, incarnation, ip, port}),
    grantsPermits: true,
    seq: 1_000,
    isWhole,
    loads,
  }).length;
}

function addressOf(name: string): string {
  return `${name}:1`;
}

function createModelEntry(
  options: ModelFleetOptions,
  at: number,
  engines: ReadonlyMap<string, PoolEngine>,
  {tellFrom, countTalk}: Links,
): ModelEntry {
  const {clock, wayMs} = options;
  let downUntil = 0;
  let cutOffUntil = 0;
  const isUp = () => clock.now() >= downUntil;
  const cuts = new Set<Cancel>();
  const orders: Reservations = {
    reserve: async (address, id, tokens, holdMs) => {
      await pause(clock, 2 * wayMs);
      const engine = engines.get(address);
      if (engine === undefined || engine.isDark()) return 'unreachable';
      return engine.reserve(id, tokens, holdMs) ? 'done' : 'refused';
    },
    release: async (address, id) => {
      await pause(clock, 2 * wayMs);
      const engine = engines.get(address);
      if (engine === undefined || engine.isDark()) return 'unreachable';
      engine.release(id);
      return 'done';
    },
  };
  const serving = createServing({
    clock,
    log: options.log,
    metrics: options.metrics,
    random: createSeededRandom(options.seed * 1_000 + at),
    codec: MODEL_CODEC,
    dispatch: createModelDispatch(options, engines),
    probePort: () => Promise.resolve('silent'),
    node: `entry-${at}`,
    orders,
    readReport: async address => {
      await pause(clock, 2 * wayMs);
      const engine = engines.get(address);
      return engine === undefined || engine.isDark()
        ? undefined
        : {startedAt: undefined, reservations: undefined};
    },
    watchNotices: () => undefined,
    leavingMs: LEAVING_MS,
    failureDomain: `domain-${at % options.failureDomains}`,
    retries: RETRIES,
    idPrefix: `entry-${at}`,
    holdMs: HOLD_MS,
    unusedMs: UNUSED_MS,
    fullness: options.fullness,
    organisationShares: options.organisationShares,
    closesAfter: () => false,
    shareLoads: (_loads, {hasLongPrefill, domains}) =>
      telling.loadChanged(hasLongPrefill, domains),
    limitLinks: {
      shareReports: () => undefined,
      sendAsk: () => undefined,
      sendAnswer: () => undefined,
    },
    shareCrashReports: () => undefined,
    quarantine: {
      onQuarantined: () => undefined,
      onCleared: () => undefined,
      claimTrial: () => Promise.resolve(false),
    },
  });
  const deltas = createLoadDeltas(clock);
  const domainOf = (entry: number) => entry % options.failureDomains;
  const others = Array.from(
    {length: options.entries},
    (_, entry) => entry,
  ).filter(entry => entry !== at);
  const near = others.filter(entry => domainOf(entry) === domainOf(at));
  const far = others.filter(entry => domainOf(entry) !== domainOf(at));
  const telling = createLoadBroadcast<number>({
    clock,
    limits: options.talk,
    sameDomainPeers: () => near,
    otherDomainPeers: () => far,
    domainOf: entry => `domain-${domainOf(entry)}`,
    send: to => {
      if (!isUp() || to.length === 0) return;
      deltas.set(serving.loadTracker.ownLoads());
      const domain = domainOf(to[0]);
      const isOwn = domain === domainOf(at);
      const report = isOwn
        ? deltas.whole()
        : deltas.nextFor(`domain-${domain}`);
      countTalk(at, to, report);
      const {loads, isWhole} = report;
      tellFrom(at, to, ({loadTracker}) =>
        loadTracker.setPeerLoad(`entry-${at}`, loads, {
          isWhole,
          keepMs: KEEP_MS,
        }),
      );
    },
  });
  const reportRandom = createSeededRandom((options.seed ^ 0x5a4e) + at);
  clock.every(SHARE_REPORT_INTERVAL_MS, () => {
    const report = serving.shares?.nextReport();
    if (!isUp() || report === undefined) return;
    const to = sampleRandomly(others, SHARE_REPORT_PEERS, reportRandom);
    tellFrom(at, to, ({shares}) => shares?.merge(report));
  });
  clock.every(HEARTBEAT_MS, telling.heartbeat);
  return {
    serving: {
      ...serving,
      serve: (admitted, req, res, arrivedAt) => {
        if (!isUp()) {
          res.destroy();
          return;
        }
        const cut = () => void res.destroy();
        cuts.add(cut);
        res.once('close', () => void cuts.delete(cut));
        serving.serve(admitted, req, res, arrivedAt);
      },
    },
    isUp,
    isCutOff: () => clock.now() < cutOffUntil,
    cutOff: forMs => {
      cutOffUntil = clock.now() + forMs;
      // Peers that have been silent for a while are no longer counted.
      clock.after(SILENCE_MS, () => serving.setEntryCount(1));
      clock.after(forMs, () => serving.setEntryCount(options.entries));
    },
    kill: forMs => {
      downUntil = clock.now() + forMs;
      for (const cut of [...cuts]) cut();
    },
  };
}

function pause(clock: Clock, ms: number): Promise<void> {
  return new Promise(resolve => void clock.after(ms, resolve));
}

/** The model's wire: what is told a replica travels as one JSON text. */
const MODEL_CODEC: HeaderCodec = {
  readRequest: () => {
    throw new Error('the model reads no headers of callers');
  },
  canName: () => true,
  dispatchHeaders: (raw, facts) => [
    JSON.stringify({...facts, model: JSON.parse(raw[1]) as ModelRequest}),
  ],
  readAnswer: (status, headers): AnswerFacts => ({
    requestLimit: {kind: 'none'},
    notices: undefined,
    requestId: String(headers['id']),
    signed: true,
    notRun: status === 503,
    faultAt: undefined,
    encoded: false,
  }),
};

/** What a modelled engine learns of a request, in one header. */
export interface ModelRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
}

export function modelHeaders(req: ModelRequest): readonly string[] {
  return ['model', JSON.stringify(req)];
}

function createModelDispatch(
  {wayMs, figures, clock}: ModelFleetOptions,
  engines: ReadonlyMap<string, PoolEngine>,
): OpenDispatch {
  const bytesOf = (id: number) => Buffer.from(`id: ${id}\ndata: x\n\n`);
  return (spec, _clock, observer) => {
    let over = false;
    let cancelRun: Cancel = () => {};
    const facts = JSON.parse(spec.headers[0]) as DispatchFacts & {
      readonly model: ModelRequest;
    };
    const later = (fn: () => void) =>
      void clock.after(wayMs, () => over || fn());
    const engine = engines.get(spec.address);
    const head = (status: number) => ({
      status,
      headers: {id: facts.model.id},
      rawHeaders: [],
    });
    let sent = Number(facts.lastEventId ?? 0);
    const left = Math.max(
      1,
      facts.model.answerTokens - sent * figures.stepsPerPass,
    );
    let isFirst = true;
    const tellHead = (status: number) => {
      if (isFirst) observer.onHead(head(status));
      isFirst = false;
    };
    const helpers = facts.helpers.map(({address, reservation}) => ({
      engine: engines.get(address) as PoolEngine,
      reservation,
    }));
    // Dialled and sent: three ways.
    clock.after(3 * wayMs, () => {
      if (over || engine === undefined) return;
      cancelRun = engine.open(
        {promptTokens: facts.model.promptTokens, answerTokens: left, helpers},
        {
          onEvent: () => {
            const id = ++sent;
            later(() => {
              tellHead(200);
              if (!over) observer.onData(bytesOf(id));
            });
          },
          onEnd: () => later(() => observer.onEnd(false)),
          onRefused: () => later(() => tellHead(503)),
          onCut: () => later(() => observer.onBroken(true, 'cut')),
        },
      );
    });
    return {
      cancel: () => {
        over = true;
        clock.after(wayMs, () => cancelRun());
      },
      takeBack: () => false,
      pause: () => undefined,
      resume: () => undefined,
    };
  };
}
