/**
 * Continuous batching of the stand-in engine. One timer per step, none when
 * there is nothing to do. At each step's start the waiting runs are given
 * memory in order of urgency, and the most urgent prefills get the chunk
 * budget: a less urgent prefill is pre-empted between steps.
 */
import type {Cancel, Clock} from '../src/types/runtime.js';
import type {EngineEvent} from '../src/types/upstream.js';
import {prefillMs} from './engine_figures.js';
import type {EngineFigures} from './engine_figures.js';
import {insertInOrder, removeRun, tell, tellToken} from './engine_runs.js';
import type {EngineRun} from './engine_runs.js';
import type {PrefixCache} from './prefix_cache.js';

export interface SchedulerOptions {
  readonly clock: Clock;
  readonly figures: EngineFigures;
  readonly cache: PrefixCache;
  /** A run got its memory and begins. */
  readonly onBegin: (run: EngineRun) => void;
  /** A run has ended by itself. */
  readonly onEnd: (run: EngineRun) => void;
  /** Counts have changed. */
  readonly onChange: () => void;
}

export interface EngineScheduler {
  /** Queues a run whose prompt is whole. */
  submit(run: EngineRun): void;
  /** Takes a run out and frees its memory at once. */
  remove(run: EngineRun): void;
  setPriority(run: EngineRun, priority: number): void;
  /** Stops or continues taking steps; a step under way is done again. */
  setFrozen(frozen: boolean): void;
  /** Multiplies step times from the next step on. */
  setSlowFactor(factor: number): void;
  /** Drops everything. */
  reset(): void;
  usedTokens(): number;
  waiting(): number;
  running(): number;
  /** Steps taken since the start. */
  steps(): number;
}

interface Allotment {
  readonly run: EngineRun;
  readonly tokens: number;
}

