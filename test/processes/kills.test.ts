import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../../demo/caller.js';
import {
  answerTo,
  resumeAnswer,
  startTestFleet,
  until,
} from '../support/process_fleet.js';
import type {TestFleet} from '../support/process_fleet.js';
import {expectWell, judge, startLoad} from '../support/process_load.js';

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet();
});

afterAll(() => fleet.close());

describe('a process is killed', () => {
  // A side dies with requests in prefill, in mid-answer and near the end. Its
  // engine runs on and nobody listens. Callers with a part of their answer get
  // a failure that says it ran; of the others, those that may be repeated are
  // served by the other engine. The next side ends what its engine still runs,
  // which by itself would go on for many minutes.
  it('serves elsewhere what may be repeated when a side is killed', async () => {
    const load = await startLoad(fleet, 100);
    const side = `side-engine-${load.victim}`;
    fleet.signal(side, 'SIGKILL');
    await fleet.fault(`engine-${load.victim}`, {slowFactor: 1_000});
    await fleet.fault(`engine-${3 - load.victim}`, {slowFactor: 1});
    await judge(fleet, load);
    expect((await fleet.engine(load.victim)).usedTokens).toBeGreaterThan(0);
    await fleet.restart(side);
    await fleet.memoryFree();
    await load.speedUp();
    await expectWell(fleet, 150);
  });

  // An engine dies with all its runs and its memory. Its side hears the streams
  // break, takes none of them up again, and says what it knows: those runs ran.
  it('owns up to what ran when an engine is killed', async () => {
    const load = await startLoad(fleet, 200);
    const engine = `engine-${load.victim}`;
    await fleet.keepCounts(load.victim);
    fleet.signal(engine, 'SIGKILL');
    await load.speedUp().catch(() => undefined);
    await fleet.exited(engine);
    await fleet.restart(engine);
    await fleet.engines({slowFactor: 1});
    await judge(fleet, load);
    await expectWell(fleet, 250);
  });

  // The caller's own entry dies in mid-answer. The caller takes its answer up
  // at the other entry from the last event it saw, by the request's id alone;
  // one in prefill, without any event, does so too. Nothing runs a second
  // time. Another organisation that knows the id learns nothing. What nobody
  // comes back for is ended after the hold time, and its memory is free.
  it('gives the whole answer at another entry when the own is killed', async () => {
    // Runs of the tests before are still counted; they are nobody's here.
    const earlier = new Set(await fleet.runIds());
    const load = await startLoad(fleet, 300);
    const streams = load.items.filter(one => one.state === 'mid-stream');
    const taken = streams.slice(0, 2);
    const known = new Set(load.items.map(one => one.answer.requestId()));
    const inPrefill = [...(await fleet.runIds())]
      .filter(id => !earlier.has(id))
      .map(id => id.slice(0, id.lastIndexOf('.')))
      .filter(id => !known.has(id))
      .slice(-1);
    fleet.signal('entry-1', 'SIGKILL');
    await Promise.all(load.items.map(one => one.answer.ended));
    const stranger = resumeAnswer(
      fleet.entryUrl(2),
      fleet.key(2),
      taken[0]?.answer.requestId() ?? '',
    );
    const prefilled = inPrefill.map(id =>
      resumeAnswer(fleet.entryUrl(2), fleet.key(1), id),
    );
    const resumed = taken.map(({answer}) =>
      resumeAnswer(
        fleet.entryUrl(2),
        fleet.key(1),
        answer.requestId(),
        answer.lastEventId(),
      ),
    );
    await stranger.ended;
    expect(stranger.status()).toBe(404);
    await load.speedUp();
    await Promise.all([...resumed, ...prefilled].map(({ended}) => ended));
    for (const [index, {prompt, maxTokens, answer}] of taken.entries()) {
      const rest = resumed[index];
      expect(rest?.error()).toBeUndefined();
      expect(rest?.whole()).toBe(true);
      expect(answer.text() + rest?.text()).toBe(answerTo(prompt, maxTokens));
      expect(await fleet.runs(answer.requestId())).toBe(1);
    }
    expect(prefilled.length).toBe(1);
    expect(
      load.items.map(({prompt, maxTokens}) => answerTo(prompt, maxTokens)),
    ).toContain(prefilled[0]?.text());
    await fleet.restart('entry-1');
    await expectWell(fleet, 350);
  });

  // A permit lookup is under way at the plain service when its entry dies. The
  // caller repeats it with the same key at the other entry, and is told of the
  // earlier request rather than made to run it again. Then a side dies in the
  // same way: the caller learns that the call may have run, and it ran once.
  it('runs a permit lookup once when entry or side is killed', async () => {
    const path = '/permits?delayMs=1500';
    const counted = async () => {
      const url = fleet.plan.serviceUrls[0];
      const res = await fetch(`${url}/-/counts`);
      return ((await res.json()) as {total: number}).total;
    };
    const ask = fleet.call({path, idempotencyKey: 'permit-1'});
    const first = call(ask);
    await until('the call runs', async () => (await counted()) === 1);
    fleet.signal('entry-1', 'SIGKILL');
    expect((await first).status).toBe(0);
    const again = await call({...ask, entryUrl: fleet.entryUrl(2)});
    expect(await counted()).toBe(1);
    expect([200, 409]).toContain(again.status);
    await fleet.restart('entry-1');

    const second = call(
      fleet.call({
        path,
        idempotencyKey: 'permit-2',
        entryUrl: fleet.entryUrl(2),
      }),
    );
    await until('the call runs', async () => (await counted()) === 2);
    fleet.signal('side-service-1', 'SIGKILL');
    const outcome = await second;
    expect(outcome.errorCode).toBe('upstream-lost');
    expect(['yes', 'unknown']).toContain(outcome.ran);
    await fleet.restart('side-service-1');
    const repeated = await call(fleet.call({path, idempotencyKey: 'permit-2'}));
    expect(repeated.errorCode).toBe('already-claimed');
    expect(await counted()).toBe(2);
  });
});
