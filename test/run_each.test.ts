/** Steps that run though another one fails. */
import {beforeEach, describe, expect, test} from 'vitest';
import {runAll, runEach, runTwice, visitAll} from '../src/utils/run_each.js';

let ran: string[];
beforeEach(() => {
  ran = [];
});
const step = (name: string) => () => void ran.push(name);
const failing = (name: string) => () => {
  ran.push(name);
  throw new Error(name);
};

describe('steps where some fail', () => {
  // Guards against a line that fails and keeps its request from an end.
  test('all run, and the caller learns that one failed', () => {
    expect(runEach([failing('a'), step('b'), failing('c'), step('d')])).toBe(
      false,
    );
    expect(ran).toEqual(['a', 'b', 'c', 'd']);
    expect(runEach([step('e')])).toBe(true);
    expect(runEach([])).toBe(true);
  });

  // Guards against an error that nobody learns of, and against the last error in
  // place of the one that caused it.
  test('all run before the first error is thrown', () => {
    expect(() => runAll([step('a'), failing('b'), failing('c')])).toThrow('b');
    expect(ran).toEqual(['a', 'b', 'c']);
    expect(() => runAll([step('d')])).not.toThrow();
  });

  // Guards against an error without a value that passes for none.
  test('all run before a thrown undefined is thrown', () => {
    let thrown = 0;
    const fail = () => {
      throw undefined;
    };
    try {
      runAll([fail, step('a')]);
    } catch {
      thrown++;
    }
    expect([thrown, ran]).toEqual([1, ['a']]);
  });

  // Guards against one connection that keeps the others from their checks.
  test('of a loop visit each item', () => {
    const visit = (name: string) => (name === 'b' ? failing : step)(name)();
    expect(() => visitAll(new Set(['a', 'b', 'c']), visit)).toThrow('b');
    expect(ran).toEqual(['a', 'b', 'c']);
  });
});

describe('a step of bookkeeping', () => {
  // Guards against a count that a drain waits for and that one error leaves wrong.
  test('runs once more after an error, and only then', () => {
    runTwice(step('well'));
    let calls = 0;
    runTwice(() => {
      if (++calls === 1) throw new Error('once');
      ran.push('second');
    });
    expect(ran).toEqual(['well', 'second']);
  });

  // Guards against an error that lasts and is lost.
  test('tells an error at both times', () => {
    expect(() => runTwice(failing('a'))).toThrow('a');
    expect(ran).toEqual(['a', 'a']);
  });
});
