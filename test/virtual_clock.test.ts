import {describe, expect, it} from 'vitest';
import {createPausableClock} from '../standins/pausable_clock.js';
import {createVirtualClock} from './support/virtual_clock.js';

describe('virtual clock', () => {
  it('fires timers in order of time, equal ones in order of setting', async () => {
    const clock = createVirtualClock();
    const fired: string[] = [];
    for (const [name, delay] of [
      ['late', 30],
      ['first', 10],
      ['second', 10],
      ['cancelled', 10],
    ] as const) {
      const cancel = clock.after(delay, () => fired.push(name));
      if (name === 'cancelled') cancel();
    }
    expect(clock.pending()).toBe(3);
    await clock.runUntilIdle(10);
    expect(fired).toEqual(['first', 'second', 'late']);
    expect(clock.now()).toBe(30);
  });

  it('settles long promise chains before the next timer', async () => {
    const clock = createVirtualClock();
    const seen: string[] = [];
    clock.after(1, () => {
      void (async () => {
        for (let depth = 0; depth < 100; depth++) await Promise.resolve();
        seen.push(`chain at ${clock.now()}`);
      })();
    });
    clock.after(2, () => seen.push('timer'));
    await clock.runUntilIdle(10);
    expect(seen).toEqual(['chain at 1', 'timer']);
  });

  it('repeats a period until it is cancelled', async () => {
    const clock = createVirtualClock();
    const times: number[] = [];
    const cancel = clock.every(10, () => times.push(clock.now()));
    await clock.runFor(35);
    cancel();
    await clock.runFor(35);
    expect(times).toEqual([10, 20, 30]);
    expect(clock.now()).toBe(70);
    expect(clock.pending()).toBe(0);
  });

  it('fires overdue timers late after a pause', async () => {
    const clock = createVirtualClock();
    const times: number[] = [];
    clock.after(10, () => times.push(clock.now()));
    clock.advance(50);
    expect(times).toEqual([]);
    await clock.step();
    expect(times).toEqual([50]);
  });
});

describe('pausable clock', () => {
  it('holds the timers of a paused process and drops those of a dead one', async () => {
    const shared = createVirtualClock();
    const clock = createPausableClock(shared);
    const fired: string[] = [];
    const note = (name: string) => () => fired.push(`${name} ${clock.now()}`);
    clock.after(10, note('once'));
    const cancel = clock.after(10, note('cancelled'));
    clock.every(10, note('period'));
    clock.pause();
    await shared.runFor(35);
    expect(fired).toEqual([]);
    cancel();
    clock.resume();
    expect(fired).toEqual(['once 35', 'period 35']);
    await shared.runFor(10);
    expect(fired).toEqual(['once 35', 'period 35', 'period 40']);
    clock.stop();
    await shared.runFor(100);
    expect(fired).toHaveLength(3);
  });
});
