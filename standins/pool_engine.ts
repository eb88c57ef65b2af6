/**
 * A model of one engine of the users' pool by its published figures, on a clock
 * that is passed in. It works in passes: with anyone writing, a pass has so
 * many steps, and all that write there send an event at its end; prompts are
 * read inside the steps, up to a chunk in each. A group's parts are read before
 * other prompts, the newest first.
 */
import type {Cancel, Clock} from '../src/types/runtime.js';

/** Published figures of an engine, and what the model needs besides. */
export interface PoolEngineFigures {
  readonly places: number;
  readonly memoryTokens: number;
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly stepMsPerWriter: number;
  readonly contextMsPerThousand: number;
  readonly readTokensPerMs: number;
  readonly pairsMsPerMillion: number;
  readonly chunkTokens: number;
  /** Added to a group's steps while it writes. */
  readonly hopMs: number;
  /** Work that depends on a dead engine stalls for so long. */
  readonly stallMs: number;
  /** Requests that wait for a place; more are refused. */
  readonly queuePlaces: number;
}

/** Called in order: `onEvent` for each event, the first too, then one end. */
export interface PoolRunListener {
  onEvent(): void;
  onEnd(): void;
  /** Not run, and never will. */
  onRefused(): void;
  onCut(): void;
}

export interface PoolRunRequest {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly helpers: readonly PoolHelper[];
}

export interface PoolHelper {
  readonly engine: PoolEngine;
  readonly reservation: string | undefined;
}

/** A part of a prompt, or all of it, that an engine has to read. */
interface Reading {
  readonly run: PoolRun;
  readonly isPart: boolean;
  readonly order: number;
  readonly tokens: number;
  done: number;
  /** Time of the tokens from one position to another. */
  readonly costMs: (from: number, to: number) => number;
}

interface PoolRun {
  readonly req: PoolRunRequest;
  readonly listener: PoolRunListener;
  readonly engine: PoolEngine;
  state: 'queued' | 'reading' | 'writing' | 'over';
  partsLeft: number;
  written: number;
  readonly arrival: number;
}

export interface PoolEngine {
  readonly name: string;
  open(req: PoolRunRequest, listener: PoolRunListener): Cancel;
  reserve(id: string, tokens: number, holdMs: number): boolean;
  release(id: string): void;
  /** Fault: nothing is done or said until `restart`. */
  goDark(): void;
  /** Serves again, and knows nothing of before. */
  restart(): void;
  isDark(): boolean;
  /** Fault: everything takes so many times as long. */
  slow(factor: number): void;
  counts(): PoolEngineCounts;
  /** For engines that lead a group in which this one reads a part. */
  addPart(run: PoolRun, tokens: number, costMs: Reading['costMs']): void;
  dropParts(run: PoolRun): void;
  /** For engines that read a part of a run that this one leads. */
  partDone(run: PoolRun): void;
  addHolder(run: PoolRun, tokens: number): void;
  /** A member that the run depends on is gone. */
  cut(run: PoolRun): void;
}

export interface PoolEngineCounts {
  readonly running: number;
  readonly writing: number;
  readonly waiting: number;
  readonly readingTokens: number;
  readonly memoryTokens: number;
  readonly reservedTokens: number;
  /** Time spent in passes, in milliseconds. */
  readonly busyMs: number;
  readonly preemptions: number;
}

