/** Callers' requests after the service that accepts them failed and restarted. */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {
  callEntry,
  nextAddress,
  startDirectFleet,
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
});
