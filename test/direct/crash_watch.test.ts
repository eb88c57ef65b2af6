/** What counts as a run that ended well, for the parts of its prompt. */
import {describe, expect, test} from 'vitest';
import {createCrashWatch} from '../../src/direct/crashes/crash_watch.js';
import type {CrashWatch} from '../../src/direct/crashes/crash_watch.js';
import type {PortState} from '../../src/direct/crashes/port_probe.js';
import type {Exchange} from '../../src/direct/exchange.js';
import type {DirectReplica} from '../../src/direct/types.js';
import type {Clock} from '../../src/types/runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const PART = 'b'.repeat(32);
const OTHER_PART = 'd'.repeat(32);
/** After it, a run that ended well counts, and parts have been judged. */
const SETTLED_MS = 2_000;

function replica(id: string): DirectReplica {
  return {
    id,
    name: id,
    startedAt: undefined,
    service: 'pool',
    address: `127.0.0.1:${id.length}`,
    failureDomain: 'domain-1',
    places: 8,
    leaving: false,
  };
}

type Probe = (address: string, clock: Clock) => PortState | Promise<PortState>;

type Claim = (
  digest: string,
  trial: number,
  claimant: string,
) => boolean | undefined;

function setUp(probe: Probe, claim: Claim = () => false) {
  const clock = createVirtualClock();
  const probed: string[] = [];
  const claims: string[] = [];
  let requests = 0;
  const watch = createCrashWatch({
    clock,
    log: () => undefined,
    random: createSeededRandom(1),
    node: 'entry-1',
    probePort: address => {
      probed.push(address);
      return Promise.resolve(probe(address, clock));
    },
    isLeaving: () => false,
    isCurrent: () => true,
    replicaAt: () => undefined,
    shareReport: () => undefined,
    onQuarantined: () => undefined,
    onCleared: () => undefined,
    claimTrial: (digest, trial, claimant) => {
      claims.push(digest);
      return Promise.resolve(claim(digest, trial, claimant));
    },
  });
  /** Requests with the part, of which no two are alike. */
  const request = (parts: readonly string[] = [PART]): Exchange => {
    const own = (++requests).toString(16).padStart(32, '0');
    const known: Partial<Exchange> = {
      id: own,
      body: Buffer.alloc(0),
      isTrial: false,
      digest: () => own,
      partDigests: () => parts,
    };
    return known as Exchange;
  };
  const another = () => request([OTHER_PART]);
  const crash = async (id: string): Promise<void> => {
    watch.runBroken(request(), replica(id));
    await clock.runFor(SETTLED_MS);
  };
  return {clock, watch, probed, claims, request, another, crash};
}

describe('a part of prompts during whose runs three replicas ended', () => {
  const ids = ['r1', 'r22', 'r333'];

  test('is refused', async () => {
    const {watch, request, crash} = setUp(() => 'refused');
    for (const id of ids) await crash(id);
    expect(watch.isQuarantined(request())).toBe(true);
  });

  test('is not refused after a run whose replica is alive', async () => {
    const alive = replica('alive');
    const {clock, watch, request, crash} = setUp(address =>
      address === alive.address ? 'open' : 'refused',
    );
    watch.answerWritten(request(), alive);
    await clock.runFor(SETTLED_MS);
    for (const id of ids) await crash(id);
    expect(watch.isQuarantined(request())).toBe(false);
  });

  // Replicas that ran a sound part well have ended since, under another part.
  test('is not refused where one of the last four replicas is alive', async () => {
    const alive = replica('alive');
    const {clock, watch, request, crash} = setUp(address =>
      address === alive.address ? 'open' : 'refused',
    );
    for (const it of [alive, replica('r7777777'), replica('r88888888')]) {
      watch.answerWritten(request(), it);
      await clock.runFor(SETTLED_MS);
    }
    for (const id of ids) await crash(id);
    expect(watch.isQuarantined(request())).toBe(false);
  });

  // Guards against good runs that are forgotten with others that are looked up.
  test('is not refused after a run that ended well during a slow lookup', async () => {
    const alive = replica('alive');
    const gone = replica('gone-before');
    const {clock, watch, request, crash} = setUp(
      async (address, {after}): Promise<PortState> => {
        if (address === alive.address) return 'open';
        if (address === gone.address) {
          await new Promise<void>(resolve => void after(SETTLED_MS, resolve));
        }
        return 'refused';
      },
    );
    watch.answerWritten(request(), gone);
    await clock.runFor(SETTLED_MS);
    watch.runBroken(request(), replica('r1'));
    watch.answerWritten(request(), alive);
    await clock.runFor(2 * SETTLED_MS);
    for (const id of ids.slice(1)) await crash(id);
    expect(watch.isQuarantined(request())).toBe(false);
  });

  // The answer was whole, and its replica crashed a moment later.
  test('is refused after a run whose replica has not survived', async () => {
    const {clock, watch, request, crash} = setUp(() => 'refused');
    watch.answerWritten(request(), replica('gone'));
    await clock.runFor(SETTLED_MS);
    for (const id of ids) await crash(id);
    expect(watch.isQuarantined(request())).toBe(true);
  });

  test('is refused again where only a run like that followed', async () => {
    const {clock, watch, request, crash} = setUp(() => 'refused');
    for (const id of ids) await crash(id);
    watch.answerWritten(request(), replica('gone'));
    await clock.runFor(SETTLED_MS);
    expect(watch.isQuarantined(request())).toBe(true);
  });
});

