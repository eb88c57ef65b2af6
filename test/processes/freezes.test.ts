import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {startTestFleet, until} from '../support/process_fleet.js';
import type {TestFleet} from '../support/process_fleet.js';
import {expectWell, judge, startLoad} from '../support/process_load.js';

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet();
});

afterAll(() => fleet.close());

describe('a process stands still for longer than every lease', () => {
  // A side stops in the midst of its work: its connections stay open, nothing
  // comes. The entry dials anew, gets no word there either, and gives the runs
  // up as unknown. Only then does the side wake, with runs that it still
  // believes in. Nothing runs twice, and what it held becomes free.
  it('does no harm when a side wakes', async () => {
    const load = await startLoad(fleet, 100);
    const side = `side-engine-${load.victim}`;
    fleet.signal(side, 'SIGSTOP');
    await load.speedUp();
    await judge(fleet, load);
    const wakes = fleet.next(side, 'side-was-frozen');
    fleet.signal(side, 'SIGCONT');
    await wakes();
    await expectWell(fleet, 150);
  });

  // An engine stops; its side hears nothing on any stream and no report. Before
  // it wakes, each caller has an end.
  it('does no harm when an engine wakes', async () => {
    const load = await startLoad(fleet, 200);
    const engine = `engine-${load.victim}`;
    fleet.signal(engine, 'SIGSTOP');
    const healthy = `engine-${3 - load.victim}`;
    await fleet.fault(healthy, {slowFactor: 1});
    await until('each request has its end', () =>
      load.items.every(
        ({answer}) => answer.whole() || answer.error() !== undefined,
      ),
    );
    fleet.signal(engine, 'SIGCONT');
    await load.speedUp();
    await judge(fleet, load);
    await expectWell(fleet, 250);
  });

  // An entry stops with the callers' connections open. The sides miss it for
  // the hold time, end its runs and free their memory. On waking it gives each
  // caller an end: failed, for it can no longer get the answer.
  it('does no harm when an entry wakes', async () => {
    const load = await startLoad(fleet, 300);
    const misses = fleet.next(`side-engine-${load.victim}`, 'owner-lost');
    fleet.signal('entry-1', 'SIGSTOP');
    await misses();
    await load.speedUp();
    await fleet.memoryFree();
    const runsBefore = (await fleet.runIds()).size;
    fleet.signal('entry-1', 'SIGCONT');
    await judge(fleet, load);
    const again = (await fleet.runIds()).size - runsBefore;
    const mayRunAgain = load.items.filter(
      ({repeatable, answer}) => repeatable && answer.whole(),
    );
    expect(again).toBeLessThanOrEqual(mayRunAgain.length);
    await expectWell(fleet, 350);
  });
});
