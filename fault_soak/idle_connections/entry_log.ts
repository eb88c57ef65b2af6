/** What entries did by their logs; steady times, in milliseconds. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';

interface LogLine {
  readonly time: string;
  readonly version?: number;
}

export interface EntryLog {
  /** First adoption of each version. */
  readonly adoptions: ReadonlyMap<number, number>;
  /** When it reported that new connections were closed unread. */
  readonly turnedAwayAt: readonly number[];
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
  return {
    adoptions: new Map(adopted.map(it => [it.version ?? 0, at(it)])),
    turnedAwayAt: linesOf('direct-connections-closed').map(at),
  };
}
