/**
 * One run: processes of the built program under odd bytes on each wire, beside
 * ends, signals and changes of the configuration, with callers in order.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {seeded} from '../plan/seeded.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {TIMING} from '../soak_fleet.js';
import {
  abortAtExit,
  createEntries,
  factsOf,
  isSteady,
} from '../starts_and_ends/all_entries.js';
import type {SeriesPart} from '../starts_and_ends/entry_series.js';
import {createGate} from '../starts_and_ends/gate.js';
import type {PartsShape} from '../starts_and_ends/play_parts.js';
import {buildProgram} from '../starts_and_ends/program_build.js';
import {judgeLife} from '../starts_and_ends/starts_judge.js';
import type {Span} from '../starts_and_ends/starts_judge.js';
import {findUnserved} from '../starts_and_ends/unserved.js';
import {createDraw} from './draws.js';
import {KINDS, callInOrder} from './honest_callers.js';
import type {Outcome} from './honest_callers.js';
import {sendOddBytes} from './odd_callers.js';
import {FALSE_PEER, startFalsePeer} from './odd_peers.js';
import type {SentAnswer} from './odd_replica.js';
import {startOddStore} from './odd_store.js';
import {judgeAnswers, judgeLines, longestStallMs} from './wires_judge.js';
import {startWiresFleet} from './wires_fleet.js';

export const WIRES = ['replicas', 'store', 'peers', 'callers', 'ends'] as const;
export type Wire = (typeof WIRES)[number];

const ENDS: readonly SeriesPart[] = ['kills', 'beside', 'signals'];
const MEMORY_MB = 350;
/** Attempts at odd replicas must not use up what sound ones need. */
const RETRIES = {ratio: 1, slack: 10_000, windowS: 10};
/** Half of them send to services that have odd replicas alone. */
const CALLERS_PER_ENTRY = 4;
const MEAN_PAUSE_MS = 25;
const RECONNECT_MS = 50;
const MEAN_CHANGE_MS = 350;
const LONGEST_STORE_MS = 4_000;
/** After odd answers of the store, entries catch up with it. */
const CATCH_UP_MS = 6_000;
const DATAGRAM_GAP_MS = 4;
const ANNOUNCE_MS = 4_000;
const ODD_CALLERS_PER_ENTRY = 2;
/** Every entry serves so soon after the odd bytes have stopped. */
const SERVE_WITHIN_MS = 5_000;
const PROBES = KINDS.filter(it => !it.startsWith('odd')).map(
  it => `/${it}/probe`,
);

