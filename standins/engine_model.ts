/**
 * A model engine as a pure model on a clock that is passed in: no sockets, no
 * files, no chance. The HTTP program and the in-memory client of the tests
 * both stand on it, so that both behave alike.
 *
 * A run is opened, its prompt is given, then it waits for memory, prefills,
 * decodes and is kept for a while after its end, so that its answer can be
 * taken up again. An id is run once; opening it again attaches to it.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../src/types/errors.js';
import type {Clock} from '../src/types/runtime.js';
import type {
  CacheEvent,
  EngineEvent,
  EngineOrder,
  EngineReport,
  EngineRunInfo,
  EngineRunReq,
} from '../src/types/upstream.js';
import {ENGINE_FIGURES} from './engine_figures.js';
import type {EngineFigures} from './engine_figures.js';
import {replay, tell} from './engine_runs.js';
import type {EngineRun, RunListener} from './engine_runs.js';
import {createEngineScheduler} from './engine_scheduler.js';
import {createEngineServing} from './engine_serving.js';
import type {LoadWeights, ServedModel} from './engine_serving.js';
import {createLaggingReport} from './lagging_report.js';
import {createPrefixCache} from './prefix_cache.js';

export interface EngineModelOptions {
  readonly clock: Clock;
  /** Named in errors as the peer. @default "engine" */
  readonly name?: string;
  /** Figures that differ from the assumed ones. */
  readonly figures?: Partial<EngineFigures>;
  /** Served from the start. @default model "m", version "1" */
  readonly models?: readonly ServedModel[];
  /** Whether an old fencing number is refused. @default true */
  readonly honoursFence?: boolean;
  /** @default waits for `loadMs` */
  readonly loadWeights?: LoadWeights;
  /** Length of an answer in tokens. @default the run's `maxTokens` */
  readonly answerTokens?: (req: EngineRunReq) => number;
}

/** What the engine's own books say, for the judge of a test. */
export interface EngineCounts {
  /** How often each run truly began, over the engine's deaths. */
  readonly runsStarted: {readonly [runId: string]: number};
  /** How often a start of each run came in. */
  readonly startsReceived: {readonly [runId: string]: number};
  /** Held by runs, in tokens. */
  readonly usedTokens: number;
  readonly cacheTokens: number;
  readonly waiting: number;
  readonly running: number;
  readonly steps: number;
}

/** KV cache blocks on their way between engines. */
export interface KvBlocks {
  readonly hashes: readonly string[];
  readonly tokens: number;
}

export interface EngineModel {
  /**
   * Opens a run, or attaches to it when the id is known. Its events go to
   * `listener`, the first ones before this returns. Tells whether the run is
   * new and waits for its prompt.
   */
  open(req: EngineRunReq, listener: RunListener): 'opened' | 'attached';
  /** The prompt is whole; `promptHash` names it in the answer. */
  submit(runId: string, promptHash: string): void;
  /** The prompt broke off: the run is forgotten, as if never opened. */
  abort(runId: string): void;
  /** Takes up a run's events from a token on; false when it is not known. */
  resume(runId: string, fromIndex: number, listener: RunListener): boolean;
  /** Stops telling `listener`; the run goes on. */
  detach(runId: string, listener: RunListener): void;
  cancel(runId: string): void;
  setPriority(runId: string, priority: number): boolean;
  list(): readonly EngineRunInfo[];
  report(): EngineReport;
  cacheEvents(afterSeq: number): readonly CacheEvent[];
  order(order: EngineOrder): Either<OnyxError, void>;
  /** Those of the blocks that are cached, up to the first gap. */
  exportKv(hashes: readonly string[]): KvBlocks;
  importKv(blocks: KvBlocks): void;
  counts(): EngineCounts;
  /** Fault: all runs, memory, cache and loaded models are gone. */
  die(): void;
  /** After `die`: serves again, empty, what it served at the start. */
  restart(): void;
  /** Fault: no steps are taken while on. */
  freeze(on: boolean): void;
  /** Fault: steps take `factor` times as long. */
  slow(factor: number): void;
  /** Whether the run is known: under way, or ended not long ago. */
  has(runId: string): boolean;
  isDead(): boolean;
  isFrozen(): boolean;
  /** Calls `fn` now, or at the end of a freeze; never if it dies before. */
  whenAwake(fn: () => void): void;
  /** Calls `fn` at each death, for what holds connections to break them. */
  onDeath(fn: () => void): void;
}

