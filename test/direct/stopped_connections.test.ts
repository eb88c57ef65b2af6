/** Connections of callers that idle when the entry stops accepting. */
import {afterEach, describe, expect, test} from 'vitest';
import {
  openIdleCaller,
  requestText,
  startCallersServer,
  writeAndStall,
} from '../support/callers_server.js';
import type {CallersServerFixture} from '../support/callers_server.js';
import {until} from '../support/direct_fleet.js';

let fixture: CallersServerFixture;
afterEach(() => fixture.server.close());

describe('a connection that idles when the entry stops accepting', () => {
  // Guards against a reset of a whole request that has come while the event
  // loop stood still.
  test('is kept until a request that lies unread is answered', async () => {
    fixture = await startCallersServer({});
    const caller = await openIdleCaller(fixture.address);
    setTimeout(() => fixture.server.stopAccepting(), 10);
    await writeAndStall(caller, requestText('/second'), 200);
    await until(() => caller.text().includes('/second'), 1_000).catch(() => {});
    expect(caller.text()).toContain('answer to /second');
    // A caller that keeps such a connection would be reset by the end.
    await until(() => caller.closedBy() === 'end', 2_000);
    caller.socket.destroy();
  });

  test('is ended', async () => {
    fixture = await startCallersServer({});
    const caller = await openIdleCaller(fixture.address);
    void fixture.server.stopAccepting();
    await until(() => caller.closedBy() === 'end', 1_000);
    caller.socket.destroy();
  });
});
