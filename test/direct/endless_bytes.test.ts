/** Replicas that send bytes without end instead of an answer, or behind one. */
import {afterEach, describe, expect, test} from 'vitest';
import {
  answerWell,
  eventText,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Arrival,
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import type {EventSpec} from '../../src/types/runtime.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';
import {drip, flood} from '../support/endless_bytes.js';
import type {Flooded, WriteEndless} from '../support/endless_bytes.js';
import {untilUnstarved, watchStarved} from '../support/starved.js';

const MB = 1024 * 1024;
const EVENTS = 6;
const WHOLE = Array.from({length: EVENTS}, (_, at) => eventText(at + 1)).join(
  '',
);
const HEADERS = {'X-Token-Usage': '1000,100'};
/** What the entry reads of bytes that are no answer, and what sockets hold. */
const MAX_READ_BYTES = 16 * MB;
/** A stream's caller waits at least 2 s for an event. */
const STREAM_MS = 2_000;
const CLOSED_MS = 1_500;
/** Time for an answer in hundreds of thousands of chunks. */
const SMALL_CHUNKS_MS = 5_000;
/** A replica gets no new work for so long after a first failure. */
const AVOIDED_MS = 250;
/** Streams until one is placed while the replica is avoided. */
const MAX_STREAMS = 5;
/** Memory that the entry, the replicas and the caller of a test may add. */
const MAX_ADDED_BYTES = 200 * MB;

interface Endless {
  head(arrival: Arrival): string;
  next(at: number): string;
}

const signedHead = (arrival: Arrival, framing: string) =>
  'HTTP/1.1 200 OK\r\n' +
  `X-Response-Seal: seal-${arrival.id}\r\nX-Request-Id: ${arrival.id}\r\n` +
  `${framing}\r\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const LENGTH = 'Content-Length: 1000000000000\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CLOSE = 'Connection: close\r\n';

const HEADS: ReadonlyArray<readonly [string, Endless]> = [
  [
    'one header line',
    {head: () => 'HTTP/1.1 200 OK\r\nX-Long: ', next: () => 'x'},
  ],
  [
    'headers',
    {head: () => 'HTTP/1.1 200 OK\r\n', next: at => `X-${at}: ${at}\r\n`},
  ],
  [
    'informational answers',
    {head: () => '', next: () => 'HTTP/1.1 102 Processing\r\n\r\n'},
  ],
  ['line ends', {head: () => '', next: () => '\r\n'}],
  ['bytes that are no HTTP', {head: () => '', next: () => '\u0001zz'}],
];

const stream = (next: Endless['next'], framing = CLOSE): Endless => ({
  head: arrival => signedHead(arrival, framing),
  next,
});
const BODIES: ReadonlyArray<readonly [string, Endless]> = [
  ['an event without an end', stream(() => 'data: piece piece\n')],
  ['an event on one line', stream(() => 'x')],
  ['comments', stream(() => ': comment\n\n')],
  ['comments without a blank line', stream(() => ': comment\n')],
  ['events without an id', stream(() => 'data: piece\n\n')],
  ['the same event', stream(() => eventText(1))],
  ['blank lines', stream(() => '\n\n')],
  [
    'chunks of an event without an end',
    stream(() => chunk('data: piece piece\n'), CHUNKED),
  ],
  ['a chunk extension', stream(at => (at === 0 ? '5;a=' : 'x'), CHUNKED)],
  [
    'trailers',
    stream(at => (at === 0 ? '0\r\n' : `X-${at}: ${at}\r\n`), CHUNKED),
  ],
  [
    'long chunk extensions',
    stream(() => `1;a=${'x'.repeat(8_000)}\r\n:\r\n`, CHUNKED),
  ],
];
const CALL_BODIES: ReadonlyArray<readonly [string, Endless]> = [
  ['a body of a huge length', stream(() => 'x', LENGTH)],
  ['a body without a length', stream(() => 'x', CLOSE)],
  ['a body in chunks', stream(() => chunk('x'.repeat(1_000)), CHUNKED)],
  ...BODIES.filter(([what]) => /extension|trailers/.test(what)),
];

let fleet: DirectFleet;
afterEach(() => fleet.close());

/** The replica that gets the first request sends bytes without end. */
function firstIsEndless(
  replicas: readonly ReplicaStandIn[],
  write: WriteEndless,
  endless: Endless,
  others: Behaviour,
) {
  let chosen: ReplicaStandIn | undefined;
  const floods: Flooded[] = [];
  for (const replica of replicas) {
    replica.answerState();
    replica.behave((arrival, res, req) => {
      chosen ??= replica;
      if (chosen !== replica) return others(arrival, res, req);
      floods.push(write(req.socket, endless.head(arrival), endless.next));
    });
  }
  return {floods, chosen: () => chosen};
}

const openStream = () => callEntry(fleet, '/stream/a', {headers: HEADERS});

/**
 * Measures the memory that is added while the call lasts, and its time without
 * that in which this process was ready and got no processor.
 */
async function measured<T>(call: () => Promise<T>) {
  const starvedMs = watchStarved();
  const before = process.memoryUsage();
  let added = 0;
  const measure = () => {
    const {rss} = process.memoryUsage();
    added = Math.max(added, rss - before.rss);
  };
  const timer = setInterval(measure, 20);
  const startedAt = performance.now();
  const result = await call().finally(() => clearInterval(timer));
  return {result, added, tookMs: performance.now() - startedAt - starvedMs()};
}

/** The connections are closed, and little was read from them. */
async function expectClosed(floods: readonly Flooded[]): Promise<void> {
  expect(floods.length).toBeGreaterThan(0);
  await untilUnstarved(() => floods.every(({isClosed}) => isClosed), CLOSED_MS);
  for (const {bytes} of floods) expect(bytes).toBeLessThan(MAX_READ_BYTES);
}

/**
 * Its failure counts, and no stream goes to the replica while it is avoided.
 * After that time it may be chosen again, and fails again: on a busy machine
 * more than that time may pass before the next stream, so another one follows.
 */
async function expectAvoided(replica: ReplicaStandIn | undefined) {
  const {runSilent, tryFailed, dispatched} = DIRECT_EVENTS;
  const lastOf = (...kinds: readonly EventSpec[]) =>
    fleet.runtime.events
      .filter(
        ({event, fields}) =>
          kinds.includes(event) && fields['replica'] === replica?.id,
      )
      .at(-1);
  expect(replica?.arrivals).toHaveLength(1);
  for (let streams = 0; streams < MAX_STREAMS; streams++) {
    const before = replica?.arrivals.length;
    const failedAt = lastOf(runSilent, tryFailed)?.at;
    if (failedAt === undefined) throw new Error('no failure is counted');
    const {body} = await openStream();
    if (replica?.arrivals.length === before) {
      expect(body).toBe(WHOLE);
      return;
    }
    expect(lastOf(dispatched)?.at).toBeGreaterThanOrEqual(
      failedAt + AVOIDED_MS,
    );
  }
  throw new Error('each stream went to the replica first');
}

function expectNoAnswer(answer: CallerAnswer | undefined): void {
  if (answer === undefined) return;
  const {'content-length': length, 'transfer-encoding': coding} =
    answer.headers;
  // Only a reset ends an answer without framing, and Node reports a reset that
  // comes behind unread bytes as an orderly end.
  if (answer.status === 200 && length === undefined && coding === undefined) {
    return;
  }
  const isFailure = answer.status === 502 || answer.status === 504;
  expect(isFailure || !answer.whole).toBe(true);
}

const WRITERS: ReadonlyArray<readonly [string, WriteEndless]> = [
  ['fast', flood],
  ['slowly', drip],
];

describe.each(WRITERS)(
  'a replica of a stream sends %s without end',
  (_, write) => {
    test.each([...HEADS, ...BODIES])(
      '%s, and another one answers',
      async (_what, endless) => {
        fleet = await startDirectFleet();
        const {floods, chosen} = firstIsEndless(
          fleet.pool,
          write,
          endless,
          streamTo(EVENTS),
        );
        const {result, added, tookMs} = await measured(openStream);
        expect(result).toMatchObject({status: 200, whole: true});
        expect(result.body.endsWith(WHOLE)).toBe(true);
        expect(tookMs).toBeLessThan(STREAM_MS);
        expect(added).toBeLessThan(MAX_ADDED_BYTES);
        await expectClosed(floods);
        // It counts as failed: the next stream goes to the other one.
        await expectAvoided(chosen());
      },
    );

    test.each([...HEADS, ...BODIES])(
      '%s, and no other one is there',
      async (_what, endless) => {
        fleet = await startDirectFleet({pool: 1});
        const {floods} = firstIsEndless(
          fleet.pool,
          write,
          endless,
          streamTo(EVENTS),
        );
        const {result, tookMs} = await measured(() =>
          openStream().catch(() => undefined),
        );
        expectNoAnswer(result);
        expect(tookMs).toBeLessThan(STREAM_MS);
        await expectClosed(floods);
      },
    );
  },
);

describe.each(WRITERS)(
  'a replica of a call sends %s without end',
  (_, write) => {
    test.each(HEADS)('%s, and another one answers', async (_what, endless) => {
      fleet = await startDirectFleet();
      const {floods, chosen} = firstIsEndless(
        fleet.desk,
        write,
        endless,
        answerWell,
      );
      const call = () =>
        callEntry(fleet, '/again/a', {headers: {'X-Deadline-Ms': '800'}});
      const answer = await call();
      // Its time may be up before slow bytes are too many.
      if (write === flood || answer.status === 200) {
        expect(answer).toMatchObject({status: 200, whole: true});
        expect(answer.body).toContain('answer to');
      } else expectNoAnswer(answer);
      await expectClosed(floods);
      if (write === flood) await call();
      expect(chosen()?.arrivals).toHaveLength(1);
    });

    test.each([...HEADS, ...CALL_BODIES])(
      '%s, and a call that may run only once fails in time',
      async (_what, endless) => {
        fleet = await startDirectFleet();
        const {floods} = firstIsEndless(fleet.desk, write, endless, answerWell);
        const {result, added, tookMs} = await measured(() =>
          callEntry(fleet, '/once/a').catch(() => undefined),
        );
        expectNoAnswer(result);
        expect(tookMs).toBeLessThan(1_500);
        expect(added).toBeLessThan(MAX_ADDED_BYTES);
        await untilUnstarved(
          () => floods.every(({isClosed}) => isClosed),
          CLOSED_MS,
        );
        expect(floods).toHaveLength(1);
      },
    );

    test('a body of a huge length, and another one answers', async () => {
      fleet = await startDirectFleet();
      const [[, endless]] = CALL_BODIES;
      const {floods} = firstIsEndless(fleet.desk, write, endless, answerWell);
      const answer = await callEntry(fleet, '/again/a');
      expect(answer).toMatchObject({status: 200, whole: true});
      await expectClosed(floods);
    });
  },
);

// Guards against a call that waits for an answer in small pieces until its time
// is up, though another replica could answer.
test('a replica sends a body in chunks of one byte, and another one answers', async () => {
  fleet = await startDirectFleet();
  const endless = stream(() => chunk('x'), CHUNKED);
  const {floods} = firstIsEndless(fleet.desk, flood, endless, answerWell);
  const answer = await callEntry(fleet, '/again/a');
  expect(answer).toMatchObject({status: 200, whole: true});
  await expectClosed(floods);
});

describe.each(WRITERS)('a replica sends %s without end', (_, write) => {
  const behind = (body: string, framing: string): Endless => ({
    head: arrival => signedHead(arrival, framing) + body,
    next: () => 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  });

  // Such bytes belong to no request, and the answer before them is whole.
  test.each([
    ['a length', behind('well', 'Content-Length: 4\r\n')],
    ['chunks', behind(`${chunk('well')}0\r\n\r\n`, CHUNKED)],
  ])('behind a whole answer with %s', async (_what, endless) => {
    fleet = await startDirectFleet();
    const {floods} = firstIsEndless(fleet.desk, write, endless, answerWell);
    const answer = await callEntry(fleet, '/once/a');
    expect(answer).toMatchObject({status: 200, body: 'well', whole: true});
    await expectClosed(floods);
  });

  test('behind a whole stream', async () => {
    fleet = await startDirectFleet();
    const endless = behind(`${chunk(WHOLE)}0\r\n\r\n`, CHUNKED);
    const {floods} = firstIsEndless(
      fleet.pool,
      write,
      endless,
      streamTo(EVENTS),
    );
    const answer = await openStream();
    expect(answer).toMatchObject({status: 200, body: WHOLE, whole: true});
    expect(floods).toHaveLength(1);
    await expectClosed(floods);
  });
});

// Guards against an answer that mixes two runs.
test('events without an id, and the caller gets those of one run alone', async () => {
  fleet = await startDirectFleet();
  const endless = stream(() => 'data: piece\n\n');
  firstIsEndless(fleet.pool, drip, endless, streamTo(EVENTS));
  expect((await openStream()).body).toBe(WHOLE);
});

// Guards against a sound replica that is taken for one without end.
describe('a sound replica', () => {
  const EVENT_TEXT = eventText(EVENTS);

  test('pauses within an event and goes on', async () => {
    fleet = await startDirectFleet({pool: 1});
    const cut = 5;
    fleet.pool[0].behave((arrival, _res, {socket}) => {
      socket.write(signedHead(arrival, CLOSE));
      socket.write(WHOLE.slice(0, -EVENT_TEXT.length + cut));
      setTimeout(() => socket.end(EVENT_TEXT.slice(cut)), 1_200);
    });
    const answer = await openStream();
    expect(answer).toMatchObject({status: 200, body: WHOLE, whole: true});
  });

  test('sends comments between its events', async () => {
    fleet = await startDirectFleet({pool: 1});
    const text = WHOLE.replaceAll('id:', ': comment\n\nid:');
    fleet.pool[0].behave((arrival, _res, {socket}) => {
      socket.end(signedHead(arrival, CLOSE) + text);
    });
    const answer = await openStream();
    expect(answer).toMatchObject({status: 200, body: text, whole: true});
  });

  test('sends a large answer of a call in small chunks', async () => {
    fleet = await startDirectFleet({desk: 1});
    // The route allows less time than a busy machine takes for the chunks.
    const {routes, ...rest} = configOf(2);
    const longer = routes.map(it => ({...it, timeoutMs: SMALL_CHUNKS_MS}));
    fleet.store.put('config', 'main', {...rest, routes: longer});
    const {eventsOf} = fleet.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.configAdopted).length > 1);
    const body = 'x'.repeat(300_000);
    fleet.desk[0].behave((arrival, _res, {socket}) => {
      socket.end(
        `${signedHead(arrival, CHUNKED)}${chunk('x').repeat(body.length)}` +
          '0\r\n\r\n',
      );
    });
    const answer = await callEntry(fleet, '/again/a', {
      headers: {'X-Deadline-Ms': String(SMALL_CHUNKS_MS)},
    });
    expect(answer.body.length).toBe(body.length);
    expect(answer.whole).toBe(true);
  });
});
