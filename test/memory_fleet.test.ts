import {describe, expect, test} from 'vitest';
import {KERNEL_EVENTS} from '../src/utils/events.js';
import {finalOf} from '../standins/fleet_callers.js';
import type {Ask} from '../standins/fleet_callers.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';

const SHORT: Ask = {
  kind: 'completion',
  organisation: 'prairie-sky',
  promptTokens: 1_000,
  maxTokens: 20,
  timeLimitMs: 30_000,
  repeatable: true,
  priority: 1,
};
const CALL: Ask = {...SHORT, kind: 'call', promptTokens: 0, maxTokens: 0};

const smallFleet = (seed = 1) =>
  createMemoryFleet({
    seed,
    entries: 2,
    engines: 3,
    services: 1,
    failureDomains: ['hall-north', 'hall-south'],
  });

describe('a fleet in memory', () => {
  test('answers completions and calls whole', async () => {
    const fleet = smallFleet();
    await fleet.start();
    const asked = [fleet.submit(0, SHORT), fleet.submit(1, CALL)];
    await fleet.clock.runFor(5_000);
    for (const one of asked) {
      expect(finalOf(one)).toMatchObject({kind: 'end'});
      expect(one.text).toBe(one.expected);
    }
    expect(fleet.violations).toEqual([]);
    fleet.stop();
  });

  // An operator looks at the first lines of a log for what went wrong: a start
  // in good order must not warn of messages between its own services.
  test('starts without a message between services dropped', async () => {
    const fleet = smallFleet();
    await fleet.start();
    await fleet.clock.runFor(1_000);
    const dropped = fleet.events.filter(
      ({event}) => event.number === KERNEL_EVENTS.messageDropped.number,
    );
    expect(dropped).toEqual([]);
    fleet.stop();
  });

  test('cuts the callers of an entry that crashes, and resumes at another', async () => {
    const fleet = smallFleet();
    await fleet.start();
    const first = fleet.submit(0, {...SHORT, maxTokens: 100});
    await fleet.clock.runFor(1_000);
    fleet.entries[0]?.crash();
    const second = fleet.resume(1, first, first.nextSeq);
    await fleet.clock.runFor(10_000);
    expect(first).toMatchObject({cut: true, finals: 0});
    expect(second.finals).toBe(1);
    expect(first.text + second.text).toBe(first.expected);
    fleet.stop();
  });

  test('a frozen process goes on where it stood, and a restarted one serves', async () => {
    const fleet = smallFleet();
    await fleet.start();
    fleet.sides.forEach(side => side.freeze(2_000));
    const frozen = fleet.submit(0, SHORT);
    await fleet.clock.runFor(1_500);
    expect(frozen.text).toBe('');
    await fleet.clock.runFor(8_000);
    expect(frozen.finals).toBe(1);
    for (const side of fleet.sides) void side.restart();
    await fleet.clock.runFor(8_000);
    const later = fleet.submit(1, SHORT);
    await fleet.clock.runFor(8_000);
    expect(later.text).toBe(later.expected);
    fleet.stop();
  });

  test('the same seed gives the same run', async () => {
    const run = async (seed: number) => {
      const fleet = smallFleet(seed);
      await fleet.start();
      for (let at = 0; at < 10; at++) fleet.submit(at % 2, SHORT);
      await fleet.clock.runFor(3_000);
      fleet.stop();
      return JSON.stringify(fleet.events);
    };
    expect(await run(7)).toBe(await run(7));
    expect(await run(7)).not.toBe(await run(8));
  });
});
