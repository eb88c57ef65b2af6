/** Asks an entry that nothing troubles any more until it serves everything. */
import {setTimeout as sleep} from 'node:timers/promises';
import {callEntry} from '../../standins/users_platform/entry_program.js';
import {byStatus} from './starts_judge.js';

const PROBE_GAP_MS = 200;

interface Answer {
  readonly path: string;
  readonly status: number | undefined;
}

/** What an entry doesn't serve in time, one request of each path in a round. */
export async function findUnserved(
  callers: string,
  paths: readonly string[],
  nextId: () => string,
  withinMs: number,
): Promise<readonly string[]> {
  const until = performance.now() + withinMs;
  let seen: readonly Answer[] = [];
  while (performance.now() < until) {
    const answers: Answer[] = [];
    for (const path of paths) {
      if (performance.now() >= until) break;
      const late = sleep(withinMs, undefined, {ref: false});
      const called = callEntry(callers, path, nextId());
      answers.push({path, status: await Promise.race([called, late])});
    }
    // A round that the time limit cuts short doesn't hide a whole one.
    const isWhole = answers.length === paths.length;
    if (isWhole && answers.every(it => it.status === 200)) return [];
    if (isWhole || seen.length === 0) seen = answers;
    await sleep(PROBE_GAP_MS);
  }
  const failed = seen.filter(({status}) => status !== 200);
  const at = [...new Set(failed.map(({path}) => path))].join(' ');
  const statuses = JSON.stringify(byStatus(seen));
  return [`end: ${callers} at ${at} answers with ${statuses}`];
}
