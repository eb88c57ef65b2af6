/** Errors of a mailbox itself, beside those of its observer. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {createMailbox} from '../src/kernel/mailbox.js';

const MARKED = {kind: 'marked'};
const {shift} = Array.prototype;
afterEach(() => {
  Array.prototype.shift = shift;
});

/** Lets the queue of the mailbox throw while `isBroken` holds. */
function breakQueue(isBroken: () => boolean): void {
  Array.prototype.shift = function (this: unknown[]) {
    if (this[0] === MARKED && isBroken()) throw new Error('no queue');
    return Reflect.apply(shift, this, []) as unknown;
  };
}

// Guards against a process that neither reads nor answers anything, since one
// message that can't be taken is tried again and again in the same turn.
test('a mailbox whose messages cannot be taken lets the process go on', async () => {
  let isBroken = true;
  let failures = 0;
  const taken: unknown[] = [];
  const mailbox = createMailbox<unknown>({
    goesOn: true,
    onError: () => {
      failures++;
      // Ends the test where the loop never turns.
      if (failures > 100_000) isBroken = false;
    },
  });
  void mailbox.stream.observe(message => void taken.push(message));
  breakQueue(() => isBroken);
  mailbox.push(MARKED);
  await sleep(20);
  isBroken = false;
  expect(failures).toBeGreaterThan(0);
  expect(failures).toBeLessThan(100_000);
  await sleep(20);
  expect(taken).toEqual([MARKED]);
});

// Guards against messages that wait for a later one behind an error at one.
test('a mailbox delivers the messages behind one whose observer throws', async () => {
  const taken: unknown[] = [];
  const errors: unknown[] = [];
  const mailbox = createMailbox<number>({
    goesOn: true,
    onError: err => void errors.push(err),
  });
  void mailbox.stream.observe(message => {
    if (message === 1) throw new Error('one');
    taken.push(message);
  });
  for (const message of [0, 1, 2]) mailbox.push(message);
  await sleep(20);
  expect(taken).toEqual([0, 2]);
  expect(errors).toHaveLength(1);
});
