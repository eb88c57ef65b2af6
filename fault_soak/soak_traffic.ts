/** The callers of a run: each sends one request after the other. */
import type {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../src/types/runtime.js';
import type {SoakFleet} from './soak_fleet.js';
import type {Injector} from './soak_inject.js';
import type {Outcome, RequestKind, SoakRequest} from './soak_requests.js';
import {keptConnections, sendRequest} from './soak_requests.js';

const CALLERS_PER_ENTRY = 3;
/** Mean pause of a caller between two requests. */
const CALLER_PAUSE_MS = 120;
/** A caller tries again after this when nobody listens. */
const DOWN_PAUSE_MS = 50;
const KINDS: readonly RequestKind[] = ['stream', 'once', 'once', 'again'];
/** Share of streams whose prompt needs a group. */
const LARGE_SHARE = 0.25;
/** Share of requests with one of the newest keys, good or taken away. */
const OLD_KEY_SHARE = 0.2;
/** So many of the newest keys are tried. */
const NEWEST_KEYS = 3;

export interface Traffic {
  /** Ends the callers and gives all that they saw. */
  stop(): Promise<readonly Outcome[]>;
}

export function startTraffic(
  fleet: SoakFleet,
  {keys}: Injector,
  random: Random,
): Traffic {
  const outcomes: Outcome[] = [];
  let sent = 0;
  let stopped = false;
  const one = <T>(all: readonly T[]): T =>
    all[Math.floor(random.next() * all.length)] as T;
  const draw = (entry: number): SoakRequest => ({
    id: `soak-${++sent}-at-${entry}`,
    entry,
    kind: one(KINDS),
    key:
      random.next() < OLD_KEY_SHARE
        ? one(keys.all().slice(-NEWEST_KEYS))
        : keys.current(),
    isLarge: random.next() < LARGE_SHARE,
  });
  const call = async (entry: number, agent: Agent): Promise<void> => {
    while (!stopped) {
      await sleep(random.next() * 2 * CALLER_PAUSE_MS);
      const process = fleet.entries[entry];
      const outcome = await sendRequest(
        process.callers,
        agent,
        draw(entry),
        process.isUndisturbedSince,
      );
      const isDown = outcome.error?.includes('ECONNREFUSED') === true;
      if (isDown) await sleep(DOWN_PAUSE_MS);
      else outcomes.push(outcome);
    }
    agent.destroy();
  };
  const callers = fleet.entries.flatMap((_, entry) =>
    Array.from({length: CALLERS_PER_ENTRY}, () =>
      call(entry, keptConnections()),
    ),
  );
  return {
    stop: async () => {
      stopped = true;
      await Promise.all(callers);
      return outcomes;
    },
  };
}
