/** Errors that are thrown in the processes of a run, drawn for each of them. */
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {throwingBuiltins} from '../../standins/throwing_builtins.js';
import type {Draw} from '../odd_wires/draws.js';
import type {ProgramBuild} from '../starts_and_ends/program_build.js';

const PROGRAM = 'program.cjs';
/** Steps that fail each time, by functions in their stacks. */
const STEPS = {
  gauges: 'readGauges',
  reports: 'sendLimits|sendCrashReports|sendReports',
  measures: 'measureAll|measure',
  loop: 'watchLoopStalls|Object.observe',
  metrics: 'seriesOf',
  lines: 'formatLine',
  messages: 'drain|deliver',
  heartbeat: 'heartbeat|reportEntries',
  loads: 'ownLoads|shareLoad',
  checks: 'applyLimits|endIdle|refuseStalled',
  evidence: 'ageMs|confirm|queryNow',
} as const;
const STEP_NAMES = Object.keys(STEPS) as ReadonlyArray<keyof typeof STEPS>;
const LOG_STEPS = /\bat (\S+\.)?(flush|formatLine|limitKeyOf|log)\d* \(/;
/** Timers of requests are among them, so that most run well. */
const TIMERS = 'listOnTimeout';
const TIMERS_SHARE = 0.02;

export type ErrorKind = 'once' | 'each' | 'timers';
/** Some processes run without errors beside those that have them. */
const SOUND_SHARE = 0.2;
/** From the first instructions of a start to a process in service. */
const LONGEST_LEAD_MS = 2_500;
const LONGEST_GAP_MS = 60;

export interface ThrownErrors {
  /** Kind and step of each process that has errors, by its name. */
  readonly drawn: ReadonlyMap<string, string>;
  /** A build whose processes throw until the errors end. */
  readonly build: ProgramBuild;
  /** How many were thrown, by kind and step. */
  counts(): Readonly<Record<string, number>>;
  /** Those of a process in which errors arise at any place. */
  thrownIn(name: string): readonly ThrownError[];
}

export interface ThrownError {
  /** Time of day, in milliseconds. */
  readonly wallMs: number;
  /** In a step of the log, which loses lines. */
  readonly isInLog: boolean;
}

export interface ThrownShape {
  readonly kinds: readonly ErrorKind[];
  readonly build: ProgramBuild;
  readonly dir: string;
  readonly draw: Draw;
  /** Steady time at which the errors end. */
  readonly endAt: number;
}

export function createThrownErrors(shape: ThrownShape): ThrownErrors {
  const {kinds, build, dir, draw, endAt} = shape;
  const drawn = new Map<string, string>();
  const recordOf = (name: string) => join(dir, `${name}.thrown`);
  const textFor = (name: string): string => {
    const isSound = kinds.length === 0 || draw.chance(SOUND_SHARE);
    const untilMs = endAt - performance.now();
    if (isSound || untilMs <= 0) return '';
    const kind = draw.one(kinds);
    const step = draw.one(STEP_NAMES);
    const isStep = kind === 'each';
    drawn.set(name, isStep ? `each ${step}` : kind);
    // The bundle numbers functions of the same name.
    const functions = isStep ? `at (\\S+\\.)?(${STEPS[step]})\\d* ` : TIMERS;
    return throwingBuiltins({
      program: PROGRAM,
      afterMs: draw.below(LONGEST_LEAD_MS),
      untilMs,
      gapMs: kind === 'once' ? draw.below(LONGEST_GAP_MS) : 0,
      each: kind === 'once' ? undefined : functions,
      share: kind === 'timers' ? TIMERS_SHARE : undefined,
      seed: draw.below(2 ** 31),
      record: recordOf(name),
    });
  };
  return {
    drawn,
    build: {
      copy: (name, first = '') => build.copy(name, `${textFor(name)}${first}`),
    },
    counts: () => {
      const counts: Record<string, number> = {};
      for (const [name, what] of drawn) {
        counts[what] = (counts[what] ?? 0) + linesIn(recordOf(name)).length;
      }
      return counts;
    },
    thrownIn: name => {
      if ((drawn.get(name) ?? 'each').startsWith('each')) return [];
      return linesIn(recordOf(name)).map(line => ({
        wallMs: Number(line.split(' ', 1)[0]),
        isInLog: LOG_STEPS.test(line),
      }));
    },
  };
}

function linesIn(path: string): readonly string[] {
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8').split('\n').slice(0, -1);
}
