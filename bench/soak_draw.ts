/** Draws the steps of a randomised run from seeded chance. */
import type {Random} from '../src/types/runtime.js';
import type {Ask} from '../standins/fleet_callers.js';
import type {
  Action,
  FaultAction,
  FrameAction,
  LoadAction,
  Step,
} from './soak_actions.js';

/** Calm stretches, and storms in which faults fall together. */
const CALM_FAULTS = 0.015;
const STORM_FAULTS = 0.12;
const STORM_STARTS = 0.004;
const STORM_ENDS = 0.02;
/** More than any fleet has; indices are taken modulo. */
const MANY = 1 << 20;
/** How far back a step reaches among earlier submissions. */
const BACK = 64;

export interface DrawOptions {
  readonly random: Random;
  /** Memory of one engine, in tokens. */
  readonly engineMemoryTokens: number;
  readonly meanPauseMs: number;
  /** Whether frames of runs' channels have faults too. */
  readonly frameFaults: boolean;
}

/** Share of faults that are of frames, where there are any. */
const FRAME_SHARE = 0.3;
/** Copies of a dispatch come up to this much later: ids are kept for longer. */
const MAX_COPY_LATER_MS = 100_000;

/** Draws one step after another. */
export function createDraw(options: DrawOptions): () => Step {
  const {random} = options;
  const chance = createChance(random);
  let storm = false;
  let keys = 0;

  const nextKey = () => `key-${++keys}`;

  return () => {
    if (storm) storm = !chance.isTrue(STORM_ENDS);
    else storm = chance.isTrue(STORM_STARTS);
    const isFault = chance.isTrue(storm ? STORM_FAULTS : CALM_FAULTS);
    const action: Action = isFault
      ? drawAnyFault(chance, options.frameFaults)
      : drawLoad(chance, options.engineMemoryTokens, nextKey);
    const pauseMs = chance.isTrue(0.1)
      ? 0
      : Math.round(2 * options.meanPauseMs * random.next());
    return {action, pauseMs};
  };
}

interface Chance {
  isTrue(share: number): boolean;
  /** Whole number, both ends included. */
  between(least: number, most: number): number;
  /** Drawn evenly on a logarithmic scale. */
  spread(least: number, most: number): number;
  index(): number;
  of<T>(choices: readonly [T, ...T[]]): T;
}

function createChance(random: Random): Chance {
  const between = (least: number, most: number) =>
    least + Math.floor(random.next() * (most - least + 1));
  return {
    isTrue: share => random.next() < share,
    between,
    spread: (least, most) =>
      Math.round(least * (most / least) ** random.next()),
    index: () => between(0, MANY),
    of: choices => choices[between(0, choices.length - 1)] ?? choices[0],
  };
}

function drawLoad(
  chance: Chance,
  memoryTokens: number,
  nextKey: () => string,
): LoadAction {
  const dice = chance.between(0, 99);
  const entry = chance.index();
  const back = chance.between(0, BACK);
  if (dice < 5) return {kind: 'cancel', back};
  if (dice < 10) {
    return {kind: 'resume', entry, back, fromStart: chance.isTrue(0.5)};
  }
  if (dice < 15) return {kind: 'repeat-key', entry, back};
  if (dice < 17) {
    const weight = chance.between(1, 9);
    return {kind: 'patch', entry, weight, racing: chance.isTrue(0.4)};
  }
  return {kind: 'ask', entry, ask: drawAsk(chance, memoryTokens, nextKey)};
}

function drawAsk(
  chance: Chance,
  memoryTokens: number,
  nextKey: () => string,
): Ask {
  const repeatable = chance.isTrue(0.65);
  const isKeyed = !repeatable && chance.isTrue(0.7);
  const key = isKeyed ? nextKey() : undefined;
  const common = {
    organisation: chance.of(['prairie-sky', 'ingufu-hamwe']),
    repeatable,
    priority: chance.between(0, 2),
    ...(key === undefined
      ? {}
      : {idempotencyKey: key, prompt: `work of ${key}`}),
  };
  if (chance.isTrue(0.2)) {
    return {
      ...common,
      kind: 'call',
      promptTokens: 0,
      maxTokens: 0,
      serviceMs: chance.spread(2, 3_000),
      timeLimitMs: chance.spread(100, 20_000),
    };
  }
  return {
    ...common,
    ...drawLength(chance, memoryTokens),
    kind: 'completion',
    ...(chance.isTrue(0.4) ? {topic: chance.between(0, 5)} : {}),
  };
}

