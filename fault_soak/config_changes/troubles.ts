/**
 * Troubles beside the changes of the configuration. Each says which entries it
 * excuses and until when: an entry is in touch once it has been left alone for
 * a while.
 */
import {spawn} from 'node:child_process';
import type {RelayFaults} from '../../standins/relay_core.js';
import type {Random} from '../../src/types/runtime.js';
import type {SoakFleet} from '../soak_fleet.js';
import type {Span} from '../soak_replica.js';
import {LINK_WELL} from '../soak_inject.js';

/** An entry that was left alone for so long is in touch. */
export const IN_TOUCH_MS = 3_000;

export const TROUBLES = [
  'none',
  'silence',
  'silence-some',
  'late',
  'pieces',
  'cut',
  'busy-store',
  'silent-store',
  'forget-history',
  'turned-away',
  'pause',
  'pause-first',
  'kill',
  'end',
  'step-clock',
  'busy-processor',
] as const;

export type Trouble = (typeof TROUBLES)[number];

const LONGEST_MS = 5_000;
const LONGEST_PAUSE_MS = 3_500;
/** Some of the entries, where a trouble doesn't meet all. */
const SOME_SHARE = 0.4;
const LATE_MS = 700;
/** Keep-alive probes of an entry end a silent connection after this. */
const KEEP_ALIVE_MS = 11_000;
const TIMER_SLACK_MS = 10;
const PIECE_BYTES = 2_048;
const PIECE_GAP_MS = 4;
/** Busy processes of a loaded machine, and what each computes. */
const BUSY_PROCESSES = 6;
const BUSY_PROGRAM = (ms: number) =>
  `const end = Date.now() + ${Math.ceil(ms)}; while (Date.now() < end);`;

export interface Troubles {
  begin(trouble: Trouble): void;
  /** Takes back all that goes on, and waits until the entries run. */
  heal(): Promise<void>;
  /** Whether the entry was left alone for `IN_TOUCH_MS` before this time. */
  isInTouch(entry: number, at: number): boolean;
}

export function createTroubles(fleet: SoakFleet, random: Random): Troubles {
  const spans = fleet.entries.map((): Span[] => []);
  const undoing = new Set<() => void>();
  const ends = new Set<Promise<unknown>>();
  const all = fleet.entries.map((_, at) => at);
  const one = () => [Math.floor(random.next() * all.length)];
  const some = () => {
    const drawn = all.filter(() => random.next() < SOME_SHARE);
    return drawn.length > 0 ? drawn : one();
  };

  /** Notes a disturbance of the entries, until the function is called. */
  const excuse = (entries: readonly number[]): (() => void) => {
    const open = entries.map(at => {
      const span = {from: performance.now(), to: Infinity};
      spans[at].push(span);
      return span;
    });
    return () => {
      for (const span of open) span.to = Math.min(span.to, performance.now());
    };
  };
  const later = (forMs: number, undo: () => void): void => {
    const run = () => {
      if (!undoing.delete(run)) return;
      clearTimeout(timer);
      undo();
    };
    const timer = setTimeout(run, forMs);
    undoing.add(run);
  };
  const harmLinks = (
    entries: readonly number[],
    faults: RelayFaults,
    forMs: number,
  ): void => {
    const end = excuse(entries);
    for (const at of entries) fleet.storeLinks[at].apply(faults);
    later(forMs, () => {
      for (const at of entries) fleet.storeLinks[at].apply(LINK_WELL);
      end();
    });
  };
  const silence = (entries: readonly number[]): void => {
    for (const at of entries) fleet.storeLinks[at].apply({silence: true});
    excuse(entries)();
    // What an entry meets then is part of the silence, and excuses nothing.
    later(KEEP_ALIVE_MS, () => {
      const endSilentForMs = KEEP_ALIVE_MS - TIMER_SLACK_MS;
      for (const at of entries) fleet.storeLinks[at].apply({endSilentForMs});
    });
  };
  const harmStore = (mode: 'busy' | 'silent', forMs: number): void => {
    const end = excuse(all);
    fleet.store.setMode(mode);
    later(forMs, () => {
      fleet.store.setMode('well');
      end();
    });
  };
  const restart = (at: number, down: Promise<unknown>, forMs: number): void => {
    const end = excuse([at]);
    const up = async () => {
      await down;
      await fleet.entries[at].start();
      end();
    };
    later(forMs, () => {
      const started = up();
      ends.add(started);
      void started.finally(() => ends.delete(started));
    });
  };
  const pause = (entries: readonly number[], forMs: number): void => {
    const end = excuse(entries);
    for (const at of entries) fleet.entries[at].pause();
    later(forMs, () => {
      for (const at of entries) fleet.entries[at].wake();
      end();
    });
  };

  const begin = (trouble: Trouble): void => {
    const forMs = random.next() * LONGEST_MS;
    const pauseMs = random.next() * LONGEST_PAUSE_MS;
    switch (trouble) {
      case 'none':
        return;
      case 'silence':
        return silence(all);
      case 'silence-some':
        return silence(some());
      case 'late':
        return harmLinks(some(), {delayMs: LATE_MS}, forMs);
      case 'pieces': {
        const pieces = {bytes: PIECE_BYTES, gapMs: PIECE_GAP_MS};
        return harmLinks(some(), {pieces}, forMs);
      }
      case 'cut':
        return harmLinks(some(), {cut: 'towards-caller'}, forMs);
      case 'turned-away':
        return harmLinks(some(), {refuse: true}, forMs);
      case 'busy-store':
        return harmStore('busy', forMs);
      case 'silent-store':
        return harmStore('silent', forMs);
      case 'forget-history':
        return fleet.store.forgetHistory();
      case 'pause':
        return pause(one(), pauseMs);
      case 'pause-first':
        return pause([0], pauseMs);
      case 'kill': {
        const [at] = one();
        return restart(at, fleet.entries[at].kill(), pauseMs);
      }
      case 'end': {
        const [at] = one();
        return restart(at, fleet.entries[at].end(), pauseMs);
      }
      case 'step-clock': {
        const stepped = one();
        for (const at of stepped) fleet.entries[at].stepClock();
        return excuse(stepped)();
      }
      case 'busy-processor': {
        const args = ['-e', BUSY_PROGRAM(forMs)];
        for (let count = 0; count < BUSY_PROCESSES; count++) {
          spawn(process.execPath, args, {stdio: 'ignore'});
        }
        return;
      }
    }
  };

  return {
    begin,
    heal: async () => {
      for (const undo of undoing) undo();
      while (ends.size > 0) await Promise.allSettled([...ends]);
    },
    isInTouch: (entry, at) =>
      !spans[entry].some(({from, to}) => from <= at && to >= at - IN_TOUCH_MS),
  };
}
