/** Answers to those outside while a service takes no messages. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createHandover} from '../../src/direct/handover.js';
import {createKnowledgeReports} from '../../src/direct/followed/knowledge_reports.js';
import type {OwnKnowledge} from '../../src/direct/followed/knowledge_reports.js';
import {
  READY_LIMIT_MS,
  readyStatus,
} from '../../src/direct/listening/ready_status.js';
import {createReadyServer} from '../../src/direct/ready_server.js';
import type {EntryAddress, StoreKnowledge} from '../../src/direct/types.js';
import type {ServiceContext} from '../../src/types/kernel.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {nextAddress} from '../support/direct_fleet.js';
import {recordUncaughtErrors} from '../support/uncaught_errors.js';
import type {UncaughtErrors} from '../support/uncaught_errors.js';

/** Within this a load balancer or a peer has an answer, in milliseconds. */
const IN_TIME_MS = 1_000;
/** A query of a peer is given up after this, in milliseconds. */
const QUERY_MS = 400;

let releases: Array<() => unknown>;
let uncaught: UncaughtErrors;
beforeEach(() => {
  releases = [];
  uncaught = recordUncaughtErrors();
});
afterEach(() => {
  releases.forEach(release => release());
  uncaught.stop();
  expect(uncaught.errors).toEqual([]);
});

/** A context whose services take no messages. */
function silentContext<N extends 'ready' | 'handover' | 'followed'>(
  clock = createProcessClock(),
): ServiceContext<N> {
  return {
    ...createRecordingRuntime().runtime,
    clock,
    ask: () => new Promise(() => undefined),
    own: (release: () => unknown) => releases.push(release),
    mailbox: {observe: () => undefined},
  } as unknown as ServiceContext<N>;
}

describe('a readiness check', () => {
  // Guards against a check that waits until its own time limit.
  test('is answered 503 though the service takes no messages', async () => {
    const [ready, metrics] = [await nextAddress(), await nextAddress()];
    await createReadyServer({ready, metrics}).start(silentContext());
    const startedAt = performance.now();
    const signal = AbortSignal.timeout(4 * IN_TIME_MS);
    const res = await fetch(`http://${ready}/api/ready`, {signal});
    expect(res.status).toBe(503);
    expect(performance.now() - startedAt).toBeLessThan(IN_TIME_MS);
  });

  // Guards against an answer that comes late and ends something, or counts for a
  // later check.
  test.each([
    {late: 'an answer', settle: (done: (ready: boolean) => void) => done(true)},
    {
      late: 'an error',
      settle: (_: unknown, fail: (err: Error) => void) => fail(new Error('no')),
    },
  ])('is not harmed by $late after the limit', async ({settle}) => {
    const {clock} = createRecordingRuntime();
    const status = readyStatus(
      clock,
      () =>
        new Promise((done, fail) =>
          clock.after(2 * READY_LIMIT_MS, () => settle(done, fail)),
        ),
    );
    await clock.runFor(READY_LIMIT_MS);
    expect(await status).toBe(503);
    await clock.runFor(2 * READY_LIMIT_MS);
    expect(clock.pending()).toBe(0);
    expect(await readyStatus(clock, async () => true)).toBe(200);
  });

  // Guards against a time limit that replaces what the service says.
  test.each([
    {says: true, status: 200},
    {says: false, status: 503},
  ])('has the status $status where the service says $says', async it => {
    const {clock} = createRecordingRuntime();
    expect(await readyStatus(clock, async () => it.says)).toBe(it.status);
    expect(clock.pending()).toBe(0);
  });

  // Guards against a check without an answer while a step of it fails.
  test('is answered 503 where no time limit can be set', async () => {
    const after = () => {
      throw new Error('no timer');
    };
    const silent = () => new Promise<boolean>(() => undefined);
    expect(await readyStatus({after}, silent)).toBe(503);
  });
});

// Guards against a peer that waits for a handover as long as it may be silent.
test('a handover is cut in time though the services take no messages', async () => {
  const [ip, port] = (await nextAddress()).split(':');
  const self = {node: 'a', incarnation: 'i', ip, port: Number(port)};
  const handover = createHandover({self: self as EntryAddress});
  await handover.start(silentContext());
  const startedAt = performance.now();
  await expect(fetch(`http://${ip}:${port}/config`)).rejects.toThrow();
  expect(performance.now() - startedAt).toBeLessThan(IN_TIME_MS);
});

// Guards against a peer whose query gets no answer, though what this entry knows of
// the store needs no other service.
test('a query is answered without evidence where none is told in time', async () => {
  const {clock} = createRecordingRuntime();
  const known = {configVersion: 7} as OwnKnowledge;
  const reports = createKnowledgeReports(silentContext(clock), () => known);
  const answers: StoreKnowledge[] = [];
  void reports.reply(knowledge => answers.push(knowledge));
  await clock.runFor(QUERY_MS);
  expect(answers).toMatchObject([{configVersion: 7}]);
  expect(answers[0].evidenceAgeMs).toBeUndefined();
  expect(clock.pending()).toBe(0);
});
