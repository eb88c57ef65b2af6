/**
 * Entries and replicas at any size, with requests that crash each replica that
 * runs them, sent again and again under new ids to drawn entries, among others
 * that crash nothing, and storms in which replicas crash by themselves.
 */
import type {Random} from '../../src/types/runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {createCrashTalk} from './crash_talk.js';
import {createReplicas} from './crash_replicas.js';
import type {MakeCrashWay} from './crash_ways.js';

/** Where the part stands in the prompts of the requests that have it. */
export type BadPart =
  /** After the first part that all requests of the organisation share. */
  | 'after-shared'
  /** First, before a part that differs by request. */
  | 'first';

export interface CrashScenario {
  readonly entries: number;
  readonly replicas: number;
  /** Requests that crash each replica that runs them. */
  readonly killers: number;
  /** Parts of prompts that crash each replica that runs a request with them. */
  readonly badParts?: readonly BadPart[];
  /** All entries start again at this time. @default never */
  readonly restartAtMs?: number;
  /** Share of the replicas that crash by themselves, at each of these times. */
  readonly storms: readonly {readonly atMs: number; readonly share: number}[];
  readonly durationMs: number;
  readonly seed: number;
  readonly way: MakeCrashWay;
}

export interface CrashFigures {
  /** Replicas that ended, by killer. */
  readonly ended: readonly number[];
  /** Sends later than allowed after the last end that counts, by killer. */
  readonly sentLate: readonly number[];
  /** From that end until every entry refuses, by killer; infinite if never. */
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
/** Killers come first within this share of the run. */
const KILLERS_BY_SHARE = 0.5;
/** Operators allow sends for so long after the last of these ends. */
const STABLE_MS = 3_000;
const COUNTED_ENDS = {request: 3, part: 5} as const;
/** Organisations whose requests share a first part each. */
const ORGANISATIONS = 12;
/** Second parts of one organisation; popular ones come first. */
const SECOND_PARTS = 30;
/** Requests with a bad part come at this pause, on average. */
const BAD_PART_EVERY_MS = 250;
/** A claim of a trial in the store. */
const CLAIM_MS = 4;
const DIGEST_BYTES = 16;
/** A trial waits so long for a request without other suspect parts. */
const BETTER_TRIAL_WAIT_MS = 1_000;

interface Killer {
  readonly digest: string;
  readonly kind: keyof typeof COUNTED_ENDS;
  readonly refusedAt: Set<number>;
  ended: number;
  sentLate: number;
  countedEndAt: number;
  allKnowAt: number;
}

/** A request, and the parts of its prompt that others share. */
interface Asked {
  readonly digest: string;
  readonly parts: readonly string[];
}

/** A request on its way through one entry. */
interface Sending extends Asked {
  readonly entry: number;
  readonly attempts: number;
  readonly isTrial: boolean;
  onOver(): void;
}

export async function runCrashes(
  scenario: CrashScenario,
): Promise<CrashFigures> {
  const {durationMs, badParts = []} = scenario;
  const clock = createVirtualClock();
  const random = createSeededRandom(scenario.seed);
  const killers = new Map<string, Killer>();
  const claims = new Set<string>();
  let innocents = 0;
  let innocentsRefused = 0;

  const replicas = createReplicas(clock, random, scenario.replicas);
  const talk = createCrashTalk({
    clock,
    random,
    entries: scenario.entries,
    way: scenario.way,
    onRefusedAt: (entry, digest) => {
      const killer = killers.get(digest);
      if (killer === undefined) return;
      killer.refusedAt.add(entry);
      const allKnow = killer.refusedAt.size === scenario.entries;
      if (allKnow) killer.allKnowAt = clock.now();
    },
  });
  const {entries} = talk;

  const isQuarantined = (entry: number, {digest, parts}: Asked): boolean =>
    [digest, ...parts].some(it => entries[entry].isQuarantined(it));
  const killersOf = ({digest, parts}: Asked): readonly Killer[] =>
    [digest, ...parts].flatMap(it => killers.get(it) ?? []);
  const noteWell = (entry: number, {digest, parts}: Asked): void => {
    const way = entries[entry];
    way.runSucceeded(digest);
    for (const part of parts) {
      way.partSeemedToRunWell(part, {id: '', address: ''});
      if (way.isSuspect(part)) way.partRanWell(part);
    }
  };
  const noteBroken = (
    entry: number,
    {digest, parts}: Asked,
    replicaId: string,
  ): void => {
    const way = entries[entry];
    way.replicaEnded(digest, replicaId);
    parts.forEach((part, position) => {
      if (way.isProven(part)) return;
      if (way.lastPartRuns(part).length > 0) way.partRanWell(part);
      else way.replicaEnded(part, replicaId, {kind: 'part', position});
    });
  };

  const send = (sending: Sending): void => {
    const {entry, attempts, isTrial, onOver} = sending;
    const replica = replicas.draw();
    const isRefused = isQuarantined(entry, sending) && !isTrial;
    if (replica === undefined || isRefused || attempts === 0) return onOver();
    const guilty = killersOf(sending);
    for (const killer of guilty) {
      if (clock.now() - killer.countedEndAt > STABLE_MS) killer.sentLate++;
    }
    replicas.run(replica, {
      lastsMs: RUN_MS * (0.5 + random.next()),
      crashMs:
        guilty.length > 0
          ? CRASH_FIRST_MS + random.next() * CRASH_SPREAD_MS
          : undefined,
      onWell: () => {
        noteWell(entry, sending);
        onOver();
      },
      onBroken: replicaId => {
        for (const killer of guilty) noteEnd(killer, clock.now());
        noteBroken(entry, sending, replicaId);
        send({...sending, attempts: attempts - 1, isTrial: false});
      },
    });
  };
  /** As `crash_watch.ts` chooses the request of a trial. */
  const trialSubject = (entry: number, asked: Asked): string | undefined => {
    const way = entries[entry];
    const [subject, ...others] = [asked.digest, ...asked.parts].filter(it =>
      way.isQuarantined(it),
    );
    if (subject === undefined || others.length > 0) return undefined;
    const isClear = asked.parts.every(
      it => it === subject || !way.isSuspect(it),
    );
    const isOverdue = way.nextTrialInMs(subject) <= -BETTER_TRIAL_WAIT_MS;
    return isClear || isOverdue ? subject : undefined;
  };
  const claimTrial = (sending: Sending, onRefused: () => void): void => {
    const {entry} = sending;
    const subject = trialSubject(entry, sending);
    const trial = subject && entries[entry].dueTrial(subject);
    if (subject === undefined || trial === undefined) return onRefused();
    clock.after(CLAIM_MS, () => {
      const claim = `${subject}-${trial}`;
      const isGained = !claims.has(claim);
      claims.add(claim);
      entries[entry].trialSettled(subject, true);
      if (isGained) send({...sending, attempts: 1, isTrial: true});
      else onRefused();
    });
  };
  /** At a drawn entry. */
  const arrive = (
    asked: Asked,
    onOver: () => void,
    onRefused: () => void,
  ): void => {
    const entry = Math.floor(random.next() * entries.length);
    const sending = {
      ...asked,
      entry,
      attempts: ATTEMPTS,
      isTrial: false,
      onOver,
    };
    const decide = () => {
      if (isQuarantined(entry, asked)) claimTrial(sending, onRefused);
      else send(sending);
    };
    const waits = asked.parts.map(it => entries[entry].judgedInMs(it));
    const waitMs = Math.max(0, ...waits);
    if (waitMs > 0) clock.after(waitMs, decide);
    else decide();
  };

  const popular = Array.from({length: POPULAR}, () => drawDigest(random));
  const firstParts = Array.from({length: ORGANISATIONS}, () =>
    drawDigest(random),
  );
  const secondParts = firstParts.map(() =>
    Array.from({length: SECOND_PARTS}, () => drawDigest(random)),
  );
  const hasParts = badParts.length > 0;
  /** Shared parts; most requests have a popular second one. */
  const drawParts = (organisation: number): readonly string[] => {
    if (!hasParts) return [];
    const second = Math.floor(random.next() ** 2 * SECOND_PARTS);
    return [firstParts[organisation], secondParts[organisation][second]];
  };
  const drawInnocent = (): Asked => ({
    digest:
      random.next() < POPULAR_SHARE
        ? popular[Math.floor(random.next() * POPULAR)]
        : drawDigest(random),
    parts: hasParts ? drawParts(Math.floor(random.next() * ORGANISATIONS)) : [],
  });
  const innocentGapMs = 1_000 / (ARRIVALS_PER_S * scenario.replicas);
  const nextInnocent = (): void => {
    innocents++;
    arrive(
      drawInnocent(),
      () => undefined,
      () => innocentsRefused++,
    );
    const gapMs = -Math.log(1 - random.next()) * innocentGapMs;
    clock.after(gapMs, nextInnocent);
  };
  const addKiller = (): void => {
    const killer = newKiller(drawDigest(random), 'request');
    killers.set(killer.digest, killer);
    const asked = {digest: killer.digest, parts: []};
    const sendAgain = () => void clock.after(AGAIN_MS, sendNow);
    const sendNow = () => arrive(asked, sendAgain, sendAgain);
    clock.after(random.next() * durationMs * KILLERS_BY_SHARE, sendNow);
  };
  /** Requests with the part come until the end, and no two are alike. */
  const addBadPart = (place: BadPart): void => {
    const killer = newKiller(drawDigest(random), 'part');
    killers.set(killer.digest, killer);
    const partsOf = () => {
      const [first, second] = drawParts(0);
      return place === 'first'
        ? [killer.digest, second]
        : [first, killer.digest];
    };
    const next = () => {
      const asked = {digest: drawDigest(random), parts: partsOf()};
      const nothing = () => undefined;
      arrive(asked, nothing, nothing);
      clock.after(-Math.log(1 - random.next()) * BAD_PART_EVERY_MS, next);
    };
    clock.after(durationMs * KILLERS_BY_SHARE * random.next(), next);
  };

  nextInnocent();
  for (let at = 0; at < scenario.killers; at++) addKiller();
  badParts.forEach(addBadPart);
  if (scenario.restartAtMs !== undefined) {
    clock.after(scenario.restartAtMs, talk.restartAll);
  }
  for (const {atMs, share} of scenario.storms) {
    clock.after(atMs, () => replicas.storm(share));
  }
  await clock.runFor(durationMs);

  const all = [...killers.values()];
  return {
    ended: all.map(({ended}) => ended),
    sentLate: all.map(({sentLate}) => sentLate),
    allKnowMs: all.map(({allKnowAt, countedEndAt}) => allKnowAt - countedEndAt),
    innocents,
    innocentsRefused,
    bytesPerEntryPerS: talk.bytes() / scenario.entries / (durationMs / 1_000),
  };
}

function newKiller(digest: string, kind: Killer['kind']): Killer {
  return {
    digest,
    kind,
    refusedAt: new Set(),
    ended: 0,
    sentLate: 0,
    countedEndAt: Infinity,
    allKnowAt: Infinity,
  };
}

function noteEnd(killer: Killer, at: number): void {
  killer.ended++;
  if (killer.ended === COUNTED_ENDS[killer.kind]) killer.countedEndAt = at;
}

function drawDigest(random: Random): string {
  return random.hex(DIGEST_BYTES);
}
