/** Reading the shared parts of a prompt from a request's header. */
import {describe, expect, test} from 'vitest';
import {sharedPartsOf} from '../../platform/prompt_parts.js';

const MAX_SHARED_PARTS = 64;

describe('the shared parts of a prompt', () => {
  test('are all but the last one, in order', () => {
    expect(sharedPartsOf('5c1e07a2:800,91bd3f06:410,e4402b7d:250')).toEqual([
      '5c1e07a2',
      '91bd3f06',
    ]);
  });

  test('are none without a header or with a single part', () => {
    expect(sharedPartsOf(undefined)).toEqual([]);
    expect(sharedPartsOf('')).toEqual([]);
    expect(sharedPartsOf('5c1e07a2:800')).toEqual([]);
  });

  test('are the same for other token counts and spellings', () => {
    expect(sharedPartsOf(' 5C1E07A2:1 ,91bd3f06, 1:2')).toEqual([
      '5c1e07a2',
      '91bd3f06',
    ]);
  });

  test('are each named once', () => {
    expect(sharedPartsOf('a:1,a:2,A:3,b:4')).toEqual(['a']);
  });

  test('leave out what cannot be read', () => {
    expect(sharedPartsOf('x:1,:2,,a b:3,-:4,ab:5,c:6')).toEqual(['ab']);
    expect(sharedPartsOf(`${'a'.repeat(65)}:1,b:2`)).toEqual([]);
  });

  test('are bounded in a header with thousands of parts', () => {
    const listed = Array.from({length: 8_000}, (_, at) => `${at}:1`);
    expect(sharedPartsOf(listed.join(','))).toHaveLength(MAX_SHARED_PARTS);
  });
});