// An entry of an earlier version has written the record, without the part's place.
test('a part is refused by a record without its type', () => {
  const {watch, request} = setUp(() => 'refused');
  watch.mergeRecords([{digest: PART, ended: ['r1', 'r2', 'r3'], good: {}}]);
  expect(watch.isQuarantined(request())).toBe(true);
});

// All requests with the refused part have another one that crashed as often.
test('a part is tried at last beside another suspect part', async () => {
  const other = 'c'.repeat(32);
  const {clock, watch, request, claims} = setUp(() => 'refused');
  const both = (): Exchange => ({
    ...request(),
    partDigests: () => [other, PART],
  });
  for (const id of ['r1', 'r22', 'r333']) watch.runBroken(both(), replica(id));
  await clock.runFor(1_500);
  await watch.claimTrial(both());
  expect(claims).toEqual([]);
  await clock.runFor(1_500);
  await watch.claimTrial(both());
  expect(claims).toEqual([PART]);
});

// Guards against trials that all fail by parts with too few crashes to be
// refused, so that the sound part that they share stays refused.
test('a part is tried without one that has crashed only once', async () => {
  const {clock, watch, request, another, claims} = setUp(() => 'refused');
  const fresh = 'e'.repeat(32);
  const beside = () => request([PART, OTHER_PART]);
  watch.runBroken(beside(), replica('r1'));
  for (const id of ['r22', 'r333']) watch.runBroken(request(), replica(id));
  await clock.runFor(1_500);
  expect(watch.isQuarantined(another())).toBe(false);
  await watch.claimTrial(beside());
  expect(claims).toEqual([]);
  await watch.claimTrial(request([PART, fresh]));
  expect(claims).toEqual([PART]);
});

