/**
 * A plain service as a pure model on a clock that is passed in: it echoes what
 * it was called with and counts each run, so that a test can tell whether a
 * call ran, and how often. The HTTP program and the in-memory client both
 * stand on it.
 *
 * The query chooses the answer: `?status=` its status, `?delayMs=` how long it
 * takes, `?bytes=` its length.
 */
import type {Clock} from '../src/types/runtime.js';
import type {ServiceReport} from '../src/types/upstream.js';

export const RUN_ID_HEADER = 'x-onyxloft-run-id';
export const REQUEST_ID_HEADER = 'x-onyxloft-request-id';

const DEFAULT_CAPACITY = 32;

/** A call whose body has come whole. */
export interface PlainCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Empty when the call names none. */
  readonly runId: string;
  readonly requestId: string;
  readonly bodyBytes: number;
  readonly bodyDigest: string;
}

export interface PlainAnswer {
  readonly status: number;
  /** JSON, filled up with spaces to the length asked for. */
  readonly body: string;
}

/** What goes wrong; each is off when left out. */
export interface PlainFaults {
  /** Connections break and none is taken. */
  readonly dead?: boolean;
  /** Nothing runs and nothing is answered until it is false again. */
  readonly frozen?: boolean;
  /** Calls run, but nothing is sent. */
  readonly silent?: boolean;
  /** Calls run, then their connection breaks. */
  readonly loseAnswers?: boolean;
  /** Added to the time of each call. */
  readonly slowMs?: number;
}

export interface PlainCounts {
  readonly runs: {readonly [runId: string]: number};
  readonly requests: {readonly [requestId: string]: number};
  readonly total: number;
  readonly running: number;
}

export interface PlainServiceCore {
  /** Runs a call, which counts now; `done` gets the answer after its time. */
  run(call: PlainCall, done: (answer: PlainAnswer) => void): void;
  /** Calls `fn` now, or at the end of a freeze. */
  whenAwake(fn: () => void): void;
  report(): ServiceReport;
  counts(): PlainCounts;
  faults(): PlainFaults;
  /** Changes the faults named. */
  setFaults(faults: PlainFaults): void;
  /** Calls `fn` when it dies, for what holds connections to break them. */
  onDeath(fn: () => void): void;
}

export interface PlainServiceOptions {
  readonly clock: Clock;
  /** Calls at once, as told in the load report. @default 32 */
  readonly capacity?: number;
}

/** Makes an idle service. */
export function createPlainServiceCore(
  options: PlainServiceOptions,
): PlainServiceCore {
  const {clock} = options;
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const runs = new Map<string, number>();
  const requests = new Map<string, number>();
  const deathListeners: (() => void)[] = [];
  let asleep: (() => void)[] = [];
  let faults: PlainFaults = {};
  let total = 0;
  let running = 0;
  // A call of an earlier life must not be answered, nor end twice.
  let life = 0;

  const countIn = (counts: Map<string, number>, id: string) => {
    if (id !== '') counts.set(id, (counts.get(id) ?? 0) + 1);
  };

  const whenAwake = (fn: () => void) => {
    if (faults.frozen) asleep.push(fn);
    else fn();
  };

  const wake = () => {
    const waking = asleep;
    asleep = [];
    for (const fn of waking) fn();
  };

  const die = () => {
    life += 1;
    running = 0;
    asleep = [];
    for (const fn of deathListeners) fn();
  };

  return {
    run: (call, done) => {
      total += 1;
      running += 1;
      countIn(runs, call.runId);
      countIn(requests, call.requestId);
      const begun = life;
      const {answer, delayMs} = answerTo(call);
      clock.after(delayMs + (faults.slowMs ?? 0), () =>
        whenAwake(() => {
          if (begun !== life) return;
          running -= 1;
          done(answer);
        }),
      );
    },
    whenAwake,
    report: () => ({running, capacity, ageMs: 0}),
    counts: () => ({
      runs: Object.fromEntries(runs),
      requests: Object.fromEntries(requests),
      total,
      running,
    }),
    faults: () => faults,
    setFaults: given => {
      const wasDead = faults.dead === true;
      faults = {...faults, ...given};
      if (faults.dead === true && !wasDead) die();
      if (faults.frozen !== true) wake();
    },
    onDeath: fn => void deathListeners.push(fn),
  };
}

function answerTo(call: PlainCall): {
  readonly answer: PlainAnswer;
  readonly delayMs: number;
} {
  const {method, path, bodyBytes, bodyDigest} = call;
  const query = new URL(path, 'http://service').searchParams;
  const echo = {method, path, length: bodyBytes, digest: bodyDigest};
  const body = JSON.stringify(echo).padEnd(Number(query.get('bytes') ?? 0));
  const status = Number(query.get('status') ?? 200);
  return {answer: {status, body}, delayMs: Number(query.get('delayMs') ?? 0)};
}
