/** Records of other programs in the kind of the configuration. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {ForeignBytes} from '../../standins/users_platform/store.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const KIND = 'config';
const WRITES = 30;
/** Calls to list the configuration that the entry may make for other reasons. */
const MOST_LISTS = WRITES / 5;
const WRITE_INTERVAL_MS = 20;
/** An entry lists the configuration more often shortly after its start. */
const AFTER_START_MS = 2_500;
const VALID = JSON.stringify(configOf(7));
const MAIN =
  '{"object":{"metadata":{"name":"main","revision":9},"spec":null},"removed":true}';

const CONTENTS: ReadonlyArray<readonly [what: string, spec: unknown]> = [
  ['valid content', configOf(7)],
  ['unreadable content', {version: 'none'}],
  ['a syntax error', new ForeignBytes('{zz}')],
  ['a string without its end', new ForeignBytes('{"a":"b')],
  [
    'the removal of the configuration',
    new ForeignBytes(
      `${VALID},"status":null},"removed":false},${MAIN},{"a":zz`,
    ),
  ],
];

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({pool: 1, desk: 1});
});
afterEach(() => fleet.close());

const callsOf = (step: string): number => {
  const lines = fleet.runtime.metrics.render().split('\n');
  return lines
    .filter(line => line.includes(`step="${step}"`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
};
const appliedVersions = () =>
  fleet.runtime
    .eventsOf(DIRECT_EVENTS.configAdopted)
    .map(({fields}) => fields['version']);

describe.each(CONTENTS)('records with %s', (_what, spec) => {
  // Guards against entries that call the store without a pause because another
  // program writes records of its own.
  test('cost no list each, and a new configuration is applied beside them', async () => {
    await sleep(AFTER_START_MS);
    const listsBefore = callsOf(`list ${KIND}`);
    for (let at = 0; at < WRITES; at++) {
      fleet.store.put(KIND, `foreign-${at % 3}`, spec);
      await sleep(WRITE_INTERVAL_MS);
    }
    fleet.store.put(KIND, 'main', configOf(2));
    fleet.store.put(KIND, 'foreign', spec);
    await until(() => appliedVersions().at(-1) === 2);
    expect(callsOf(`list ${KIND}`) - listsBefore).toBeLessThanOrEqual(
      MOST_LISTS,
    );
    expect(callsOf(`watch ${KIND}`)).toBeGreaterThan(2);
  });

  // Guards against a configuration that is lost where an answer also shows a
  // record whose bytes look like a later change of it.
  test('hide no new configuration that the same answer shows', async () => {
    await sleep(AFTER_START_MS);
    // The first record ends the watch, so that the next one shows the others.
    fleet.store.put(KIND, 'foreign-1', spec);
    fleet.store.put(KIND, 'main', configOf(2));
    fleet.store.put(KIND, 'foreign-2', spec);
    await until(() => appliedVersions().at(-1) === 2);
  });
});
