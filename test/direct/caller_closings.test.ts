/** What the log and the metrics show of closed connections of callers. */
import {afterEach, describe, expect, test} from 'vitest';
import {streamTo} from '../../standins/users_platform/replica.js';
import {
  openIdleCaller,
  openRawCaller,
  startCallersServer,
} from '../support/callers_server.js';
import type {
  CallersServerFixture,
  RawCaller,
} from '../support/callers_server.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';

const CLOSED_TOTAL = 'onyxloft_direct_callers_closed_total';
/** Longest time until an idle connection is closed, in milliseconds. */
const CLOSED_WITHIN_MS = 8_000;

const connectionOf = ({socket}: RawCaller) =>
  `127.0.0.1:${socket.localPort ?? ''}`;

describe('a connection that the entry closes', () => {
  let fixture: CallersServerFixture;
  afterEach(() => fixture.server.close());

  // Guards against a log that is filled by what happens all the time.
  test('is only counted where no request was left', async () => {
    fixture = await startCallersServer({idleTimeoutMs: 100});
    const caller = await openIdleCaller(fixture.address);
    const labels = {cause: 'idle', unanswered: 'false'};
    const closed = () => fixture.runtime.metrics.total(CLOSED_TOTAL, labels);
    await until(() => closed() === 1, CLOSED_WITHIN_MS);
    expect(caller.closedBy()).toBe('end');
    expect(fixture.runtime.events).toEqual([]);
    caller.socket.destroy();
  });

  // Guards against a lost request that no line tells of, since its id was not
  // read.
  test('is named in the log where bytes of a request had come', async () => {
    fixture = await startCallersServer({headersTimeoutMs: 200});
    const caller = openRawCaller(fixture.address);
    caller.socket.write('GET /first HTTP/1.1\r\nX-Request-Id: fir');
    await until(() => fixture.runtime.events.length > 0);
    const [{event, fields}] = fixture.runtime.events;
    expect(event.name).toBe('direct-caller-closed');
    expect(fields).toMatchObject({
      connection: connectionOf(caller),
      cause: 'headers late',
      limitMs: 200,
    });
    const labels = {cause: 'headers late', unanswered: 'true'};
    expect(fixture.runtime.metrics.total(CLOSED_TOTAL, labels)).toBe(1);
    caller.socket.destroy();
  });
});

// Guards against lines of two logs that cannot be matched.
test('a request whose caller left is logged with its connection', async () => {
  const fleet = await startDirectFleet();
  for (const replica of fleet.pool) replica.behave(streamTo(40, 20));
  const leave = {leaveAt: (body: string) => body.includes('id: 3')};
  const headers = {'X-Token-Usage': '1000,100'};
  await callEntry(fleet, '/stream/a', {headers, ...leave}).catch(() => {});
  const lines = () =>
    fleet.runtime.events.filter(it => it.event.name === 'direct-caller-left');
  await until(() => lines().length > 0);
  expect(lines()[0].fields['connection']).toMatch(/^127\.0\.0\.1:\d+$/);
  await fleet.close();
});
