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
/** Killers come first within this share of the run. */
const KILLERS_BY_SHARE = 0.5;
/** Operators allow sends for so long after the third end. */
const STABLE_MS = 3_000;
const THIRD = 3;
/** A claim of a trial in the store. */
const CLAIM_MS = 4;
const DIGEST_BYTES = 16;

interface Killer {
  readonly digest: string;
  readonly refusedAt: Set<number>;
  ended: number;
  sentLate: number;
  thirdEndAt: number;
  allKnowAt: number;
}

/** A request on its way through one entry. */
interface Sending {
  readonly digest: string;
  readonly entry: number;
  readonly attempts: number;
  readonly isTrial: boolean;
  onOver(): void;
}

export async function runCrashes(
  scenario: CrashScenario,
): Promise<CrashFigures> {
  const {durationMs} = scenario;
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

  const send = (sending: Sending): void => {
    const {digest, entry, attempts, isTrial, onOver} = sending;
    const replica = replicas.draw();
    const isRefused = entries[entry].isQuarantined(digest) && !isTrial;
    if (replica === undefined || isRefused || attempts === 0) return onOver();
    const killer = killers.get(digest);
    const isLate = clock.now() - (killer?.thirdEndAt ?? Infinity) > STABLE_MS;
    if (killer !== undefined && isLate) killer.sentLate++;
    replicas.run(replica, {
      lastsMs: RUN_MS * (0.5 + random.next()),
      crashMs: killer && CRASH_FIRST_MS + random.next() * CRASH_SPREAD_MS,
      onWell: () => {
        entries[entry].runSucceeded(digest);
        onOver();
      },
      onBroken: replicaId => {
        if (killer !== undefined) noteEnd(killer, clock.now());
        entries[entry].replicaEnded(digest, replicaId);
        send({...sending, attempts: attempts - 1, isTrial: false});
      },
    });
  };
  const claimTrial = (sending: Sending, onRefused: () => void): void => {
    const {digest, entry} = sending;
    const trial = entries[entry].dueTrial(digest);
    if (trial === undefined) return onRefused();
    clock.after(CLAIM_MS, () => {
      const claim = `${digest}-${trial}`;
      const isGained = !claims.has(claim);
      claims.add(claim);
      entries[entry].trialSettled(digest, true);
      if (isGained) send({...sending, attempts: 1, isTrial: true});
      else onRefused();
    });
  };
  /** At a drawn entry. */
  const arrive = (
    digest: string,
    onOver: () => void,
    onRefused: () => void,
  ): void => {
    const entry = Math.floor(random.next() * entries.length);
    const sending = {digest, entry, attempts: ATTEMPTS, isTrial: false, onOver};
    if (entries[entry].isQuarantined(digest)) claimTrial(sending, onRefused);
    else send(sending);
  };

  const popular = Array.from({length: POPULAR}, () => drawDigest(random));
  const drawInnocent = () =>
    random.next() < POPULAR_SHARE
      ? popular[Math.floor(random.next() * POPULAR)]
      : drawDigest(random);
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
    const killer = newKiller(drawDigest(random));
    killers.set(killer.digest, killer);
    const sendAgain = () => void clock.after(AGAIN_MS, sendNow);
    const sendNow = () => arrive(killer.digest, sendAgain, sendAgain);
    clock.after(random.next() * durationMs * KILLERS_BY_SHARE, sendNow);
  };

  nextInnocent();
  for (let at = 0; at < scenario.killers; at++) addKiller();
  for (const {atMs, share} of scenario.storms) {
    clock.after(atMs, () => replicas.storm(share));
  }
  await clock.runFor(durationMs);

  const all = [...killers.values()];
  return {
    ended: all.map(({ended}) => ended),
    sentLate: all.map(({sentLate}) => sentLate),
    allKnowMs: all.map(({allKnowAt, thirdEndAt}) => allKnowAt - thirdEndAt),
    innocents,
    innocentsRefused,
    bytesPerEntryPerS: talk.bytes() / scenario.entries / (durationMs / 1_000),
  };
}

function newKiller(digest: string): Killer {
  return {
    digest,
    refusedAt: new Set(),
    ended: 0,
    sentLate: 0,
    thirdEndAt: Infinity,
    allKnowAt: Infinity,
  };
}

function noteEnd(killer: Killer, at: number): void {
  killer.ended++;
  if (killer.ended === THIRD) killer.thirdEndAt = at;
}

function drawDigest(random: Random): string {
  return random.hex(DIGEST_BYTES);
}