function drawLength(chance: Chance, memoryTokens: number) {
  const dice = chance.between(0, 99);
  if (dice < 82) {
    return {
      promptTokens: chance.spread(50, 4_000),
      maxTokens: chance.spread(1, 120),
      timeLimitMs: chance.spread(200, 30_000),
    };
  }
  if (dice < 95) {
    return {
      promptTokens: chance.spread(4_000, Math.round(0.7 * memoryTokens)),
      maxTokens: chance.spread(1, 300),
      timeLimitMs: chance.spread(2_000, 60_000),
    };
  }
  return {
    promptTokens: chance.between(
      Math.round(0.7 * memoryTokens),
      Math.round(2.3 * memoryTokens),
    ),
    maxTokens: chance.spread(1, 100),
    timeLimitMs: chance.spread(5_000, 90_000),
  };
}

const TIMED_FAULTS = [
  'engine-die',
  'engine-freeze',
  'engine-silent',
  'service-die',
  'service-freeze',
  'service-silent',
  'service-lose',
  'service-slow',
  'side-crash',
  'side-freeze',
  'side-drain',
  'entry-crash',
  'entry-freeze',
  'entry-drain',
  'host-leave',
  'store-cut',
] as const;

function drawAnyFault(chance: Chance, frameFaults: boolean): FaultAction {
  const isFrames = frameFaults && chance.isTrue(FRAME_SHARE);
  return isFrames ? drawFrameFault(chance) : drawFault(chance);
}

function drawFrameFault(chance: Chance): FrameAction {
  const ms = chance.spread(500, 30_000);
  const share = chance.spread(5, 40) / 100;
  const kind = chance.of<FrameAction['kind']>([
    'frame-double',
    'frame-late',
    'frame-drop',
    'frame-change',
    'go-copy',
  ]);
  if (kind === 'go-copy') {
    // Half of them soon, as after a restart; half when the run is forgotten.
    const laterMs = chance.isTrue(0.5)
      ? chance.spread(500, 10_000)
      : MAX_COPY_LATER_MS;
    return {kind, ms, share: 0.8, laterMs};
  }
  if (kind === 'frame-double' || kind === 'frame-late') {
    return {kind, ms, share, laterMs: chance.spread(1, 3_000)};
  }
  return {kind, ms, share: share / 4};
}

function drawFault(chance: Chance): FaultAction {
  const at = chance.index();
  const ms = chance.spread(50, 20_000);
  const others: ReadonlyArray<() => FaultAction> = [
    () => ({kind: 'engine-mute', at}),
    () => ({kind: 'engine-cut', at}),
    () => ({kind: 'engine-slow', at, ms, factor: chance.spread(2, 50)}),
    () => ({kind: 'store-outage', ms, hang: chance.isTrue(0.5)}),
    () => ({kind: 'store-slow', ms, slowMs: chance.spread(20, 3_000)}),
    () => ({kind: 'store-lose', ms, share: 0.5}),
    () => ({kind: 'store-stale', ms}),
    () => ({kind: 'list-lag', ms, lagMs: chance.spread(500, 20_000)}),
    () => ({kind: 'list-frozen', ms}),
    () => ({kind: 'list-outage', ms}),
    () => ({kind: 'weights-outage', ms}),
    () => ({kind: 'net-cut', at, with: chance.index(), ms}),
    () => ({kind: 'net-silence', at, with: chance.index()}),
    () => ({kind: 'net-slow', ms, maxMs: chance.spread(5, 1_500)}),
    () => ({
      kind: 'net-double',
      ms,
      share: 0.3,
      laterMs: chance.spread(1, 5_000),
    }),
    () => ({kind: 'net-drop', ms, share: chance.spread(5, 40) / 100}),
  ];
  const choice = chance.between(0, TIMED_FAULTS.length + others.length - 1);
  const timed = TIMED_FAULTS[choice];
  if (timed !== undefined) return {kind: timed, at, ms};
  return (others[choice - TIMED_FAULTS.length] as () => FaultAction)();
}