export function createPoolEngine(
  name: string,
  figures: PoolEngineFigures,
  clock: Clock,
): PoolEngine {
  let queue: PoolRun[] = [];
  let running: PoolRun[] = [];
  let readings: Reading[] = [];
  const reservations = new Map<string, {tokens: number; lapse: Cancel}>();
  const holding = new Map<PoolRun, number>();
  let inPass = false;
  let dark = false;
  let slowness = 1;
  let arrivals = 0;
  let busyMs = 0;
  let preemptions = 0;
  /** Passes of an earlier life end without effect. */
  let life = 0;

  const reserved = () =>
    [...reservations.values()].reduce((sum, {tokens}) => sum + tokens, 0);
  const heldHere = ({req, written}: PoolRun): number => {
    const elsewhere = req.helpers.filter(it => it.reservation !== undefined);
    const share = req.promptTokens / (1 + req.helpers.length);
    return req.promptTokens - share * elsewhere.length + written;
  };
  const used = () => reserved() + running.reduce((s, r) => s + heldHere(r), 0);

  const finish = (run: PoolRun): void => {
    run.state = 'over';
    queue = queue.filter(it => it !== run);
    running = running.filter(it => it !== run);
    readings = readings.filter(it => it.run !== run);
    for (const {engine: helper} of run.req.helpers) helper.dropParts(run);
  };

  const startReading = (run: PoolRun): void => {
    const {promptTokens, helpers} = run.req;
    const parts = 1 + helpers.length;
    run.state = 'reading';
    run.partsLeft = parts;
    if (parts === 1) {
      const costMs = (from: number, to: number) =>
        readingMs(figures, to) - readingMs(figures, from);
      add({run, isPart: false, tokens: promptTokens, costMs});
      return;
    }
    const tokens = promptTokens / parts;
    const msPerToken = readingMs(figures, promptTokens) / promptTokens;
    const costMs = (from: number, to: number) => (to - from) * msPerToken;
    add({run, isPart: true, tokens, costMs});
    for (const {engine: helper, reservation} of helpers) {
      helper.addPart(run, tokens, costMs);
      if (reservation !== undefined) helper.addHolder(run, tokens);
    }
  };

  const add = (reading: Omit<Reading, 'order' | 'done'>): void => {
    readings.push({...reading, order: ++arrivals, done: 0});
    readings.sort(byTurn);
  };

  const admit = (): void => {
    while (queue.length > 0 && running.length < figures.places) {
      const [run] = queue;
      const isFirst = running.length === 0 && reservations.size === 0;
      if (!isFirst && used() + heldHere(run) > figures.memoryTokens) return;
      queue.shift();
      running.push(run);
      startReading(run);
    }
  };

  const preempt = (): void => {
    while (used() > figures.memoryTokens && running.length > 1) {
      const run = running.pop() as PoolRun;
      preemptions++;
      readings = readings.filter(it => it.run !== run);
      for (const {engine: helper} of run.req.helpers) helper.dropParts(run);
      run.state = 'queued';
      queue.unshift(run);
    }
  };

  const stepMsOf = (writers: readonly PoolRun[]): number => {
    const context = (tokens: number) =>
      (tokens / 1_000) * figures.contextMsPerThousand;
    const own = writers.reduce((sum, {req, written}) => {
      const parts = 1 + req.helpers.length;
      const hop = parts > 1 ? figures.hopMs : 0;
      const tokens = req.promptTokens / parts + written;
      return sum + figures.stepMsPerWriter + context(tokens) + hop;
    }, figures.stepMs);
    let held = 0;
    for (const [run, tokens] of holding) {
      if (run.state === 'writing') held += context(tokens);
    }
    return own + held;
  };

  /** Reads within so many steps; the time that it takes. */
  const readWithin = (steps: number): number => {
    let budget = steps * figures.chunkTokens;
    let ms = 0;
    for (const reading of readings) {
      if (budget <= 0) break;
      const to = Math.min(reading.tokens, reading.done + budget);
      budget -= to - reading.done;
      ms += reading.costMs(reading.done, to);
      reading.done = to;
    }
    return ms;
  };

  const wake = (): void => {
    if (inPass || dark) return;
    admit();
    const writers = running.filter(run => run.state === 'writing');
    if (writers.length === 0 && readings.length === 0) return;
    inPass = true;
    const steps = writers.length > 0 ? figures.stepsPerPass : 1;
    const ms = (steps * stepMsOf(writers) + readWithin(steps)) * slowness;
    busyMs += ms;
    const startedIn = life;
    clock.after(ms, () => {
      if (startedIn !== life) return;
      inPass = false;
      endPass(writers, steps);
      wake();
    });
  };

  const endPass = (writers: readonly PoolRun[], steps: number): void => {
    for (const run of writers) {
      if (run.state !== 'writing') continue;
      run.written += steps;
      run.listener.onEvent();
      if (run.written >= run.req.answerTokens) end(run);
    }
    const read = readings.filter(it => it.done >= it.tokens);
    readings = readings.filter(it => it.done < it.tokens);
    for (const {run} of read) run.engine.partDone(run);
    preempt();
  };

  const end = (run: PoolRun): void => {
    finish(run);
    run.listener.onEnd();
  };

  const engine: PoolEngine = {
    name,
    open: (req, listener) => {
      const run: PoolRun = {
        req,
        listener,
        engine,
        state: 'queued',
        partsLeft: 0,
        written: 0,
        arrival: ++arrivals,
      };
      // Silent: the caller finds out by itself.
      if (dark) return () => {};
      const gone = req.helpers.some(({engine: helper}) => helper.isDark());
      if (gone) {
        clock.after(figures.stallMs, () => listener.onRefused());
        return () => {};
      }
      const tooLarge = heldHere(run) > figures.memoryTokens;
      if (tooLarge || queue.length >= figures.queuePlaces) {
        listener.onRefused();
        return () => {};
      }
      queue.push(run);
      wake();
      return () => {
        if (run.state !== 'over') finish(run);
      };
    },
    reserve: (id, tokens, holdMs) => {
      if (dark) return false;
      const known = reservations.get(id);
      const free = figures.memoryTokens - used() + (known?.tokens ?? 0);
      if (tokens > free) return false;
      known?.lapse();
      const lapse = clock.after(holdMs, () => void reservations.delete(id));
      reservations.set(id, {tokens, lapse});
      return true;
    },
    release: id => {
      reservations.get(id)?.lapse();
      reservations.delete(id);
      wake();
    },
    goDark: () => {
      dark = true;
      life++;
      inPass = false;
      const parts = readings.filter(it => it.isPart).map(it => it.run);
      for (const run of new Set([...parts, ...holding.keys()])) {
        clock.after(figures.stallMs, () => run.engine.cut(run));
      }
    },
    restart: () => {
      dark = false;
      for (const run of running) {
        for (const {engine: helper} of run.req.helpers) helper.dropParts(run);
        run.state = 'over';
      }
      queue = [];
      running = [];
      readings = [];
      for (const {lapse} of reservations.values()) lapse();
      reservations.clear();
      holding.clear();
    },
    isDark: () => dark,
    slow: factor => {
      slowness = factor;
    },
    counts: () => ({
      running: running.length,
      writing: running.filter(run => run.state === 'writing').length,
      waiting: queue.length,
      readingTokens: readings.reduce((s, it) => s + it.tokens - it.done, 0),
      memoryTokens: used(),
      reservedTokens: reserved(),
      busyMs,
      preemptions,
    }),
    addPart: (run, tokens, costMs) => {
      add({run, isPart: true, tokens, costMs});
      wake();
    },
    dropParts: run => {
      readings = readings.filter(it => it.run !== run);
      holding.delete(run);
    },
    partDone: run => {
      if (run.state !== 'reading' || --run.partsLeft > 0) return;
      run.state = 'writing';
      run.written += 1;
      run.listener.onEvent();
      if (run.written >= run.req.answerTokens) end(run);
      else wake();
    },
    addHolder: (run, tokens) => void holding.set(run, tokens),
    cut: run => {
      if (run.state === 'over') return;
      finish(run);
      if (!dark) run.listener.onCut();
    },
  };
  return engine;
}

/** Time to read the first so many tokens of a prompt. */
function readingMs(figures: PoolEngineFigures, tokens: number): number {
  const pairs = tokens ** 2 / 2 / 1_000_000;
  return tokens / figures.readTokensPerMs + pairs * figures.pairsMsPerMillion;
}

/** Parts first, the newest of them first; then prompts as they came. */
function byTurn(a: Reading, b: Reading): number {
  if (a.isPart !== b.isPart) return a.isPart ? -1 : 1;
  return a.isPart ? b.order - a.order : a.order - b.order;
}