/** Makes an idle engine. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
  const {clock} = options;
  const name = options.name ?? 'engine';
  const figures = {...ENGINE_FIGURES, ...options.figures};
  const runs = new Map<string, EngineRun>();
  const ended: {readonly run: EngineRun; readonly at: number}[] = [];
  const runsStarted = new Map<string, number>();
  const startsReceived = new Map<string, number>();
  let arrivals = 0;
  const deathListeners: (() => void)[] = [];
  let asleep: (() => void)[] = [];
  let dead = false;
  let frozen = false;

  const countIn = (counts: Map<string, number>, runId: string) => {
    counts.set(runId, (counts.get(runId) ?? 0) + 1);
  };

  const forgetOld = () => {
    const before = clock.now() - figures.keepFinishedMs;
    while (ended.length > 0 && ended[0].at <= before) {
      const {run} = ended.shift() as {readonly run: EngineRun};
      if (runs.get(run.req.runId) === run) runs.delete(run.req.runId);
    }
  };

  const cache = createPrefixCache({
    blockTokens: figures.blockTokens,
    eventDelayMs: figures.cacheEventDelayMs,
    eventLossEvery: figures.cacheEventLossEvery,
    now: () => clock.now(),
  });

  const noteEnd = (run: EngineRun) => ended.push({run, at: clock.now()});

  const scheduler = createEngineScheduler({
    clock,
    figures,
    cache,
    onBegin: run => countIn(runsStarted, run.req.runId),
    onEnd: noteEnd,
    onChange: () => report.changed(),
  });

  const serving = createEngineServing({
    name,
    clock,
    figures,
    models: options.models ?? [{model: 'm', version: '1'}],
    honoursFence: options.honoursFence ?? true,
    loadWeights:
      options.loadWeights ??
      ((_model, _version, done) => {
        clock.after(figures.loadMs, () => done(true));
      }),
    onChange: () => report.changed(),
  });

  const report = createLaggingReport(
    () => clock.now(),
    figures.reportLagMs,
    (): EngineReport => ({
      capacityTokens: figures.memoryTokens,
      usedTokens: scheduler.usedTokens(),
      cacheTokens: cache.tokens(),
      waiting: scheduler.waiting(),
      running: scheduler.running(),
      ageMs: figures.reportLagMs,
      models: serving.states(),
    }),
  );

  const isEnded = (run: EngineRun) => {
    return run.phase === 'done' || run.phase === 'failed';
  };

  const fail = (run: EngineRun, message: string) => {
    if (run.phase === 'upload') run.phase = 'failed';
    else scheduler.remove(run);
    const failed: EngineEvent = {kind: 'failed', message};
    run.lastEvent = failed;
    noteEnd(run);
    tell(run, failed);
  };

  const refusal = (req: EngineRunReq): string | undefined => {
    if (req.memoryTokens > figures.memoryTokens) {
      return (
        `run needs ${req.memoryTokens} tokens of memory, ` +
        `the engine has ${figures.memoryTokens}`
      );
    }
    return req.holdOnly ? undefined : serving.lacks(req.model, req.adapter);
  };

  const makeRun = (req: EngineRunReq, listener: RunListener): EngineRun => {
    arrivals += 1;
    return {
      req,
      arrival: arrivals,
      answerTokens: options.answerTokens?.(req) ?? req.maxTokens,
      listeners: new Set([listener]),
      phase: 'upload',
      priority: req.priority,
      promptHash: '',
      prefilledTokens: 0,
      cachedTokens: 0,
      tokens: 0,
      lastEvent: undefined,
    };
  };

  const resume = (
    runId: string,
    fromIndex: number,
    listener: RunListener,
  ): boolean => {
    forgetOld();
    const run = runs.get(runId);
    if (run === undefined) return false;
    replay(run, fromIndex, listener);
    if (!isEnded(run)) run.listeners.add(listener);
    return true;
  };

  const open = (req: EngineRunReq, listener: RunListener) => {
    countIn(startsReceived, req.runId);
    // An id is run once: a start that is sent again after its answer was lost
    // would otherwise do the work, and its effects, twice.
    if (resume(req.runId, 0, listener)) return 'attached';
    const run = makeRun(req, listener);
    runs.set(req.runId, run);
    const message = refusal(req);
    if (message !== undefined) fail(run, message);
    return 'opened';
  };

  const cancel = (runId: string) => {
    const run = runs.get(runId);
    if (run !== undefined && !isEnded(run)) fail(run, 'cancelled');
  };

  const info = (run: EngineRun): EngineRunInfo => {
    const isHeld = !isEnded(run) && run.phase !== 'upload';
    const hasMemory = isHeld && run.phase !== 'waiting';
    let state: EngineRunInfo['state'] = 'waiting';
    if (isEnded(run)) state = 'done';
    else if (run.phase === 'prefill') state = 'prefill';
    else if (run.phase === 'decode') state = 'decode';
    else if (run.phase === 'hold') state = 'hold';
    return {
      runId: run.req.runId,
      state,
      memoryTokens: hasMemory ? run.req.memoryTokens : 0,
      tokens: run.tokens,
    };
  };

  const cachedPart = (hashes: readonly string[]) => {
    const missing = hashes.findIndex(hash => !cache.has(hash));
    return missing < 0 ? hashes : hashes.slice(0, missing);
  };

  const die = () => {
    dead = true;
    scheduler.reset();
    cache.clear();
    for (const run of runs.values()) {
      run.phase = 'failed';
      run.listeners.clear();
    }
    runs.clear();
    ended.length = 0;
    asleep = [];
    serving.reset();
    report.changed();
    for (const fn of deathListeners) fn();
  };

  const freeze = (on: boolean) => {
    frozen = on;
    scheduler.setFrozen(on);
    if (on) return;
    const waking = asleep;
    asleep = [];
    for (const fn of waking) fn();
  };

  return {
    open,
    resume,
    cancel,
    submit: (runId, promptHash) => {
      const run = runs.get(runId);
      if (run === undefined || run.phase !== 'upload') return;
      run.promptHash = promptHash.slice(0, 8);
      scheduler.submit(run);
    },
    abort: runId => {
      const run = runs.get(runId);
      if (run === undefined || run.phase !== 'upload') return;
      fail(run, 'prompt broke off');
      runs.delete(runId);
    },
    detach: (runId, listener) => {
      runs.get(runId)?.listeners.delete(listener);
    },
    setPriority: (runId, priority) => {
      const run = runs.get(runId);
      if (run === undefined || isEnded(run)) return false;
      scheduler.setPriority(run, priority);
      return true;
    },
    list: () => {
      forgetOld();
      return [...runs.values()].map(info);
    },
    report: () => report.read(),
    cacheEvents: afterSeq => cache.events(afterSeq),
    order: order => serving.order(order),
    exportKv: hashes => {
      const cached = cachedPart(hashes);
      return {hashes: cached, tokens: cached.length * figures.blockTokens};
    },
    importKv: blocks => {
      const free = figures.memoryTokens - scheduler.usedTokens();
      cache.store(blocks.hashes, Math.min(figures.cacheTokens, free));
      report.changed();
    },
    counts: () => ({
      runsStarted: Object.fromEntries(runsStarted),
      startsReceived: Object.fromEntries(startsReceived),
      usedTokens: scheduler.usedTokens(),
      cacheTokens: cache.tokens(),
      waiting: scheduler.waiting(),
      running: scheduler.running(),
      steps: scheduler.steps(),
    }),
    die,
    restart: () => {
      dead = false;
      freeze(false);
      scheduler.setSlowFactor(1);
    },
    freeze,
    slow: factor => scheduler.setSlowFactor(factor),
    has: runId => {
      forgetOld();
      return runs.has(runId);
    },
    isDead: () => dead,
    isFrozen: () => frozen,
    whenAwake: fn => {
      if (frozen) asleep.push(fn);
      else fn();
    },
    onDeath: fn => void deathListeners.push(fn),
  };
}
