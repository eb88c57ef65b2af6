/** The event catalogue in the docs matches the events in the code. */
import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {limitKeyOf} from '../src/process/error_kinds.js';
import type {EventSpec} from '../src/types/runtime.js';
import * as catalogue from '../src/utils/events.js';

const ROW =
  /^\| (\d+) \| ([a-z-]+) \| (error|warn|info|debug) \| (.+) \| .+ \| .+ \|$/;
/** Field of a line that stands for others of its kind. */
const REPEATED = 'repeated';

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

/** Names of the events whose row in the docs has this field. */
function eventsWithField(field: string): readonly string[] {
  return readFileSync('docs/EVENTS.md', 'utf8')
    .split('\n')
    .flatMap(line => {
      const [, , name, , fields = ''] = ROW.exec(line) ?? [];
      return fields.split(', ').includes(field) ? [name] : [];
    });
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

  // Guards against a count in the log that operators can't look up.
  test('docs/EVENTS.md tells which lines count the ones that they stand for', () => {
    const limited = eventsInCode()
      .filter(event => limitKeyOf(event, {cause: ''}) !== undefined)
      .map(({name}) => name);
    expect(eventsWithField(REPEATED)).toEqual(limited);
  });
});
