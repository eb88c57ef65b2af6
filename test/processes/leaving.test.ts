import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  answerTo,
  openAnswer,
  promptOf,
  startTestFleet,
  until,
} from '../support/process_fleet.js';
import type {LiveAnswer, TestFleet} from '../support/process_fleet.js';

const TOKENS = 120;
const SLOW = 25;
/** Over the memory of two engines. */
const LONG_TOKENS = 990_000;
const NEW_REQUESTS = 12;

let fleet: TestFleet;
let number = 100;

beforeAll(async () => {
  fleet = await startTestFleet({engines: 3, services: 0});
});

afterAll(() => fleet.close());

interface Stream {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly answer: LiveAnswer;
}

function start(promptTokens: number, maxTokens: number): Stream {
  const prompt = promptOf(number++, promptTokens);
  const entryUrl = fleet.entryUrl((number % 2) + 1);
  const ask = fleet.ask(prompt, {entryUrl, maxTokens, repeatable: false});
  const idempotencyKey = `leaving-${number}`;
  return {prompt, maxTokens, answer: openAnswer({...ask, idempotencyKey})};
}

async function expectWhole(streams: readonly Stream[]): Promise<void> {
  for (const {prompt, maxTokens, answer} of streams) {
    await answer.ended;
    expect(answer.error()).toBeUndefined();
    expect(answer.whole()).toBe(true);
    expect(answer.text()).toBe(answerTo(prompt, maxTokens));
    expect(await fleet.runs(answer.requestId())).toBe(1);
  }
}

/** Streams in mid-answer on all engines; and the engine of the first. */
async function startStreams() {
  await fleet.engines({slowFactor: SLOW});
  const streams = Array.from({length: 9}, () => start(200, TOKENS));
  await until('answers have begun', () =>
    streams.every(({answer}) => answer.parts() >= 3),
  );
  const id = streams[0]?.answer.requestId() ?? '';
  const victim = await until('its place', () => fleet.placeOf(id));
  return {streams, victim};
}

async function begun(engine: number): Promise<number> {
  return Object.keys((await fleet.engine(engine)).runsStarted).length;
}

/** New requests at both entries are all served, none on that engine. */
async function expectNoNewWork(engine: number): Promise<void> {
  const before = await begun(engine);
  const more = Array.from({length: NEW_REQUESTS}, () => start(200, 5));
  await expectWhole(more);
  expect(await begun(engine)).toBe(before);
}

/** Both entries have seen the side's host in that state. */
function seenAs(engine: number, state: string) {
  const host = `host-side-engine-${engine}`;
  return until(`both entries see ${host} as ${state}`, () =>
    ['entry-1', 'entry-2'].every(entry => {
      const lines = fleet
        .log(entry)
        .filter(line => line.name === 'replica-state' && line['host'] === host);
      return lines.at(-1)?.['to'] === state;
    }),
  );
}

async function putHost(engine: number): Promise<void> {
  const line = fleet.plan.hosts.find(
    ({host}) => host === `host-side-engine-${engine}`,
  );
  await request(`${fleet.plan.hostListUrl}/v1/hosts/${line?.host}`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(line),
  });
}

describe('a host leaves', () => {
  // The platform marks a host as leaving while its engine is in mid-answer. As
  // soon as the entries have read the list, it gets nothing new, although its
  // side still takes offers. What runs there runs to its end.
  it('gets no new work once the host list says so', async () => {
    const {streams, victim} = await startStreams();
    const host = `host-side-engine-${victim}`;
    const url = `${fleet.plan.hostListUrl}/v1/hosts/${host}/leaving`;
    await request(url, {method: 'POST'});
    await seenAs(victim, 'leaving');
    await fleet.engines({slowFactor: 1});
    await expectNoNewWork(victim);
    await expectWhole(streams);
    await putHost(victim);
    await seenAs(victim, 'live');
  });

  // The host list is frozen, and the side is told to end. Its own word reaches
  // the entries with its heartbeats, or as the refusal of an offer. Its streams
  // end whole, then the process ends of itself, without having cut anything.
  it('gets no new work on its own word while the host list is frozen', async () => {
    const {streams, victim} = await startStreams();
    const side = `side-engine-${victim}`;
    await fleet.fault('host-list', {frozen: true});
    const exited = fleet.exited(side);
    const leaves = fleet.next(side, 'side-leaving');
    fleet.signal(side, 'SIGTERM');
    await leaves();
    const others = [1, 2, 3].filter(one => one !== victim);
    for (const one of others) {
      await fleet.fault(`engine-${one}`, {slowFactor: 1});
    }
    await expectNoNewWork(victim);
    await fleet.engines({slowFactor: 1});
    await expectWhole(streams);
    expect(await exited).toBe(0);
    await fleet.fault('host-list', {frozen: false});
    await fleet.restart(side);
    await seenAs(victim, 'live');
  });
});

describe('a graceful shutdown', () => {
  // An entry is told to end with streams in mid-answer and a prompt of nearly
  // a million tokens in prefill on all three engines. It takes nothing new, and ends only when each of its
  // callers has the whole answer.
  it('cuts no answer of an entry', async () => {
    await fleet.engines({slowFactor: SLOW});
    const atEntry = (tokens: number, maxTokens: number): Stream => {
      const prompt = promptOf(number++, tokens);
      const ask = fleet.ask(prompt, {maxTokens, timeLimitMs: 120_000});
      return {prompt, maxTokens, answer: openAnswer(ask)};
    };
    const streams = Array.from({length: 4}, () => atEntry(200, TOKENS));
    await until('answers have begun', () =>
      streams.every(({answer}) => answer.parts() >= 3),
    );
    const before = (await fleet.runIds()).size;
    const grouped = fleet.next('entry-1', 'group-decided');
    const long = atEntry(LONG_TOKENS, 20);
    await grouped();
    await until(
      'the long prompt is in prefill',
      async () => (await fleet.runIds()).size > before,
    );
    expect(long.answer.parts()).toBe(0);
    const exited = fleet.exited('entry-1');
    const drains = fleet.next('entry-1', 'drain-started');
    fleet.signal('entry-1', 'SIGTERM');
    await drains();
    await fleet.engines({slowFactor: 1});
    await expectWhole(streams);
    await long.answer.ended;
    expect(long.answer.error()).toBeUndefined();
    expect(long.answer.text()).toBe(answerTo(long.prompt, long.maxTokens));
    expect(await exited).toBe(0);
    await fleet.restart('entry-1');
  });

  // A second signal says that there is no time. The process ends at once and
  // logs how many requests it cut; their callers learn it from the connection.
  it('ends at once on a second signal, and logs what it cuts', async () => {
    await fleet.engines({slowFactor: SLOW});
    const {answer} = start(200, TOKENS);
    const entry = `entry-${(number % 2) + 1}`;
    await until('the answer has begun', () => answer.parts() >= 3);
    const exited = fleet.exited(entry);
    const drains = fleet.next(entry, 'drain-started');
    const cuts = fleet.next(entry, 'drain-ended');
    fleet.signal(entry, 'SIGTERM');
    await drains();
    fleet.signal(entry, 'SIGINT');
    expect(await exited).toBe(1);
    expect(await cuts()).toMatchObject({why: 'second signal SIGINT', open: 1});
    await answer.ended;
    expect(answer.whole()).toBe(false);
    await fleet.engines({slowFactor: 1});
    await fleet.memoryFree();
  });
});
