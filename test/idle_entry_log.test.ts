/** What the soak of idle connections reads from the log of an entry. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import {readEntryLog} from '../fault_soak/idle_connections/entry_log.js';

/** Read from the log `lines`, each an event so long after the first one. */
function turnedAwayOf(
  lines: ReadonlyArray<readonly [string, number, object]>,
): ReadonlyArray<readonly [number, number]> {
  const dir = mkdtempSync(join(tmpdir(), 'idle-entry-log-'));
  const start = Math.ceil(performance.timeOrigin);
  const texts = lines.map(([name, ms, fields]) => {
    const time = new Date(start + ms).toISOString();
    return JSON.stringify({time, name, ...fields});
  });
  writeFileSync(join(dir, 'a.log'), texts.join('\n'));
  const {turnedAway} = readEntryLog(dir, 'a');
  rmSync(dir, {recursive: true});
  const since = (at: number) =>
    Math.round(at - (start - performance.timeOrigin));
  return turnedAway.map(({from, to}) => [since(from), since(to)]);
}

// Guards against a report that a stall of the entry delayed and that seems to tell
// of later connections only.
test('a report of closed connections begins with the stall that delayed it', () => {
  const stalled = {stalledMs: 430};
  const closed = {closed: 2};
  expect(
    turnedAwayOf([
      ['direct-connections-closed', 1_000, closed],
      ['direct-connections-closed', 1_531, closed],
      ['direct-loop-stalled', 1_531, stalled],
      ['direct-connections-closed', 1_600, closed],
    ]),
  ).toEqual([
    [1_000, 1_000],
    [1_101, 1_531],
    [1_600, 1_600],
  ]);
});
