/** What entries did by their logs; steady times, in milliseconds. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Span} from '../silent_replicas/replica_process.js';

/** A stall is reported within this time of what it has held back. */
const STALL_REPORT_MS = 50;

interface LogLine {
  readonly time: string;
  readonly version?: number;
  readonly stalledMs?: number;
}

export interface EntryLog {
  /** First adoption of each version. */
  readonly adoptions: ReadonlyMap<number, number>;
  /**
   * Each ends when it reported that new connections were closed unread, and
   * begins with the stall of its event loop that delayed the report, if any.
   */
  readonly turnedAway: readonly Span[];
}

export function readEntryLog(dir: string, entry: string): EntryLog {
  const lines = readFileSync(join(dir, `${entry}.log`), 'utf8').split('\n');
  const linesOf = (event: string) =>
    lines
      .filter(line => line.includes(`"${event}"`))
      .map(line => JSON.parse(line) as LogLine);
  const at = ({time}: LogLine) => Date.parse(time) - performance.timeOrigin;
  // A process that starts again adopts the newest version once more.
  const adopted = linesOf('direct-config-adopted').reverse();
  const stalls = linesOf('direct-loop-stalled').map(it => ({
    from: at(it) - (it.stalledMs ?? 0),
    to: at(it),
  }));
  const reportedBy = (to: number): Span => {
    const before = stalls.filter(it => Math.abs(it.to - to) <= STALL_REPORT_MS);
    return {from: Math.min(to, ...before.map(it => it.from)), to};
  };
  return {
    adoptions: new Map(adopted.map(it => [it.version ?? 0, at(it)])),
    turnedAway: linesOf('direct-connections-closed').map(at).map(reportedBy),
  };
}
