/**
 * Entries and replicas at any size, with requests that crash each replica that
 * runs them, sent again and again under new ids to drawn entries, among others
 * that crash nothing, and storms in which replicas crash by themselves.
 */
import {encodeDatagram} from '../../src/direct/datagrams.js';
import {isSoundReport} from '../../src/direct/crash_reports.js';
import type {CrashReport} from '../../src/direct/crash_reports.js';
import type {Random} from '../../src/types/runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {CrashWay, MakeCrashWay} from './crash_ways.js';

export interface CrashScenario {
  readonly entries: number;
  readonly replicas: number;
  /** Requests that crash each replica that runs them. */
  readonly killers: number;
  /** Share of the replicas that crash by themselves, at each of these times. */
  readonly storms: readonly {readonly atMs: number; readonly share: number}[];
  readonly durationMs: number;
  readonly seed: number;
  readonly way: MakeCrashWay;
}

export interface CrashFigures {
  /** Replicas that ended, by killer. */
  readonly ended: readonly number[];
  /** Sends to a replica later than allowed after the third end, by killer. */
  readonly sentLate: readonly number[];
  /** From the third end until every entry refuses, by killer; infinite if never. */
  readonly allKnowMs: readonly number[];
  readonly innocents: number;
  readonly innocentsRefused: number;
  /** Talk of crashes, sent by one entry. */
  readonly bytesPerEntryPerS: number;
}

const ATTEMPTS = 2;
/** Innocent requests that one replica gets. */
const ARRIVALS_PER_S = 4;
const RUN_MS = 1_500;
/** Some requests are asked again and again. */
const POPULAR = 20;
const POPULAR_SHARE = 0.2;
/** A killer's caller sends it again so long after its last answer. */
const AGAIN_MS = 300;
const CRASH_FIRST_MS = 20;
const CRASH_SPREAD_MS = 300;
const REBORN_MS = 3_000;
/** From a broken connection until the refused one that shows the end. */
const PROBE_MS = 20;
const DATAGRAM_MS = 2;
const LOST_SHARE = 0.01;
const TOLD_AGAIN_MS = [0, 100, 400];
const GOSSIP_MS = 1_000;
const GOSSIP_REPORTS = 4;
/** A write to the store and the watch that tells of it. */
const STORE_MS = 10;
/** Operators allow sends for so long after the third end. */
const STABLE_MS = 3_000;
const THIRD = 3;

interface Replica {
  readonly at: number;
  start: number;
  isUp: boolean;
  readonly runs: Set<Run>;
}

interface Run {
  readonly digest: string;
  isOver: boolean;
  onBroken(replicaId: string): void;
}

interface Killer {
  readonly digest: string;
  ended: number;
  thirdAt: number;
  sentLate: number;
  readonly knownBy: Set<number>;
  allKnowAt: number;
}

const idOf = ({at, start}: Replica) => `replica-${at}@${start}`;

