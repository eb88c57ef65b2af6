/** Calls to plain services are sent once and never aborted. */
import {Right} from 'purify-ts';
import {expect, describe, test} from 'vitest';
import {OnyxError} from '../src/types/errors.js';
import type {CallEvent, ServiceClient} from '../src/types/upstream.js';
import {pushStream} from '../src/upstream/push_stream.js';
import type {Push} from '../src/upstream/push_stream.js';
import {createSideRig} from './support/side_rig.js';

/** A service whose responses the test sends itself. */
function createFakeService() {
  const calls: Array<{readonly runId: string; readonly push: Push<CallEvent>}> =
    [];
  const client: ServiceClient = {
    call: runId =>
      pushStream<CallEvent>(push => {
        calls.push({runId, push});
        return () => undefined;
      }),
    report: () => Promise.resolve(Right({running: 0, capacity: 8, ageMs: 0})),
  };
  return {calls, client};
}

async function startCall(timeLeftMs = 60_000) {
  const service = createFakeService();
  const rig = await createSideRig({
    upstream: {kind: 'service', client: service.client},
  });
  const over = {
    kind: 'call' as const,
    model: '',
    repeatable: false,
    timeLeftMs,
  };
  await rig.offer('c1.0', over);
  const channel = rig.goWithPrompt('c1.0', timeLeftMs);
  await rig.clock.runFor(50);
  const [call] = service.calls;
  if (call === undefined) throw new Error('the service was not called');
  const head = {status: 200, headers: [{name: 'x-a', value: '1'}]};
  const finish = () => {
    call.push.event({kind: 'head', head});
    call.push.event({kind: 'data', data: Buffer.from('permit 7')});
    call.push.event({kind: 'done'});
    call.push.end();
  };
  return {rig, service, channel, call, head, finish};
}

describe('a call', () => {
  test('forwards status and body in numbered chunks, the head on chunk 0', async () => {
    const {rig, channel, head, finish} = await startCall();
    finish();
    await rig.clock.runFor(50);
    expect(channel.chunks()[0]).toMatchObject({seq: 0, callHead: head});
    expect(channel.text()).toBe('permit 7');
    expect(channel.last('end')).toMatchObject({count: 2});
  });

  test('is not aborted when its owner fails, and its result is kept', async () => {
    // After an abort nobody would know the outcome of the call. The caller
    // fetches it at another entry.
    const {rig, service, channel, finish} = await startCall();
    channel.silence();
    await rig.clock.runFor(20_000);
    await rig.abandon('c1.0');
    finish();
    await rig.clock.runFor(30_000);
    const other = rig.attach('c1.0', 0);
    await rig.clock.runFor(50);
    expect(other.text()).toBe('permit 7');
    expect(other.last('end')).toBeDefined();
    expect(service.calls).toHaveLength(1);
  });

  test('that breaks is not repeated and is reported as possibly run', async () => {
    const {rig, service, channel, call} = await startCall();
    call.push.error(
      new OnyxError({
        code: 'upstream-lost',
        step: 'run',
        message: 'reset',
        ran: 'unknown',
      }),
    );
    await rig.clock.runFor(30_000);
    expect(channel.last('failed')).toMatchObject({ran: 'unknown'});
    expect(service.calls).toHaveLength(1);
  });

  test('of which no byte was sent is reported as not run', async () => {
    const {rig, channel, call} = await startCall();
    call.push.error(
      new OnyxError({
        code: 'peer-unreachable',
        step: 'run',
        message: 'refused',
        ran: 'no',
      }),
    );
    await rig.clock.runFor(50);
    expect(channel.last('failed')).toMatchObject({ran: 'no'});
  });

  test('past its time limit fails at once and keeps its slot until it ends', async () => {
    // The service still executes the call. A new call in its slot would exceed
    // the service's limit.
    const {rig, channel, finish} = await startCall(2_000);
    await rig.clock.runFor(2_000);
    expect(channel.last('failed')).toMatchObject({
      code: 'deadline-exceeded',
      ran: 'unknown',
    });
    expect((await rig.status()).load.running).toBe(1);
    finish();
    await rig.clock.runFor(50);
    expect((await rig.status()).load.running).toBe(0);
  });
});
