import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createRecordedMetrics} from '../../standins/recording_runtime.js';
import type {OfferReq, RunDown} from '../../src/types/peer_messages.js';
import type {Transport} from '../../src/types/transport.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createGrpcTransport} from '../../src/wire/grpc_transport.js';
import {startTestFleet} from '../support/process_fleet.js';
import type {TestFleet} from '../support/process_fleet.js';

const SIDE = 'side-service-1';
const TIMEOUT_MS = 10_000;

let fleet: TestFleet;
let transport: Transport;

beforeAll(async () => {
  fleet = await startTestFleet({engines: 1, services: 1, entries: 1});
  transport = createGrpcTransport({
    clock: createProcessClock(),
    metrics: createRecordedMetrics(),
  });
});

afterAll(async () => {
  await transport.close();
  await fleet.close();
});

const address = () =>
  fleet.file.processes.find(({name}) => name === SIDE)?.address ?? '';

/** Here the test plays the entry, so that it can stop between two messages. */
async function offer(dispatchId: string): Promise<OfferReq> {
  const beat = await transport.call(
    address(),
    'sideHeartbeat',
    {
      entry: 'test',
      entryIncarnation: 'i',
      entryAddress: '127.0.0.1:1',
      configNumber: 0,
      fence: 0,
      owned: [],
    },
    TIMEOUT_MS,
  );
  const req: OfferReq = {
    dispatchId,
    requestId: dispatchId.slice(0, -2),
    organisation: 'prairie-sky',
    weight: 1,
    entry: 'test',
    incarnation: beat.unsafeCoerce().incarnation,
    kind: 'call',
    model: '',
    adapter: '',
    priorityClass: 'interactive',
    priority: 1,
    timeLeftMs: 30_000,
    promptTokens: 0,
    maxTokens: 0,
    repeatable: false,
    prefixHashes: [],
    configNumber: 1,
  };
  const res = await transport.call(address(), 'offer', req, TIMEOUT_MS);
  expect(res.unsafeCoerce().kind).toBe('accepted');
  return req;
}

/** Sends go and the end of an empty body; gives the side's last frame. */
async function go(req: OfferReq): Promise<RunDown | undefined> {
  const {dispatchId, incarnation} = req;
  const channel = transport.openRun(address(), true);
  const call = {method: 'POST', path: '/permits', headers: []};
  await channel.send({
    kind: 'go',
    dispatchId,
    incarnation,
    timeLeftMs: 30_000,
    call,
  });
  await channel.send({kind: 'prompt-end', count: 0});
  let last: RunDown | undefined;
  await channel.frames
    .takeWhile(frame => {
      if (frame.kind !== 'beat') last = frame;
      return frame.kind !== 'end' && frame.kind !== 'failed';
    })
    .drain();
  channel.close();
  return last;
}

describe('an accepted offer of a call that may not repeat', () => {
  // The entry dies after its offer was accepted and before it says go. The
  // offer lapses. A go that was on its way all the time comes in afterwards:
  // by then "not run" may have been said, so it must not run.
  it('does not run when its go comes after it lapsed', async () => {
    const lapses = fleet.next(SIDE, 'offer-lapsed');
    const req = await offer('late.1');
    await lapses();
    expect(await go(req)).toMatchObject({kind: 'failed', ran: 'no'});
    expect(await fleet.runs('late')).toBe(0);
  });

  // The entry gave the offer up and was told that it never started; it has said
  // "not run" to the caller. The go, delayed on the way, comes in only now.
  it('does not run when its go comes after it was abandoned', async () => {
    const req = await offer('given-up.1');
    const {dispatchId, incarnation} = req;
    const res = await transport.call(
      address(),
      'abandon',
      {dispatchId, incarnation, entry: 'test'},
      TIMEOUT_MS,
    );
    expect(res.unsafeCoerce().state).toBe('never-started');
    expect(await go(req)).toMatchObject({kind: 'failed', ran: 'no'});
    expect(await fleet.runs('given-up')).toBe(0);
  });

  // The side is killed between accept and go. The next side at that address
  // knows nothing of the offer; a go made out to the dead one does not run.
  // Whether an earlier copy ran there it cannot know, and it does not say so.
  it('does not run on the next side when its own was killed', async () => {
    const req = await offer('killed.1');
    fleet.signal(SIDE, 'SIGKILL');
    await fleet.exited(SIDE);
    await fleet.restart(SIDE);
    expect(await go(req)).toMatchObject({kind: 'failed', ran: 'unknown'});
    expect(await fleet.runs('killed')).toBe(0);
  });

  it('runs once when its go comes in time, and twice', async () => {
    const req = await offer('in-time.1');
    expect(await go(req)).toMatchObject({kind: 'end'});
    await go(req);
    expect(await fleet.runs('in-time')).toBe(1);
  });
});