export async function runWires(shape: PartsShape<Wire>) {
  const {seed, processes, durationMs, only, program, dir} = shape;
  const plays = (wire: Wire) => only === undefined || only === wire;
  const draws = (part: number) => createDraw(seeded(seed, part));
  let isOver = false;
  let isStoreOdd = false;
  let ids = 0;
  const sent: SentAnswer[] = [];
  const outcomes: Outcome[] = [];
  const away: Span[] = [];
  const fleet = await startWiresFleet(
    draws(1),
    () => plays('replicas') && !isOver,
    it => sent.push(it),
  );
  const store = await startOddStore(
    fleet.store.address,
    draws(2),
    () => isStoreOdd,
  );
  const oddIds = fleet.odd.map(({name}) => `${name}@1`);
  const peer = await startFalsePeer(draws(3), oddIds, () => !isOver);
  const entries = await createEntries({
    seed,
    processes,
    dir,
    build: buildProgram(dir, program),
    store: store.address,
    memoryMb: MEMORY_MB,
    retries: RETRIES,
    gate: createGate(),
    partsOf: at =>
      only === 'ends' || (only === undefined && !isSteady(at)) ? ENDS : [],
  });
  const abort = abortAtExit(entries);
  const delay = monitorEventLoopDelay();
  const chance = draws(4);
  const pause = (meanMs: number) => sleep(chance.below(2 * meanMs));
  const repeat = async (act: () => Promise<unknown>) => {
    while (!isOver) await act();
  };
  const nextId = () => `wire-${++ids}`;

  const change = async () => {
    await pause(MEAN_CHANGE_MS);
    await (chance.chance(0.5) ? fleet.renew() : fleet.configure());
  };
  const spoilStore = async () => {
    await pause(LONGEST_STORE_MS / 2);
    const from = performance.now();
    isStoreOdd = true;
    await pause(LONGEST_STORE_MS / 2);
    isStoreOdd = false;
    away.push({from, to: performance.now() + CATCH_UP_MS});
  };
  const spoilPeers = async () => {
    for (const {peers} of entries) peer.send(peers);
    await pause(DATAGRAM_GAP_MS);
  };
  const announcePeer = async () => {
    await fleet.store.put('onyxloft-entries', FALSE_PEER, peer.record);
    await sleep(ANNOUNCE_MS);
  };
  const callOddly = (at: number) => async () => {
    const {callers, ready, metrics, peers} = entries[at];
    const address = chance.chance(0.8)
      ? callers
      : chance.one([ready, metrics, peers]);
    await sendOddBytes(address, draws(1_000 + ++ids), nextId);
  };
  const call = (entry: number, caller: number) => async () => {
    const some = KINDS.filter(it => it.startsWith('odd') === caller % 2 > 0);
    await callInOrder({
      entry,
      address: entries[entry].callers,
      drawKind: () => chance.one(some),
      nextId,
      pauseMs: () => chance.below(2 * MEAN_PAUSE_MS),
      isOver: () => isOver,
      onEnd: it => outcomes.push(it),
    });
    await sleep(RECONNECT_MS);
  };
  const perEntry = (
    count: number,
    act: (at: number, caller: number) => () => Promise<void>,
  ) =>
    entries.flatMap((_, at) =>
      Array.from({length: count}, (__, caller) => repeat(act(at, caller))),
    );
  try {
    await Promise.all(entries.map(entry => entry.begin()));
    await Promise.all(entries.map(entry => entry.settle()));
    delay.enable();
    const played = [
      repeat(change),
      ...perEntry(CALLERS_PER_ENTRY, call),
      ...entries.map(entry => entry.play(() => isOver)),
      ...(plays('store') ? [repeat(spoilStore)] : []),
      ...(plays('peers') ? [repeat(spoilPeers), repeat(announcePeer)] : []),
      ...(plays('callers') ? perEntry(ODD_CALLERS_PER_ENTRY, callOddly) : []),
    ];
    await sleep(durationMs);
    isOver = true;
    isStoreOdd = false;
    await Promise.all(played);
    await Promise.all(entries.map(entry => entry.settle()));
    const unserved = await Promise.all(
      entries.map(it =>
        findUnserved(it.callers, PROBES, nextId, SERVE_WITHIN_MS),
      ),
    );
    const observedTo = performance.now();
    await Promise.all(entries.map(entry => entry.finish()));

    const lives = factsOf(entries);
    const rules = {graceMs: TIMING.graceS * 1_000, observedTo, away};
    const {soundRuns} = fleet;
    const answers = judgeAnswers(outcomes, {lives, sent, soundRuns, away});
    const violations = [
      ...lives.flatMap(life => [
        ...judgeLife(life, rules),
        ...judgeLines(life),
      ]),
      ...unserved.flat(),
      ...answers.violations,
    ];
    return {
      seed,
      starts: lives.length,
      oddAnswers: sent.length,
      oddStoreAnswers: store.count(),
      datagramsBack: peer.received(),
      requests: outcomes.length,
      served: answers.served,
      brokenByKind: countBy(violations, it => it.split(':')[0]),
      violations,
      longestStallMs: longestStallMs(lives),
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    isOver = true;
    abort();
    await Promise.all([peer.close(), store.close(), fleet.close()]);
  }
}
