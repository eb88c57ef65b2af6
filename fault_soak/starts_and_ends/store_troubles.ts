/**
 * Troubles of the store, and losses of power of the whole fleet and its store;
 * in between, windows in which a ready fleet is left alone or has only a slow
 * store.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isEntryReady} from '../../standins/users_platform/entry_program.js';
import type {Random} from '../../src/types/runtime.js';
import type {StoreProcess} from '../stops_and_records/store_process.js';
import type {StoreManner} from '../stops_and_records/store_program.js';
import type {EntrySeries} from './entry_series.js';
import type {Gate} from './gate.js';
import {READY_LIMIT_MS, judgeReadiness} from './starts_judge.js';
import type {Span} from './starts_judge.js';

type Kind = 'slow' | 'jittery' | 'cutting' | 'away' | 'silent' | 'power';
const KINDS: readonly Kind[] = [
  'slow',
  'jittery',
  'power',
  'cutting',
  'away',
  'silent',
];
/** The latest answer of a store that is in service. */
const MOST_LATE_MS = 2_000;
const LEAST_LATE_MS = 500;
const LEAST_CUT_SHARE = 0.3;
const MEAN_GAP_MS = 1_000;
const SHORTEST_MS = 1_000;
const LONGEST_MS = 8_000;
/** Longer than evidence for keys is accepted. */
const WINDOW_MS = 6_500;
const AGAIN_SHARE = 0.5;
const SLOW_AFTER_SHARE = 0.5;
/** A start takes less; a second loss of power meets any moment of it. */
const START_MS = 1_000;
const LONGEST_STORE_LEAD_MS = 4_000;
const POLL_MS = 100;
const CHECK_LIMIT_MS = 1_000;

export interface TroubleReport {
  readonly played: readonly string[];
  /** The store didn't answer, or broke its answers off. */
  readonly away: readonly Span[];
  /** The fleet was ready, alone or with a slow store. */
  readonly windows: ReadonlyArray<Span & {readonly name: string}>;
  /** Longest time until all were ready in a window, in milliseconds. */
  readonly slowestReadyMs: number;
  readonly violations: readonly string[];
}

export interface TroubleShape {
  readonly store: StoreProcess;
  readonly entries: readonly EntrySeries[];
  readonly random: Random;
  readonly gate: Gate;
  isOver(): boolean;
}

export async function playTroubles(
  shape: TroubleShape,
): Promise<TroubleReport> {
  const {store, entries, random, gate, isOver} = shape;
  const played: string[] = [];
  const away: Span[] = [];
  const windows: Array<Span & {readonly name: string}> = [];
  const violations: string[] = [];
  let slowestReadyMs = 0;
  const between = (least: number, most: number) =>
    least + random.next() * (most - least);
  const behave = (change: Partial<StoreManner>) =>
    store.behave({
      mode: 'well',
      lateMs: [0, 0],
      cutShare: 0,
      seed: Math.floor(random.next() * 2 ** 31),
      ...change,
    });
  const lateness = (kind: 'slow' | 'jittery'): Partial<StoreManner> => {
    const lateMs = between(LEAST_LATE_MS, MOST_LATE_MS);
    return {lateMs: kind === 'slow' ? [lateMs, lateMs] : [0, MOST_LATE_MS]};
  };
  /** Waits until all entries are ready, and leaves them alone for a while. */
  const observe = async (name: string) => {
    const began = performance.now();
    const waiting = await waitForAll(entries);
    slowestReadyMs = Math.max(slowestReadyMs, performance.now() - began);
    violations.push(...judgeReadiness(waiting, name));
    if (waiting.length > 0) return;
    const from = performance.now();
    await sleep(WINDOW_MS);
    windows.push({name, from, to: performance.now()});
  };
  const beSlow = async (kind: 'slow' | 'jittery') => {
    const manner = lateness(kind);
    await behave(manner);
    // Entries end and start meanwhile.
    await sleep(between(SHORTEST_MS, LONGEST_MS));
    await gate.close();
    await observe(`${kind} ${Math.round(manner.lateMs?.[0] ?? 0)} ms`);
    await behave({});
  };
  const beAway = async (kind: 'cutting' | 'away' | 'silent') => {
    const from = performance.now();
    const cutShare = between(LEAST_CUT_SHARE, 1);
    await behave(kind === 'cutting' ? {cutShare} : {mode: kind});
    await sleep(between(SHORTEST_MS, LONGEST_MS));
    away.push({from, to: await behave({})});
    await gate.close();
    await observe(`after ${kind}`);
  };
  const losePower = async () => {
    await gate.close();
    const from = performance.now();
    await behave({mode: 'away'});
    const lose = () => entries.forEach(entry => entry.losePower());
    lose();
    const isAgain = random.next() < AGAIN_SHARE;
    if (isAgain) {
      await sleep(random.next() * START_MS);
      lose();
    }
    await sleep(random.next() * LONGEST_STORE_LEAD_MS);
    const isSlow = random.next() < SLOW_AFTER_SHARE;
    away.push({from, to: await behave(isSlow ? lateness('slow') : {})});
    const times = isAgain ? 'two losses' : 'a loss';
    await observe(`after ${times} of power${isSlow ? ', slow' : ''}`);
    await behave({});
  };
  const play = (kind: Kind): Promise<void> => {
    if (kind === 'slow' || kind === 'jittery') return beSlow(kind);
    return kind === 'power' ? losePower() : beAway(kind);
  };
  while (!isOver()) {
    await sleep(random.next() * 2 * MEAN_GAP_MS);
    const kind = KINDS[Math.floor(random.next() * KINDS.length)];
    played.push(`store ${kind}`);
    await play(kind);
    gate.open();
  }
  return {played, away, windows, slowestReadyMs, violations};
}

/** Addresses of those that are not ready within the limit. */
async function waitForAll(
  entries: readonly EntrySeries[],
): Promise<readonly string[]> {
  const until = performance.now() + READY_LIMIT_MS;
  let waiting = entries.map(({ready}) => ready);
  while (waiting.length > 0 && performance.now() < until) {
    const checked = await Promise.all(
      waiting.map(async address => ({address, isReady: await check(address)})),
    );
    waiting = checked
      .filter(({isReady}) => !isReady)
      .map(({address}) => address);
    if (waiting.length > 0) await sleep(POLL_MS);
  }
  return waiting;
}

function check(address: string): Promise<boolean> {
  return Promise.race([isEntryReady(address), sleep(CHECK_LIMIT_MS, false)]);
}