/** Makes an idle scheduler. */
export function createEngineScheduler(
  options: SchedulerOptions,
): EngineScheduler {
  const {clock, figures, cache} = options;
  const waiting: EngineRun[] = [];
  const prefilling: EngineRun[] = [];
  let decoding: EngineRun[] = [];
  let allotments: Allotment[] = [];
  let used = 0;
  let holds = 0;
  let steps = 0;
  let slowFactor = 1;
  let frozen = false;
  // Listeners may submit and cancel while a step is being told; the next step
  // begins only after that.
  let busy = false;
  let cancelStep: Cancel | undefined;

  const cacheRoom = () => {
    return Math.min(figures.cacheTokens, figures.memoryTokens - used);
  };

  const beginHold = (run: EngineRun) => {
    run.phase = 'hold';
    holds += 1;
    tell(run, {kind: 'prefill', doneTokens: 0});
  };

  const beginPrefill = (run: EngineRun) => {
    const {promptTokens, prefixHashes} = run.req;
    const cached = cache.match(prefixHashes) * figures.blockTokens;
    // The last prompt token is always computed: it yields the first answer.
    run.cachedTokens = Math.max(0, Math.min(cached, promptTokens - 1));
    run.prefilledTokens = run.cachedTokens;
    run.phase = 'prefill';
    insertInOrder(prefilling, run);
    options.onBegin(run);
  };

  const fits = (run: EngineRun) => {
    const {memoryTokens, holdOnly} = run.req;
    if (used + memoryTokens > figures.memoryTokens) return false;
    return holdOnly || prefilling.length + decoding.length < figures.maxRunning;
  };

  // Strictly in order: a run that waits for memory is not overtaken by a less
  // urgent one, or a stream of small runs could keep it waiting for ever.
  const admit = () => {
    while (waiting.length > 0 && fits(waiting[0])) {
      const run = waiting.shift() as EngineRun;
      used += run.req.memoryTokens;
      if (run.req.holdOnly) beginHold(run);
      else beginPrefill(run);
      cache.shrink(cacheRoom());
    }
  };

  const allot = (): number => {
    allotments = [];
    let budget = figures.chunkTokens;
    let ms = 0;
    for (const run of prefilling) {
      if (budget <= 0) break;
      const size = Math.max(1, run.req.groupSize);
      const left = run.req.promptTokens - run.prefilledTokens;
      const tokens = Math.min(left, budget * size);
      ms += prefillMs(figures, tokens, run.prefilledTokens, size);
      budget -= Math.ceil(tokens / size);
      allotments.push({run, tokens});
    }
    return ms;
  };

  const end = (run: EngineRun) => {
    used -= run.req.memoryTokens;
    run.phase = 'done';
    const {answerTokens, cachedTokens, req} = run;
    const finishReason = answerTokens < req.maxTokens ? 'stop' : 'length';
    const tokens = run.tokens;
    const done: EngineEvent = {
      kind: 'done',
      tokens,
      finishReason,
      cachedTokens,
    };
    run.lastEvent = done;
    options.onEnd(run);
    tell(run, done);
  };

  /** Makes one token; a run whose answer is not whole goes on. */
  const decode = (run: EngineRun) => {
    if (run.tokens < run.answerTokens) {
      run.tokens += 1;
      tellToken(run);
    }
    // A listener may have cancelled it on being told.
    if (run.phase !== 'decode') return;
    if (run.tokens < run.answerTokens) decoding.push(run);
    else end(run);
  };

  const decodeAll = () => {
    const runs = decoding;
    decoding = [];
    for (const run of runs) {
      if (run.phase === 'decode') decode(run);
    }
  };

  const prefillOne = ({run, tokens}: Allotment) => {
    if (run.phase !== 'prefill') return;
    run.prefilledTokens += tokens;
    tell(run, {kind: 'prefill', doneTokens: run.prefilledTokens});
    if (run.phase !== 'prefill') return;
    if (run.prefilledTokens < run.req.promptTokens) return;
    removeRun(prefilling, run);
    run.phase = 'decode';
    cache.store(run.req.prefixHashes, cacheRoom());
    decode(run);
  };

  const endStep = () => {
    cancelStep = undefined;
    steps += 1;
    const ready = allotments;
    allotments = [];
    busy = true;
    decodeAll();
    for (const allotment of ready) prefillOne(allotment);
    busy = false;
    beginStep();
    options.onChange();
  };

  const beginStep = () => {
    if (busy || frozen || cancelStep !== undefined) return;
    busy = true;
    admit();
    busy = false;
    if (prefilling.length === 0 && decoding.length === 0) return;
    const batchMs = figures.baseStepMs + figures.perDecodeMs * decoding.length;
    const stepMs = (batchMs + allot()) * slowFactor;
    cancelStep = clock.after(stepMs, endStep);
  };

  const wake = () => {
    beginStep();
    options.onChange();
  };

  const stopStep = () => {
    cancelStep?.();
    cancelStep = undefined;
    allotments = [];
  };

  const release = (run: EngineRun) => {
    if (run.phase === 'waiting') {
      removeRun(waiting, run);
      return;
    }
    used -= run.req.memoryTokens;
    if (run.phase === 'hold') holds -= 1;
    if (run.phase === 'prefill') removeRun(prefilling, run);
    if (run.phase === 'decode') removeRun(decoding, run);
  };

  return {
    submit: run => {
      run.phase = 'waiting';
      insertInOrder(waiting, run);
      wake();
    },
    remove: run => {
      release(run);
      run.phase = 'failed';
      wake();
    },
    setPriority: (run, priority) => {
      run.priority = priority;
      for (const list of [waiting, prefilling]) {
        if (!list.includes(run)) continue;
        removeRun(list, run);
        insertInOrder(list, run);
      }
      wake();
    },
    setFrozen: on => {
      frozen = on;
      if (on) stopStep();
      else wake();
    },
    setSlowFactor: factor => {
      slowFactor = factor;
    },
    reset: () => {
      stopStep();
      waiting.length = 0;
      prefilling.length = 0;
      decoding = [];
      used = 0;
      holds = 0;
    },
    usedTokens: () => used,
    waiting: () => waiting.length,
    running: () => prefilling.length + decoding.length + holds,
    steps: () => steps,
  };
}
