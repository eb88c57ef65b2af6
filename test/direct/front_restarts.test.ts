/** Callers' requests after the service that accepts them failed and restarted. */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {
  callEntry,
  nextAddress,
  startDirectFleet,
  until,
} from '../support/direct_fleet.js';

/** Longer than the entry takes to read everything from the store. */
const HELD_MS = 1_000;

describe('an entry whose front end failed and restarted', () => {
  // An earlier process may still be bound to the address for a moment.
  test('serves as soon as its address is free', async () => {
    const callers = await nextAddress();
    const [host, port] = callers.split(':');
    const holder = createServer().listen(Number(port), host);
    const starting = startDirectFleet({callers});
    await sleep(HELD_MS);
    holder.close();
    const fleet = await starting;
    const answer = await callEntry(fleet, '/again/');
    await fleet.close();
    expect(answer.status).toBe(200);
  }, 30_000);

  // Guards against a server that goes on listening after its service has ended:
  // it refuses all requests, and the next one finds its address in use.
  test('serves after a failure while its server was being opened', async () => {
    const fleet = await startDirectFleet();
    const {kernel} = fleet.entry;
    const {events} = fleet.runtime;
    const fail = () => kernel.fail('direct', new Error('a fault'));
    const adoptions = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.configAdopted).length;
    const push = events.push.bind(events);
    let hasFailed = false;
    events.push = (...added) => {
      const count = push(...added);
      if (adoptions() === 2 && !hasFailed) {
        hasFailed = true;
        fail();
      }
      return count;
    };
    fail();
    await until(() => adoptions() === 3);
    await sleep(HELD_MS);
    const answer = await callEntry(fleet, '/again/');
    await fleet.close();
    expect(answer.status).toBe(200);
  });
});
