/** What modelled entries tell each other of requests that crash replicas. */
import {isValidReport} from '../../src/direct/crashes/crash_reports.js';
import type {CrashReport} from '../../src/direct/crashes/crash_reports.js';
import {encodeDatagram} from '../../src/direct/datagrams.js';
import type {Clock, Random} from '../../src/types/runtime.js';
import type {CrashWay, MakeCrashWay} from './crash_ways.js';

const DATAGRAM_MS = 2;
const LOST_SHARE = 0.01;
/** As `sharing.ts` tells a report: at once, and again where several ended. */
const TOLD_AGAIN_MS = [0, 100, 400];
const TOLD_SUSPECTS_MS = 1_000;
const TOLD_SUSPECTS = 4;
/** As `crash_watch.ts` draws the delay of an answer to a report. */
const REPLY_DELAY_MS = 150;
/** As `quarantine_records.ts`: where no entry saw the last end, one writes. */
const PEER_WRITE_MS = 1_000;
const WRITE_SPREAD_MS = 2_000;
/** A write to the store and the watch that tells of it. */
const STORE_MS = 10;

export interface CrashTalkOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly entries: number;
  readonly way: MakeCrashWay;
  /** An entry refuses the request from now on. */
  onRefusedAt(entry: number, digest: string): void;
}

export interface CrashTalk {
  /** Those that run now; a restart replaces them. */
  readonly entries: readonly CrashWay[];
  /** All entries lose what they know but for what the store has. */
  restartAll(): void;
  /** Of all datagrams that were sent. */
  bytes(): number;
}

export function createCrashTalk(options: CrashTalkOptions): CrashTalk {
  const {clock, random} = options;
  const entries: CrashWay[] = [];
  let bytes = 0;

  const send = (to: number, reports: readonly CrashReport[]): void => {
    bytes += encodeDatagram({kind: 'crashes', reports}).length;
    // What an entry cannot take is as good as lost.
    const isTaken = reports.every(isValidReport);
    if (!isTaken || random.next() < LOST_SHARE) return;
    clock.after(DATAGRAM_MS, () => entries[to].merge(reports));
  };
  const others = (from: number): readonly number[] =>
    [...entries.keys()].filter(at => at !== from);
  const tellAll = (from: number, report: CrashReport): void => {
    const times = report.ended.length > 1 ? TOLD_AGAIN_MS : [0];
    for (const ms of times) {
      clock.after(ms, () => others(from).forEach(to => send(to, [report])));
    }
  };
  const tellOne = (from: number): void => {
    const reports = entries[from].nextReports(TOLD_SUSPECTS);
    const to = others(from)[Math.floor(random.next() * (entries.length - 1))];
    if (reports.length > 0 && to !== undefined) send(to, reports);
  };
  const byStore = (from: number, act: (to: CrashWay) => void): void =>
    void clock.after(STORE_MS, () =>
      others(from).forEach(to => act(entries[to])),
    );

  const stored = new Map<string, CrashReport>();
  const write = (from: number, report: CrashReport): void => {
    const {digest} = report;
    if (stored.has(digest) || !entries[from].isQuarantined(digest)) return;
    stored.set(digest, report);
    byStore(from, to => to.mergeRecords([report]));
  };
  const startEntry = (at: number): CrashWay => {
    const entry = options.way({
      clock,
      self: `entry-${at}`,
      replyDelayMs: () => random.next() * REPLY_DELAY_MS,
      confirmRuns: digest => entry.partRanWell(digest),
      onChanged: report => tellAll(at, report),
      onQuarantined: (report, isOwn) => {
        options.onRefusedAt(at, report.digest);
        const spreadMs = PEER_WRITE_MS + random.next() * WRITE_SPREAD_MS;
        clock.after(isOwn ? 0 : spreadMs, () => write(at, report));
      },
      onCleared: (digest, isOwn) => {
        if (!isOwn || !stored.delete(digest)) return;
        byStore(at, to => to.release(digest));
      },
    });
    return entry;
  };
  for (let at = 0; at < options.entries; at++) {
    entries.push(startEntry(at));
    clock.every(TOLD_SUSPECTS_MS, () => tellOne(at));
  }
  return {
    entries,
    restartAll: () => {
      for (let at = 0; at < entries.length; at++) {
        entries[at] = startEntry(at);
        entries[at].mergeRecords([...stored.values()]);
      }
    },
    bytes: () => bytes,
  };
}