export async function runCrashes(
  scenario: CrashScenario,
): Promise<CrashFigures> {
  const clock = createVirtualClock();
  const random = createSeededRandom(scenario.seed);
  const digestOf = () => hex(random);
  let bytes = 0;
  let innocents = 0;
  let refused = 0;
  const claims = new Set<string>();
  const killers = new Map<string, Killer>();
  const replicas: readonly Replica[] = Array.from(
    {length: scenario.replicas},
    (_, at) => ({at, start: 1, isUp: true, runs: new Set<Run>()}),
  );
  const entries: CrashWay[] = [];

  const toEach = (from: number, act: (to: CrashWay) => void, ms: number) =>
    clock.after(ms, () => entries.forEach((to, at) => at === from || act(to)));
  const tell = (to: number, reports: readonly CrashReport[]) => {
    bytes += encodeDatagram({kind: 'crashes', reports}).length;
    // What an entry cannot take is as good as lost.
    const isTaken = reports.every(isSoundReport);
    if (!isTaken || random.next() < LOST_SHARE) return;
    clock.after(DATAGRAM_MS, () => entries[to].merge(reports));
  };
  const tellAll = (from: number, report: CrashReport) => {
    const times = report.ended.length > 1 ? TOLD_AGAIN_MS : [0];
    for (const ms of times) {
      clock.after(ms, () =>
        entries.forEach((_, to) => to === from || tell(to, [report])),
      );
    }
  };
  const noteKnown = (at: number, digest: string) => {
    const killer = killers.get(digest);
    if (killer === undefined) return;
    killer.knownBy.add(at);
    if (killer.knownBy.size === entries.length) killer.allKnowAt = clock.now();
  };
  for (let at = 0; at < scenario.entries; at++) {
    entries.push(
      scenario.way({
        clock,
        self: `entry-${at}`,
        onNews: report => tellAll(at, report),
        onQuarantined: (report, isOwn) => {
          noteKnown(at, report.digest);
          if (isOwn) toEach(at, to => to.merge([report]), STORE_MS);
        },
        onCleared: (digest, isOwn) => {
          if (isOwn) toEach(at, to => to.release(digest), STORE_MS);
        },
      }),
    );
    if (scenario.entries === 1) continue;
    clock.every(GOSSIP_MS, () => {
      const reports = entries[at].next(GOSSIP_REPORTS);
      const step = 1 + Math.floor(random.next() * (scenario.entries - 1));
      if (reports.length > 0) tell((at + step) % scenario.entries, reports);
    });
  }

  const crash = (replica: Replica): void => {
    if (!replica.isUp) return;
    replica.isUp = false;
    const id = idOf(replica);
    const broken = [...replica.runs];
    replica.runs.clear();
    for (const run of broken) {
      run.isOver = true;
      clock.after(PROBE_MS, () => run.onBroken(id));
    }
    clock.after(REBORN_MS, () => {
      replica.start++;
      replica.isUp = true;
    });
  };
  const drawReplica = (): Replica | undefined => {
    const up = replicas.filter(({isUp}) => isUp);
    return up[Math.floor(random.next() * up.length)];
  };
  const send = (
    digest: string,
    entry: number,
    isTrial: boolean,
    attempts: number,
    onOver: () => void,
  ): void => {
    const replica = drawReplica();
    const isBarred = entries[entry].isQuarantined(digest) && !isTrial;
    if (replica === undefined || isBarred || attempts === 0) return onOver();
    const killer = killers.get(digest);
    const run: Run = {
      digest,
      isOver: false,
      onBroken: id => {
        if (killer !== undefined) noteEnd(killer);
        entries[entry].ended(digest, id);
        send(digest, entry, false, attempts - 1, onOver);
      },
    };
    replica.runs.add(run);
    if (killer === undefined) {
      const runMs = RUN_MS * (0.5 + random.next());
      clock.after(runMs, () => {
        if (run.isOver) return;
        replica.runs.delete(run);
        entries[entry].ranWell(digest);
        onOver();
      });
      return;
    }
    if (clock.now() - killer.thirdAt > STABLE_MS) killer.sentLate++;
    clock.after(CRASH_FIRST_MS + random.next() * CRASH_SPREAD_MS, () => {
      if (!run.isOver) crash(replica);
    });
  };
  const noteEnd = (killer: Killer): void => {
    killer.ended++;
    if (killer.ended === THIRD) killer.thirdAt = clock.now();
  };
  /** Calls `onOver` with whether it was refused. */
  const arrive = (digest: string, onOver: (isRefused: boolean) => void) => {
    const at = Math.floor(random.next() * entries.length);
    const entry = entries[at];
    if (!entry.isQuarantined(digest)) {
      return send(digest, at, false, ATTEMPTS, () => onOver(false));
    }
    const trial = entry.dueTrial(digest);
    if (trial === undefined) return onOver(true);
    clock.after(STORE_MS, () => {
      const claim = `${digest}-${trial}`;
      const isGained = !claims.has(claim);
      claims.add(claim);
      entry.trialSettled(digest, true);
      if (isGained) send(digest, at, true, 1, () => onOver(false));
      else onOver(true);
    });
  };

  const popular = Array.from({length: POPULAR}, digestOf);
  const innocent = () => {
    const isPopular = random.next() < POPULAR_SHARE;
    const digest = isPopular
      ? popular[Math.floor(random.next() * POPULAR)]
      : digestOf();
    innocents++;
    arrive(digest, isRefused => {
      if (isRefused) refused++;
    });
  };
  const gapMs = 1_000 / (ARRIVALS_PER_S * scenario.replicas);
  const nextInnocent = () => {
    innocent();
    clock.after(-Math.log(1 - random.next()) * gapMs, nextInnocent);
  };
  nextInnocent();
  for (let at = 0; at < scenario.killers; at++) {
    const killer: Killer = {
      digest: digestOf(),
      ended: 0,
      thirdAt: Infinity,
      sentLate: 0,
      knownBy: new Set(),
      allKnowAt: Infinity,
    };
    killers.set(killer.digest, killer);
    const again = () =>
      arrive(killer.digest, () => clock.after(AGAIN_MS, again));
    clock.after(random.next() * scenario.durationMs * 0.5, again);
  }
  for (const {atMs, share} of scenario.storms) {
    clock.after(atMs, () =>
      replicas.forEach(it => random.next() < share && crash(it)),
    );
  }
  await clock.runFor(scenario.durationMs);
  return figuresOf([...killers.values()]);

  function figuresOf(all: readonly Killer[]): CrashFigures {
    const seconds = scenario.durationMs / 1_000;
    return {
      ended: all.map(it => it.ended),
      sentLate: all.map(it => it.sentLate),
      allKnowMs: all.map(it => it.allKnowAt - it.thirdAt),
      innocents,
      innocentsRefused: refused,
      bytesPerEntryPerS: bytes / scenario.entries / seconds,
    };
  }
}

function hex(random: Random): string {
  return random.hex(16);
}
