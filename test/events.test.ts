/** The event catalogue in the docs matches the events in the code. */
import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import type {EventSpec} from '../src/types/runtime.js';
import * as catalogue from '../src/utils/events.js';

const ROW =
  /^\| (\d+) \| ([a-z-]+) \| (error|warn|info|debug) \| .+ \| .+ \| .+ \|$/;

function eventsInCode(): readonly EventSpec[] {
  return Object.entries(catalogue)
    .filter(([name]) => name.endsWith('_EVENTS'))
    .flatMap(([, group]) => Object.values(group as Record<string, EventSpec>))
    .sort((a, b) => a.number - b.number);
}

function eventsInDocs(): readonly EventSpec[] {
  return readFileSync('docs/EVENTS.md', 'utf8')
    .split('\n')
    .filter(line => /^\| \d/.test(line))
    .map(line => {
      const match = ROW.exec(line);
      if (match === null)
        throw new Error(`row does not have the expected format: ${line}`);
      const [, number, name, level] = match;
      return {number: Number(number), name, level} as EventSpec;
    })
    .sort((a, b) => a.number - b.number);
}

describe('event catalogue', () => {
  test('docs/EVENTS.md lists exactly the events of the code', () => {
    expect(eventsInDocs()).toEqual(eventsInCode());
  });

  test('numbers and names are unique', () => {
    const events = eventsInCode();
    expect(new Set(events.map(event => event.number)).size).toBe(events.length);
    expect(new Set(events.map(event => event.name)).size).toBe(events.length);
  });
});
