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

/** Copies some fields of each message from the previous message. */
function shareSomeFields<T extends object>(whole: readonly T[]): readonly T[] {
  const keys: readonly string[] = Object.keys(whole[0] ?? {});
  return whole.reduce<readonly T[]>((done, one, i) => {
    const before = done.at(-1);
    const sharedKeys = keys.filter(
      (_, at) => before && (i >> (at % 4)) % 2 === 1,
    );
    const sharedEntries = sharedKeys.map(key => [
      key,
      before?.[key as keyof T],
    ]);
    return [...done, {...one, ...Object.fromEntries(sharedEntries)}];
  }, []);
}

describe('heartbeats over one stream', () => {
  test('are decoded unchanged, whichever fields they share', async () => {
    const options = {seed: SEED, numRuns: 100};
    const reqs = shareSomeFields<SideHeartbeatReq>(fc.sample(REQ, options));
    const answers = shareSomeFields<SideHeartbeatRes>(fc.sample(RES, options));
    const receivedRequests: SideHeartbeatReq[] = [];
    const address = await listen({
      sideHeartbeat: async req => {
        receivedRequests.push(req);
        return answers[receivedRequests.length - 1] as SideHeartbeatRes;
      },
    });
    const transport = newTransport();
    const receivedAnswers: SideHeartbeatRes[] = [];
    for (const req of reqs) {
      const res = await transport.call(
        address,
        'sideHeartbeat',
        req,
        TIMEOUT_MS,
      );
      receivedAnswers.push(res.unsafeCoerce());
    }
    expect(receivedRequests).toEqual(reqs);
    expect(receivedAnswers).toEqual(answers);
  });

  test('cost at most 60 bytes each way when nothing has changed', async () => {
    const [req] = fc.sample(REQ, {seed: SEED, numRuns: 1});
    const [res] = fc.sample(RES, {seed: SEED, numRuns: 1});
    const address = await listen({sideHeartbeat: async () => res});
    const bytesOf = async (heartbeats: number): Promise<number> => {
      const metrics = createRecordedMetrics();
      const transport = newTransport(metrics);
      for (let i = 0; i < heartbeats; i++) {
        await transport.call(address, 'sideHeartbeat', req, TIMEOUT_MS);
      }
      await transport.close();
      return metrics.total('onyxloft_peer_bytes_total', {kind: 'control'});
    };
    const addedBytes = (await bytesOf(110)) - (await bytesOf(10));
    expect(addedBytes / 100).toBeLessThan(2 * 60);
  });

  // The answer of a timed-out heartbeat must not count for the next one. The
  // first call connects, so that a slow dial can't use up the 50 ms timeout.
  test('never match a late answer to the next heartbeat', async () => {
    const [first, second] = fc.sample(RES, {seed: SEED, numRuns: 2});
    let release: (res: SideHeartbeatRes) => void = () => undefined;
    const delayedAnswer = new Promise<SideHeartbeatRes>(resolve => {
      release = resolve;
    });
    let calls = 0;
    const address = await listen({
      sideHeartbeat: () => {
        calls += 1;
        if (calls === 1) return Promise.resolve(second);
        if (calls === 2) return delayedAnswer;
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

  test('report a failed handler and continue after it', async () => {
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

  // Heartbeat streams do not end by themselves, so a close could wait for its
  // full grace time. The clock of this test never reaches that time.
  test('do not delay the close of the process that answers them', async () => {
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
