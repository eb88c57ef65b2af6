import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {
  SideHeartbeatReq,
  SideHeartbeatRes,
} from '../src/types/peer_messages.js';
import {createGrpcTransport} from '../src/wire/grpc_transport.js';
import {createRecordedMetrics} from '../standins/recording_runtime.js';
import {createVirtualClock} from '../standins/virtual_clock.js';
import {CALL_ARBITRARIES} from './support/message_arbitraries.js';
import {listen, newTransport} from './support/grpc_transports.js';

const SEED = 20261202;
const TIMEOUT_MS = 10_000;

const {req: REQ, res: RES} = CALL_ARBITRARIES.sideHeartbeat;

/** Messages that each share some of their fields with the one before. */
function drift<T extends object>(whole: readonly T[]): readonly T[] {
  const keys: readonly string[] = Object.keys(whole[0] ?? {});
  return whole.reduce<readonly T[]>((done, one, i) => {
    const before = done.at(-1);
    const kept = keys.filter((_, at) => before && (i >> (at % 4)) % 2 === 1);
    const same = kept.map(key => [key, before?.[key as keyof T]]);
    return [...done, {...one, ...Object.fromEntries(same)}];
  }, []);
}

describe('heartbeats over one stream', () => {
  test('come as they were given, whatever they share', async () => {
    const options = {seed: SEED, numRuns: 100};
    const reqs = drift<SideHeartbeatReq>(fc.sample(REQ, options));
    const answers = drift<SideHeartbeatRes>(fc.sample(RES, options));
    const heard: SideHeartbeatReq[] = [];
    const address = await listen({
      sideHeartbeat: async req => {
        heard.push(req);
        return answers[heard.length - 1] as SideHeartbeatRes;
      },
    });
    const transport = newTransport();
    const got: SideHeartbeatRes[] = [];
    for (const req of reqs) {
      const res = await transport.call(
        address,
        'sideHeartbeat',
        req,
        TIMEOUT_MS,
      );
      got.push(res.unsafeCoerce());
    }
    expect(heard).toEqual(reqs);
    expect(got).toEqual(answers);
  });

  test('cost at most 60 bytes each way when nothing has changed', async () => {
    const [req] = fc.sample(REQ, {seed: SEED, numRuns: 1});
    const [res] = fc.sample(RES, {seed: SEED, numRuns: 1});
    const address = await listen({sideHeartbeat: async () => res});
    const bytesOf = async (beats: number): Promise<number> => {
      const metrics = createRecordedMetrics();
      const transport = newTransport(metrics);
      for (let i = 0; i < beats; i++) {
        await transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
      }
      await transport.close();
      return metrics.total('onyxloft_peer_bytes_total', {kind: 'control'});
    };
    const more = (await bytesOf(110)) - (await bytesOf(10));
    expect(more / 100).toBeLessThan(2 * 60);
  });

  // The entry hears nothing of one heartbeat until its time is over, and the
  // side answers it later, when the entry already waits for the next answer.
  // Were the stream kept, the late answer would pass for that of the next. The
  // stream stands before: the time of the one that is held must not pass while
  // a busy machine still dials, since the side would hold the next one then.
  test('never take a late answer for that of the next', async () => {
    const [first, second] = fc.sample(RES, {seed: SEED, numRuns: 2});
    let release: (res: SideHeartbeatRes) => void = () => undefined;
    const held = new Promise<SideHeartbeatRes>(resolve => {
      release = resolve;
    });
    let calls = 0;
    const address = await listen({
      sideHeartbeat: () => {
        calls += 1;
        if (calls === 1) return Promise.resolve(second);
        if (calls === 2) return held;
        release(first);
        return Promise.resolve(second);
      },
    });
    const [req] = fc.sample(REQ, {seed: SEED, numRuns: 1});
    const transport = newTransport();
    await transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
    const late = await transport.call(address, 'sideHeartbeat', req, 50);
    expect(late.swap().unsafeCoerce()).toMatchObject({code: 'timeout'});
    const next = await transport.call(
      address,
      'sideHeartbeat',
      req,
      TIMEOUT_MS,
    );
    expect(next.unsafeCoerce()).toEqual(second);
    expect(calls).toBe(3);
  });

  test('tell a failed handler, and go on after it', async () => {
    const [res] = fc.sample(RES, {seed: SEED, numRuns: 1});
    let calls = 0;
    const address = await listen({
      sideHeartbeat: async () => {
        calls += 1;
        if (calls === 1) throw new Error('not now');
        return res;
      },
    });
    const [req] = fc.sample(REQ, {seed: SEED, numRuns: 1});
    const transport = newTransport();
    const call = () =>
      transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
    const failed = (await call()).swap().unsafeCoerce();
    expect(failed).toMatchObject({code: 'internal', peer: address});
    expect(failed.message).toContain('not now');
    expect((await call()).unsafeCoerce()).toEqual(res);
  });

  // A process closes while others send it heartbeats. Their streams have no
  // end of their own: the close would last until its grace is over, which the
  // clock of this test never reaches.
  test('hold up no close of the process that answers them', async () => {
    const [res] = fc.sample(RES, {seed: SEED, numRuns: 1});
    const [req] = fc.sample(REQ, {seed: SEED, numRuns: 1});
    const serving = createGrpcTransport({
      clock: createVirtualClock(),
      metrics: createRecordedMetrics(),
    });
    const listener = await serving.listen('127.0.0.1:0', {
      sideHeartbeat: async () => res,
    });
    const transport = newTransport();
    const call = () =>
      transport.call(listener.address, 'sideHeartbeat', req, TIMEOUT_MS);
    expect((await call()).unsafeCoerce()).toEqual(res);
    await listener.close();
    expect((await call()).isLeft()).toBe(true);
    await serving.close();
  });
});
