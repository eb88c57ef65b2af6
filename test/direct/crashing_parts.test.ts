/** Parts of prompts that crash each replica that begins to answer them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {
  answerWell,
  eventText,
  signed,
  streamTo,
  withoutFraming,
} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {partDigestOf} from '../../src/direct/crashes/request_digest.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';
import {
  endUnderParts,
  servedShare,
  startTraffic,
} from '../support/part_traffic.js';
import type {Ending} from '../support/part_traffic.js';

const REPLICAS = 16;
const HEADERS = {'X-Token-Usage': '1000,100'};
const GROUP_HEADERS = {'X-Token-Usage': '18000,100'};
/** Bounds are counted from this crash on. */
const FIFTH = 5;
/** Time within which entries must know; from the users' bounds. */
const KNOWN_MS = 3_000;
/** Requests with the part that replicas may still get after that time. */
const MAX_LATER_SENDS = 3;
/** Sound requests must be served again after this time. */
const CALM_MS = 6_000;
const MEASURED_MS = 2_000;
/** Share of what was served before that must be served then. */
const LEAST_SERVED = 0.5;
const WARM_UP_MS = 1_500;

const F = 'f1';
// Ids of parts are hexadecimal; others are not read.
const S = 'c1';
const B = 'b1';
const SOUND: Behaviour = streamTo(4, 25);

/** Crashes before a byte of the answer. */
const crashAtOnce: Ending = replica => replica.crash();
/** Crashes in the middle of its events. */
const crashMidway: Ending = (replica, ...run) => {
  SOUND(...run);
  setTimeout(() => replica.crash(), 60);
};
/** Its host closes its connections in order after one whole event. */
const endAfterEvent: Ending = (replica, arrival, res, req) => {
  withoutFraming((it, answer) => {
    answer.writeHead(200, signed(it));
    answer.write(eventText(1));
    setTimeout(() => replica.endInOrder(), 30);
  })(arrival, res, req);
};

let open: DirectFleet[] = [];
afterEach(async () => {
  for (const fleet of open.reverse()) await fleet.close();
  open = [];
});

interface Case {
  readonly ending?: Ending;
  readonly other?: Behaviour;
  readonly service?: 'pool' | 'desk';
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Parts that crash replicas. */
  readonly badParts?: readonly string[];
  readonly sound?: (at: number) => readonly string[];
  readonly bad?: (at: number) => readonly string[];
  /** Called after the fifth crash. */
  readonly disturb?: (
    first: DirectFleet,
    entries: DirectFleet[],
  ) => Promise<void>;
}

async function start(
  options: Parameters<typeof startDirectFleet>[0],
): Promise<DirectFleet> {
  const fleet = await startDirectFleet(options);
  open.push(fleet);
  return fleet;
}

/** Plays sound and bad requests; tells what reached replicas, and who paid. */
async function play({
  ending = crashAtOnce,
  other = SOUND,
  service = 'pool',
  path = '/stream/a',
  headers = HEADERS,
  badParts = [B],
  sound = () => [F, S],
  bad = () => [F, B],
  disturb = () => Promise.resolve(),
}: Case) {
  const first = await start({[service]: REPLICAS});
  const second = await start({node: 'entry-2', sharedFleet: first});
  const entries = [first, second];
  const crashes = endUnderParts(
    first.store,
    service,
    first[service],
    badParts,
    {ending, other},
  );
  const traffic = startTraffic({
    entries: () => entries,
    path,
    headers,
    sound,
    bad,
  });
  const startedAt = performance.now();
  await sleep(WARM_UP_MS);
  const badAt = performance.now();
  traffic.startBad();
  await until(() => crashes.endedAt.length >= FIFTH, 10_000).catch(() => {
    // Fewer crashes than the bound counts from are better still.
  });
  const fifthAt = crashes.endedAt[FIFTH - 1] ?? performance.now();
  await disturb(first, entries);
  await sleep(CALM_MS + MEASURED_MS - (performance.now() - fifthAt));
  await traffic.stop();
  const calmAt = fifthAt + CALM_MS;
  return {
    laterSends: crashes.arrivalsAfter(fifthAt + KNOWN_MS).length,
    ended: crashes.endedAt.length,
    servedBefore: servedShare(traffic.sound, startedAt, badAt),
    servedAfter: servedShare(traffic.sound, calmAt, calmAt + MEASURED_MS),
  };
}

type Played = Awaited<ReturnType<typeof play>>;

