/** Draining an entry, and replicas that leave. */
import {Agent} from 'node:http';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {streamTo} from '../../standins/users_platform/replica.js';
import {announce} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet();
});
afterEach(() => fleet.close());

const HEADERS = {'X-Token-Usage': '1000,100'};

describe('a draining entry', () => {
  // The drain starts during a stream. The entry still serves new requests for a
  // while and ends after the stream.
  test('answers every request that it has read completely', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(40, 20));
    const running = callEntry(fleet, '/stream/a', {headers: HEADERS});
    await until(() => fleet.pool.some(it => it.arrivals.length > 0));
    const drained = fleet.entry.drain();
    const late = await callEntry(fleet, '/again/');
    expect(late).toMatchObject({status: 200});
    expect(late.headers.connection).toBe('close');
    expect(await running).toMatchObject({status: 200, whole: true});
    await drained;
    await expect(callEntry(fleet, '/again/')).rejects.toThrow();
  });
});

describe('a keep-alive connection of a draining entry', () => {
  // The headers announced keep-alive before the drain. A later request on the
  // connection could come too late for a complete answer.
  test('is closed after the answer that was being sent', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(20, 10));
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const running = callEntry(fleet, '/stream/a', {headers: HEADERS, agent});
    await until(() => fleet.pool.some(it => it.arrivals.length > 0));
    await new Promise(resolve => setTimeout(resolve, 50));
    fleet.entry.drain().catch(() => undefined);
    expect(await running).toMatchObject({status: 200, whole: true});
    await until(() => Object.keys(agent.freeSockets).length === 0, 1_000);
    agent.destroy();
  });
});

describe('a replica that leaves', () => {
  test('gets no new work once the store reports it as draining', async () => {
    const [leaving] = fleet.desk;
    announce(fleet.store, leaving, 'desk', 'draining');
    await new Promise(resolve => setTimeout(resolve, 100));
    for (let at = 0; at < 6; at++) await callEntry(fleet, '/again/');
    expect(leaving.arrivals).toEqual([]);
  });

  // Records may expire during an outage of the store although the replicas
  // live. They are written again within two seconds.
  test('is used for a while when its record expired in an outage', async () => {
    fleet.store.setMode('busy');
    await new Promise(resolve => setTimeout(resolve, 1_500));
    for (const {id} of fleet.desk) fleet.store.remove('servers', id);
    fleet.store.setMode('well');
    await new Promise(resolve => setTimeout(resolve, 700));
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
    await until(async () => (await callEntry(fleet, '/again/')).status === 503);
  });
});
