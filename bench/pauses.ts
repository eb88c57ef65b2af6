/**
 * Compares ways of heeding the pauses that replicas ask for:
 * `npm run bench -- pauses [--seeds N] [--json FILE]`.
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {playPauses} from './pauses_model.js';
import type {PauseResult, PauseScenario, PauseWay} from './pauses_model.js';

const ENTRIES = [4, 29, 68] as const;
const WAYS: readonly PauseWay[] = ['ignored', 'until-end', 'slow-start'];
const REPLICAS = 6;
const CASES = [
  {name: 'one of six, 3 s', slow: 1, pauseMs: 3_000},
  {name: 'five of six, 3 s', slow: 5, pauseMs: 3_000},
  {name: 'all, 3 s', slow: 6, pauseMs: 3_000},
  {name: 'all, 0.3 s', slow: 6, pauseMs: 300},
] as const;

/** Means over the seeds, and the worst of the requests in a pause. */
async function measure(
  scenario: Omit<PauseScenario, 'seed'>,
  seeds: number,
): Promise<PauseResult> {
  const results: PauseResult[] = [];
  for (let seed = 1; seed <= seeds; seed++) {
    results.push(await playPauses({...scenario, seed}));
  }
  const meanOf = (key: keyof PauseResult) =>
    results.reduce((sum, result) => sum + result[key], 0) / seeds;
  return {
    inTime: meanOf('inTime'),
    turnedAway: meanOf('turnedAway'),
    turnedAwayAfter: meanOf('turnedAwayAfter'),
    worstInPause: Math.max(...results.map(it => it.worstInPause)),
  };
}

export async function benchPauses(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      seeds: {type: 'string', default: '3'},
      json: {type: 'string'},
    },
  });
  const rows: object[] = [];
  console.log(
    'entries way         case               in time  shed  after worst',
  );
  for (const entries of ENTRIES) {
    for (const {name, ...rest} of CASES) {
      for (const way of WAYS) {
        const scenario = {way, entries, replicas: REPLICAS, ...rest};
        const result = await measure(scenario, Number(values.seeds));
        rows.push({entries, way, case: name, ...result});
        console.log(
          String(entries).padEnd(7),
          way.padEnd(11),
          name.padEnd(18),
          result.inTime.toFixed(3).padStart(7),
          result.turnedAway.toFixed(3).padStart(6),
          result.turnedAwayAfter.toFixed(3).padStart(6),
          String(result.worstInPause).padStart(4),
        );
      }
    }
  }
  if (values.json !== undefined) {
    writeFileSync(values.json, `${JSON.stringify(rows, null, 2)}\n`);
  }
}
