/** Telling this entry's followers of a restore of the store that a peer saw. */
import {expect, test} from 'vitest';
import {createToldEra} from '../../src/direct/followed/told_era.js';

function createFixture(failing: string) {
  let hasFailed = false;
  const steps: string[] = [];
  const run = (step: string) => {
    steps.push(step);
    if (step !== failing || hasFailed) return;
    hasFailed = true;
    throw new Error(`not ${step}`);
  };
  return {
    steps,
    tell: createToldEra([
      era => run(`told ${era}`),
      era => run(`observed ${era}`),
    ]),
  };
}

test('a restore is told once', () => {
  const {steps, tell} = createFixture('none');
  [2, 2, 3].forEach(tell);
  expect(steps).toEqual([
    ...['told 2', 'observed 2'],
    ...['told 3', 'observed 3'],
  ]);
});

// Guards against replicas and keys of the time before a restore that stay in use
// since one error kept it from being told.
test.each(['told 2', 'observed 2'])(
  'a restore is told again at the next answer after an error: %s',
  failing => {
    const {steps, tell} = createFixture(failing);
    expect(() => tell(2)).toThrow(`not ${failing}`);
    tell(2);
    tell(2);
    const once = ['told 2', 'observed 2'];
    expect(steps).toEqual([...once, ...once]);
  },
);
