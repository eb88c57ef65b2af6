import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../../demo/caller.js';
import {
  answerTo,
  openAnswer,
  promptOf,
  resumeAnswer,
  startTestFleet,
  until,
} from '../support/process_fleet.js';
import type {LiveAnswer, TestFleet} from '../support/process_fleet.js';

const TOKENS = 150;
const SLOW = 25;

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({engines: 1, relays: true});
});

afterAll(() => fleet.close());

/** Two answers under way: of one that may be repeated, and one that may not. */
async function startStreams(firstNumber: number) {
  await fleet.engines({slowFactor: SLOW});
  const streams = [true, false].map((repeatable, index) => {
    const prompt = promptOf(firstNumber + index, 200);
    const idempotencyKey = repeatable ? undefined : `silent-${firstNumber}`;
    const more = {maxTokens: TOKENS, repeatable, idempotencyKey};
    return {prompt, answer: openAnswer(fleet.ask(prompt, more))};
  });
  await until('answers have begun', () =>
    streams.every(({answer}) => answer.parts() >= 3),
  );
  return streams;
}

async function expectWhole(
  streams: ReadonlyArray<{
    readonly prompt: string;
    readonly answer: LiveAnswer;
  }>,
): Promise<void> {
  for (const {prompt, answer} of streams) {
    await answer.ended;
    expect(answer.error()).toBeUndefined();
    expect(answer.whole()).toBe(true);
    expect(answer.text()).toBe(answerTo(prompt, TOKENS));
    expect(await fleet.runs(answer.requestId())).toBe(1);
  }
}

describe('connections go silent while new ones work', () => {
  // Something between entry and side has lost track of their connections:
  // neither end is told. The entry misses the beats, dials anew and takes the
  // answers up from the next chunk. The caller sees a pause, and nothing runs
  // twice.
  it('takes answers up on new connections between entry and side', async () => {
    const streams = await startStreams(100);
    const seen = fleet.next('entry-1', 'channel-renewed');
    await fleet.fault('relay-side-engine-1', {silence: true});
    await seen();
    await fleet.engines({slowFactor: 1});
    await expectWhole(streams);
    await fleet.memoryFree();
  });

  // The same between a side and its engine, whose streams carry beats too: the
  // side resumes the run's tokens on a new connection.
  it('takes answers up on new connections between side and engine', async () => {
    const streams = await startStreams(200);
    const seen = fleet.next('side-engine-1', 'upstream-stream-broken');
    await fleet.fault('relay-side-engine-1-upstream', {silence: true});
    await seen();
    await fleet.engines({slowFactor: 1});
    await expectWhole(streams);
    await fleet.memoryFree();
  });

  // The caller's own connection falls silent. Nothing of ours can tell it so;
  // it misses the beats of the stream, dials anew and goes on from the last
  // event it has. The entry serves the new connection and drops the old one.
  it('lets a caller resume on a new connection to the same entry', async () => {
    const streams = await startStreams(300);
    await fleet.fault('relay-entry-1', {silence: true});
    const had = streams.map(({answer}) => answer.lastEventId());
    const resumed = streams.map(({prompt, answer}, index) => ({
      prompt,
      first: answer,
      rest: resumeAnswer(
        fleet.entryUrl(1),
        fleet.key(1),
        answer.requestId(),
        had[index],
      ),
    }));
    await fleet.engines({slowFactor: 1});
    for (const {prompt, first, rest} of resumed) {
      await rest.ended;
      first.abort();
      expect(rest.error()).toBeUndefined();
      expect(rest.whole()).toBe(true);
      expect(first.text() + rest.text()).toBe(answerTo(prompt, TOKENS));
      expect(await fleet.runs(first.requestId())).toBe(1);
    }
    await fleet.memoryFree();
  });

  // The entries' connections to the object API fall silent. A claim that is
  // asked for on one of them gets no answer; the entry dials anew within the
  // caller's time, and the call runs once.
  it('claims keys on new connections to the object API', async () => {
    const warm = await call(fleet.call({idempotencyKey: 'warm'}));
    expect(warm.status).toBe(200);
    await fleet.fault('relay-object-api', {silence: true});
    const outcome = await until('the claim is made', async () => {
      const one = await call(fleet.call({idempotencyKey: 'silent-claim'}));
      if (one.status === 200) return one;
      expect(one).toMatchObject({errorCode: 'store-unavailable', ran: 'no'});
      return undefined;
    });
    expect(await fleet.runs(outcome.requestId)).toBe(1);
  });
});
