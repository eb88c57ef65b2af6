/** Limits on the sizes of requests that change while requests come. */
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

/** Time in which a version reaches all callers. */
const CONFIG_MS = 1_000;
/** So long that it is not over when an entry is ready and was called. */
const FIRST_MS = 5_000;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({timing: {configMs: CONFIG_MS}});
});
afterEach(() => fleet.close());

async function setLimits(
  version: number,
  limits: Partial<ReturnType<typeof configOf>['limits']>,
): Promise<void> {
  const config = configOf(version);
  fleet.store.put('config', 'main', {
    ...config,
    limits: {...config.limits, ...limits},
  });
  await until(() =>
    fleet.runtime.events.some(
      ({event, fields}) =>
        event.name === 'direct-config-adopted' && fields['version'] === version,
    ),
  );
}

const callWith = (bodyBytes: number, headerBytes = 1) =>
  callEntry(fleet, '/again/', {
    body: 'x'.repeat(bodyBytes),
    headers: {'X-Large': 'x'.repeat(headerBytes)},
  });

describe('a request of a caller that does not know a lower limit yet', () => {
  // Guards against a refusal of a request that is proper by a version which may
  // still be in force for its caller.
  test('is served, and refused later', async () => {
    await setLimits(2, {maxBodyBytes: 100, maxHeaderBytes: 1_000});
    expect((await callWith(5_000)).status).toBe(200);
    expect((await callWith(10, 2_000)).status).toBe(200);
    await sleep(CONFIG_MS + 100);
    expect((await callWith(5_000)).status).toBe(413);
    expect((await callWith(10, 2_000)).status).toBe(431);
  });
});

describe('a request whose body is under way', () => {
  // Guards against the limit of the version with which the body began.
  test('is served by a limit that is raised meanwhile', async () => {
    const [host, port] = fleet.callers.split(':');
    const socket = connect(Number(port), host);
    let answer = '';
    socket.on('data', chunk => (answer += chunk.toString()));
    const half = 'x'.repeat(8_000);
    socket.write(
      `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: first\r\n` +
        `Authorization: Token ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n` +
        `${half.length.toString(16)}\r\n${half}\r\n`,
    );
    await sleep(100);
    await setLimits(2, {maxBodyBytes: 20_000});
    socket.write(`${half.length.toString(16)}\r\n${half}\r\n0\r\n\r\n`);
    await until(() => answer !== '');
    expect(answer).toContain('200 OK');
    socket.destroy();
  });
});

describe('a request that is too large for an entry that has just started', () => {
  // Guards against a refusal after which a caller sends nothing again, although
  // an older version which may still be in force for it allows the request.
  test('is refused as not run until callers can know the limits', async () => {
    const started = await startDirectFleet({timing: {configMs: FIRST_MS}});
    const call = (bodyBytes: number, headerBytes = 1) =>
      callEntry(started, '/again/', {
        body: 'x'.repeat(bodyBytes),
        headers: {'X-Large': 'x'.repeat(headerBytes)},
      });
    const chunked = () =>
      callEntry(started, '/again/', {
        body: 'x'.repeat(20_000),
        headers: {'Transfer-Encoding': 'chunked'},
      });
    expect((await call(20_000)).status).toBe(503);
    expect((await call(10, 6_000)).status).toBe(503);
    const early = await chunked();
    expect(early.status).toBe(503);
    expect(early.headers.connection).toBe('close');
    await sleep(FIRST_MS);
    expect((await call(20_000)).status).toBe(413);
    expect((await call(10, 6_000)).status).toBe(431);
    expect((await chunked()).status).toBe(413);
    await started.close();
  }, 20_000);
});
