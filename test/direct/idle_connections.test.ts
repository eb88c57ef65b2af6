/** Connections of callers that idle while the limits change. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {
  answerPath,
  ask,
  openIdleCaller,
  openRawCaller,
  startCallersServer,
  writeAndStall,
  requestText,
} from '../support/callers_server.js';
import type {CallersServerFixture} from '../support/callers_server.js';
import {until} from '../support/direct_fleet.js';

/** Callers reuse a connection that has idled for this share of the limit. */
const REUSE_SHARE = 0.8;
/** A connection is closed at most this much after its time, in milliseconds. */
const CLOSE_WITHIN_MS = 4_000;
/** A connection is kept for this much longer than its limit, in milliseconds. */
const MARGIN_MS = 2_000;
/** Time within which a connection is looked at after its time. */
const LOOK_WITHIN_MS = 2_000;

const fixtures: CallersServerFixture[] = [];
async function start(...args: Parameters<typeof startCallersServer>) {
  const fixture = await startCallersServer(...args);
  fixtures.push(fixture);
  return fixture;
}
afterEach(async () => {
  await Promise.all(fixtures.splice(0).map(({server}) => server.close()));
});

function statedMs(answer: string): number {
  return 1_000 * Number(/keep-alive: timeout=(\d+)/i.exec(answer)?.[1]);
}

const closings = ({runtime}: CallersServerFixture, cause: string) =>
  runtime.metrics.total('onyxloft_direct_callers_closed_total', {cause});

describe('a connection that idles', () => {
  // Guards against a request on a connection that is closed by the limit that
  // was in force when it began to idle.
  test('is kept for a limit that is raised meanwhile', async () => {
    const fixture = await start({idleTimeoutMs: 300});
    const caller = await openIdleCaller(fixture.address);
    const raisedMs = 4_000;
    fixture.setLimits({idleTimeoutMs: raisedMs});
    await sleep(REUSE_SHARE * raisedMs);
    expect(await ask(caller, '/second')).toContain('answer to /second');
  }, 10_000);

  // Guards against a request of a caller that does not know the lower limit yet.
  test('is kept for a limit that was lowered just before', async () => {
    const oldMs = 4_000;
    const fixture = await start({idleTimeoutMs: oldMs});
    fixture.setLimits({idleTimeoutMs: 300});
    const caller = await openIdleCaller(fixture.address);
    await sleep(REUSE_SHARE * oldMs);
    expect(await ask(caller, '/second')).toContain('answer to /second');
  }, 10_000);

  // Guards against an answer that states a time which is not kept, because its
  // request came before a lower limit.
  test('is kept for the time that its last answer stated', async () => {
    const fixture = await start({idleTimeoutMs: 5_000}, (req, res) => {
      if (req.url === '/first') answerPath(req, res);
      else setTimeout(() => answerPath(req, res), 500);
    });
    const caller = await openIdleCaller(fixture.address);
    const answer = ask(caller, '/second');
    await sleep(200);
    fixture.setLimits({idleTimeoutMs: 300});
    const stated = statedMs(await answer);
    expect(stated).toBeGreaterThan(0);
    await sleep(stated - 100);
    expect(await ask(caller, '/third')).toContain('answer to /third');
  }, 10_000);

  // Guards against a timer that closes it although a whole request has come
  // while the event loop stood still.
  test('is kept where a request lies unread when its time is over', async () => {
    const fixture = await start({idleTimeoutMs: 200});
    const caller = await openIdleCaller(fixture.address);
    await sleep(1_900);
    await writeAndStall(caller, requestText('/second'), 2_000);
    await until(() => caller.closedBy() !== undefined, 1_000).catch(() => {});
    expect(caller.text()).toContain('answer to /second');
  }, 10_000);

  // Guards against a reset, and against a request that runs and whose answer
  // cannot be written.
  test('is ended in order for a request that crosses its end', async () => {
    const fixture = await start({idleTimeoutMs: 200}, (req, res) => {
      if (res.socket?.writable) answerPath(req, res);
    });
    const caller = await openIdleCaller(fixture.address);
    await until(() => caller.closedBy() !== undefined, CLOSE_WITHIN_MS);
    caller.socket.write(requestText('/second'));
    let isReset = false;
    caller.socket.once('error', () => (isReset = true));
    const lost = () =>
      fixture.runtime.events.filter(
        ({event}) => event.name === 'direct-caller-closed',
      );
    await until(() => lost().length > 0);
    expect(lost()[0].fields).toMatchObject({
      cause: 'idle',
      connection: `127.0.0.1:${caller.socket.localPort}`,
    });
    expect(isReset).toBe(false);
    caller.socket.destroy();
  }, 10_000);

  // Guards against an idle time that begins anew at the first look, so that each
  // connection holds its descriptor for twice the limit.
  test('is closed at its time, counted from its last answer', async () => {
    const idleTimeoutMs = 4_000;
    const fixture = await start({idleTimeoutMs});
    const caller = await openIdleCaller(fixture.address);
    const answeredAt = performance.now();
    await until(() => caller.closedBy() !== undefined, 10_000);
    const idledMs = performance.now() - answeredAt;
    expect(idledMs).toBeGreaterThan(idleTimeoutMs);
    expect(idledMs).toBeLessThan(idleTimeoutMs + MARGIN_MS + LOOK_WITHIN_MS);
    caller.socket.destroy();
  }, 15_000);

  // Guards against descriptors that are never freed.
  test('is closed in the end, also after a lowered limit', async () => {
    const fixture = await start({idleTimeoutMs: 1_000});
    const before = await openIdleCaller(fixture.address);
    fixture.setLimits({idleTimeoutMs: 300});
    const after = await openIdleCaller(fixture.address);
    await until(
      () => before.closedBy() !== undefined && after.closedBy() !== undefined,
      1_000 + CLOSE_WITHIN_MS,
    );
    expect([before.closedBy(), after.closedBy()]).toEqual(['end', 'end']);
    await until(() => closings(fixture, 'idle') === 2);
    before.socket.destroy();
    after.socket.destroy();
  }, 10_000);
});

describe('a connection that was opened and not used', () => {
  // Guards against a refusal of a request that was not begun: the header limit
  // concerns heads under way.
  test('is kept for the idle limit', async () => {
    const fixture = await start({headersTimeoutMs: 300, idleTimeoutMs: 3_000});
    const caller = openRawCaller(fixture.address);
    await sleep(REUSE_SHARE * 3_000);
    expect(await ask(caller, '/first')).toContain('answer to /first');
  }, 10_000);

  // Guards against descriptors that are never freed.
  test('is closed in the end', async () => {
    const limits = {headersTimeoutMs: 300, idleTimeoutMs: 300};
    const fixture = await start(limits);
    const caller = openRawCaller(fixture.address);
    await until(() => caller.closedBy() !== undefined, CLOSE_WITHIN_MS);
    expect(caller.closedBy()).toBe('end');
    caller.socket.destroy();
  }, 10_000);
});