function expectBounds({laterSends, servedBefore, servedAfter}: Played): void {
  expect(laterSends).toBeLessThanOrEqual(MAX_LATER_SENDS);
  expect(servedAfter).toBeGreaterThanOrEqual(LEAST_SERVED * servedBefore);
}

describe('requests with a part that crashes replicas, no two alike', () => {
  test('are hardly sent on where it is the second part', async () => {
    expectBounds(await play({}));
  }, 40_000);

  test('are hardly sent on where it is the first part', async () => {
    expectBounds(await play({bad: () => [B, S]}));
  }, 40_000);

  // The second parts vary, so that the first one alone recurs.
  test('are hardly sent on where all their other parts are new', async () => {
    expectBounds(await play({bad: at => [B, `e${at}`]}));
  }, 40_000);

  // Its replica has written events before, which shows nothing of its part.
  test('are hardly sent on where replicas crash midway in the answer', async () => {
    expectBounds(await play({ending: crashMidway}));
  }, 40_000);

  // Without framing, the end of a crashed replica's answer looks like any end.
  test('are hardly sent on where the answer ends in order after an event', async () => {
    expectBounds(await play({ending: endAfterEvent}));
  }, 40_000);

  test('are hardly sent on where two parts crash replicas by turns', async () => {
    const played = await play({
      badParts: [B, 'b2'],
      bad: at => [F, at % 2 === 0 ? B : 'b2'],
    });
    // Each of the two has a bound of its own.
    expect(played.laterSends).toBeLessThanOrEqual(2 * MAX_LATER_SENDS);
    expect(played.servedAfter).toBeGreaterThanOrEqual(
      LEAST_SERVED * played.servedBefore,
    );
  }, 40_000);

  test('are hardly sent on where each has two parts that crash replicas', async () => {
    expectBounds(await play({badParts: [B, 'b2'], bad: () => [F, B, 'b2', S]}));
  }, 40_000);

  test('are hardly sent on as calls that may run once', async () => {
    expectBounds(
      await play({service: 'desk', path: '/once/a', other: answerWell}),
    );
  }, 40_000);

  test('are hardly sent on as prompts for groups', async () => {
    expectBounds(await play({path: '/long/a', headers: GROUP_HEADERS}));
  }, 40_000);
});

describe('requests with a part that has crashed five replicas', () => {
  test('are hardly sent on by an entry that starts in the middle', async () => {
    const disturb = async (first: DirectFleet, entries: DirectFleet[]) => {
      entries.push(await start({node: 'entry-3', sharedFleet: first}));
    };
    expectBounds(await play({disturb}));
  }, 40_000);

  // No entry remembers which parts ran well before.
  test('are hardly sent on after all entries have restarted', async () => {
    const disturb = async (first: DirectFleet, entries: DirectFleet[]) => {
      for (const it of entries) await it.entry.kernel.stop();
      const after = await Promise.all(
        ['entry-3', 'entry-4'].map(node => start({node, sharedFleet: first})),
      );
      entries.splice(0, entries.length, ...after);
    };
    expectBounds(await play({disturb}));
  }, 60_000);
});

describe('two parts that are refused, of which one is sound', () => {
  const SERVED_AGAIN_MS = 4_000;
  const RECORDS = 'onyxloft-quarantine';
  const ended = ['gone-1', 'gone-2', 'gone-3'];

  // Guards against a sound part that stays refused, since each of its trials
  // runs beside one of the part that crashes replicas.
  test('do not keep the sound one refused', async () => {
    const first = await start({pool: 1});
    const entries = [first, await start({node: 'entry-2', sharedFleet: first})];
    endUnderParts(first.store, 'pool', first.pool, [B], {
      ending: crashAtOnce,
      other: SOUND,
    });
    for (const part of [B, F]) {
      const digest = partDigestOf('pool', part);
      const record = {digest, position: 0, ended, good: {}};
      first.store.put(RECORDS, digest, {...record, writtenAt: Date.now()});
    }
    const traffic = startTraffic({
      entries: () => entries,
      path: '/stream/a',
      headers: HEADERS,
      sound: () => [F],
      bad: () => [B],
    });
    traffic.startBad();
    const startedAt = performance.now();
    await sleep(SERVED_AGAIN_MS + MEASURED_MS);
    await traffic.stop();
    const from = startedAt + SERVED_AGAIN_MS;
    const share = servedShare(traffic.sound, from, from + MEASURED_MS);
    expect(share).toBeGreaterThanOrEqual(LEAST_SERVED);
  }, 40_000);
});