describe('a trial of a refused part', () => {
  const ids = ['r1', 'r22', 'r333'];
  const startTrial = async () => {
    const all = setUp(
      () => 'refused',
      () => true,
    );
    for (const id of ids) all.watch.runBroken(all.request(), replica(id));
    await all.clock.runFor(1_500);
    const first = all.request();
    expect(await all.watch.claimTrial(first)).toBe(true);
    return {...all, first};
  };

  // Guards against a sound part that stays refused since its trials found no
  // replica that took them.
  test('is left to the next request where no replica ran it', async () => {
    const {watch, request, claims, first} = await startTrial();
    watch.requestEnded(first);
    const next = request();
    expect(await watch.claimTrial(next)).toBe(true);
    expect(watch.maySend(next)).toBe(true);
    expect(claims).toEqual([PART]);
    expect(await watch.claimTrial(request())).toBe(false);
  });

  test('is used up once it was sent', async () => {
    const {watch, request, first} = await startTrial();
    expect(watch.maySend(first)).toBe(true);
    watch.requestEnded(first);
    expect(await watch.claimTrial(request())).toBe(false);
  });

  test('leaves the second trial as it was planned', async () => {
    const {clock, watch, request, claims, first} = await startTrial();
    watch.requestEnded(first);
    const next = request();
    await watch.claimTrial(next);
    watch.maySend(next);
    watch.requestEnded(next);
    await clock.runFor(2_000);
    expect(await watch.claimTrial(request())).toBe(false);
    await clock.runFor(1_500);
    expect(await watch.claimTrial(request())).toBe(true);
    expect(claims).toEqual([PART, PART]);
  });

  // Guards against a sound part that stays refused where requests with parts
  // that crash replicas come more often than sound ones.
  test('is kept for a request whose other parts crashed nothing', async () => {
    const {clock, watch, request} = setUp(
      () => 'refused',
      () => true,
    );
    const beside = (part: string) => request([PART, part.repeat(32)]);
    watch.runBroken(beside('1'), replica('r1'));
    watch.runBroken(beside('2'), replica('r22'));
    watch.runBroken(beside('1'), replica('r333'));
    await clock.runFor(400);
    let served = 0;
    // A crashing request each 100 ms and a sound one each 3 s, for a minute.
    for (let at = 0; at < 600; at++) {
      await clock.runFor(100);
      const isSound = at % 30 === 29;
      const one = beside(isSound ? 'e' : at % 2 === 0 ? '1' : '2');
      if (watch.isQuarantined(one) && !(await watch.claimTrial(one))) continue;
      if (!watch.maySend(one)) continue;
      if (isSound) served++;
      else watch.runBroken(one, replica(`t${'x'.repeat(at)}`));
    }
    expect(served).toBeGreaterThan(0);
  });

  // Guards against a sound part that stays refused because each request with it
  // has a part that sound and crashing requests share.
  test('is run beside a part that another refused part explains', async () => {
    const {clock, watch, request} = setUp(
      () => 'refused',
      () => true,
    );
    const [shared, sound, bad] = ['f', 'c', 'b'].map(it => it.repeat(32));
    for (const id of ids) {
      watch.runBroken(request([shared, sound]), replica(id));
      watch.runBroken(request([shared, bad]), replica(id));
    }
    await clock.runFor(400);
    let tried = 0;
    for (let at = 0; at < 60; at++) {
      await clock.runFor(100);
      const one = request([shared, sound]);
      expect(watch.isQuarantined(one)).toBe(true);
      // Its trials show nothing, so that the last one is run as well.
      if ((await watch.claimTrial(one)) && watch.maySend(one)) tried++;
    }
    expect(tried).toBe(2);
  });

  describe('that ended well at a replica that ended a moment later', () => {
    const [shared, sound, bad] = ['f', 'c', 'b'].map(it => it.repeat(32));
    /** Plays the trial; resolves with whether the next request runs as it again. */
    const isRepeated = async (
      endReplica: (
        watch: CrashWatch,
        at: DirectReplica,
        later: Exchange,
      ) => void,
    ): Promise<boolean> => {
      const {clock, watch, request, claims} = setUp(
        () => 'refused',
        () => true,
      );
      for (const id of ids) {
        watch.runBroken(request([shared, sound]), replica(id));
        watch.runBroken(request([shared, bad]), replica(id));
      }
      await clock.runFor(1_900);
      const trial = request([shared, sound]);
      expect(await watch.claimTrial(trial)).toBe(true);
      expect(watch.maySend(trial)).toBe(true);
      watch.answerWritten(trial, replica('of-the-trial'));
      watch.requestEnded(trial);
      await clock.runFor(900);
      endReplica(watch, replica('of-the-trial'), request([shared, bad]));
      await clock.runFor(1_200);
      const isGained = await watch.claimTrial(request([shared, sound]));
      expect(claims).toEqual([sound]);
      return isGained;
    };

    // Guards against a sound part that stays refused since the trial of another
    // part ends the replica of its own trial.
    test('is repeated where another refused part ran there', async () => {
      expect(
        await isRepeated((watch, at, later) => watch.runBroken(later, at)),
      ).toBe(true);
    });

    // Else a part that crashes its replica after the answer has many trials.
    test('is used up where nothing else explains the end', async () => {
      expect(await isRepeated((watch, at) => watch.replicaEnded(at.id))).toBe(
        false,
      );
    });
  });

  // The store made the claim, and its answer was lost.
  test('is run although the answer to its claim was lost', async () => {
    const made = new Map<string, string>();
    const {clock, watch, request, crash} = setUp(
      () => 'refused',
      (digest, trial, claimant) => {
        const known = made.get(`${digest}-${trial}`);
        if (known !== undefined) return known === claimant;
        made.set(`${digest}-${trial}`, claimant);
        return undefined;
      },
    );
    for (const id of ids) await crash(id);
    let gained = 0;
    for (let at = 0; at < 600; at++) {
      await clock.runFor(100);
      if (await watch.claimTrial(request())) gained++;
    }
    expect(gained).toBeGreaterThan(0);
  });
});

// Each part would cost its replica a connection in quiet times.
test('runs that end well open no connection while nothing crashes', async () => {
  const {clock, watch, probed, request} = setUp(() => 'open');
  for (let at = 0; at < 20; at++) {
    watch.answerWritten(request(), replica(`r${at}`));
  }
  await clock.runFor(SETTLED_MS);
  expect(probed).toEqual([]);
});
