/** What must hold after all faults were taken back. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SoakFleet} from './soak_fleet.js';
import {RETRIES, TIMING} from './soak_fleet.js';
import type {JudgeView, Violation} from './soak_judge.js';
import type {Outcome} from './soak_requests.js';

/** A lost order is repeated, and a lease lapses, within this. */
const MEMORY_LIMIT_MS = TIMING.maxHoldMs + TIMING.freeMs;
const POLL_MS = 100;

export function isServed({status, isWhole}: Outcome): boolean {
  return status === 200 && isWhole;
}

/** Once all faults are gone, all is served that there is room for. */
export function judgeCalm(
  outcome: Outcome,
  calmFrom: number,
  view: JudgeView,
): readonly Violation[] {
  const {id, sentAt, status, error, key, body, isLarge, saysNotRun} = outcome;
  if (sentAt < calmFrom || isServed(outcome)) return [];
  if (view.revokedAt(key) !== undefined) return [];
  // Two groups fill the pool's memory; a third may be told to come back.
  if (isLarge && saysNotRun) return [];
  const detail = `status ${status}, ${error ?? body.slice(0, 200)}`;
  return [{promise: 'all is served after all faults', id, detail}];
}

export function judgeRetries(
  outcomes: readonly Outcome[],
  view: JudgeView,
  durationMs: number,
): readonly Violation[] {
  const runs = outcomes.map(({id}) => view.runs(id));
  const retries = runs.reduce((sum, count) => sum + Math.max(0, count - 1), 0);
  const windows = Math.ceil(durationMs / (RETRIES.windowS * 1_000)) + 1;
  const allowed = RETRIES.ratio * outcomes.length + RETRIES.slack * windows;
  if (retries <= allowed) return [];
  const detail = `${retries} retries, ${Math.floor(allowed)} allowed`;
  return [{promise: 'retries within their budget', id: 'all', detail}];
}

export async function judgeMemory(
  fleet: SoakFleet,
): Promise<readonly Violation[]> {
  const holding = () =>
    fleet.replicas.filter(({standIn}) => standIn.held.size > 0);
  const endsAt = performance.now() + MEMORY_LIMIT_MS;
  while (holding().length > 0 && performance.now() < endsAt) {
    await sleep(POLL_MS);
  }
  return holding().map(({standIn}) => ({
    promise: 'no memory is set aside for nobody',
    id: standIn.id,
    detail: JSON.stringify([...standIn.held]),
  }));
}

export async function endAll(
  fleet: SoakFleet,
  blame: (violation: Violation) => void,
): Promise<void> {
  await Promise.all(
    fleet.entries.map(async entry => {
      const {code, tookMs} = await entry.end();
      if (code === 0 && tookMs < TIMING.graceS * 1_000) return;
      const detail = `code ${code} after ${Math.round(tookMs)} ms`;
      blame({promise: 'an idle entry ends at once', id: entry.name, detail});
    }),
  );
}

export function judgeProcesses(fleet: SoakFleet): readonly Violation[] {
  return fleet.entries.flatMap(entry =>
    entry.faults().map(detail => ({
      promise: 'no process dies, no invariant breaks, logs are JSON',
      id: entry.name,
      detail,
    })),
  );
}
