/**
 * Judges processes in which errors are thrown, or that have no configuration:
 * none ends by itself, each caller has an answer, and the log stays bounded.
 */
import {DEADLINE_MS} from '../odd_wires/honest_callers.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {
  FEWEST_JUDGED,
  askedAt,
  byStatus,
} from '../starts_and_ends/starts_judge.js';
import type {LifeFacts, Span} from '../starts_and_ends/starts_judge.js';
import type {ReadyCheck, StepOutcome} from './step_callers.js';
import type {ThrownError} from './thrown_errors.js';

/** Lines of errors that belong to one request or connection. */
const OWNED = /"(direct-faulted|direct-connection-faulted)"/;
const OWNERS = /"(?:requestId|connection)":"([^"]+)"/g;
/** Lines of errors that are nobody's. */
const FAILED =
  /"name":"(service-failed|message-failed|error-unowned|call-failed|peer-message-dropped|step-failed)"/;
/** Fields that tell where an error arose. */
const PLACE_FIELDS = ['service', 'kind', 'callback', 'to', 'step', 'entry'];
const STACK_LINES = 3;
/** Of lines of one kind of error. */
const MOST_A_MINUTE = 3;
const MOST_AT_ONCE = 2;
const MS_PER_MINUTE = 60_000;
/** The first line is written before the addresses are bound. */
const BIND_MS = 300;
/** A process's connections close before its exit is seen. */
const EXIT_SEEN_MS = 250;
/** An answer ends so much later than its deadline at most. */
const LATE_MS = 1_500;
/** A refusal without a configuration waits for nothing. */
const AT_ONCE_MS = 1_000;
/** A batch of lines that is lost began so long before at most. */
const BATCH_MS = 100;
const SERVED_SHARE = 0.5;
/** A line that fails is lost, and no others are. */
const UNTOLD_SHARE = 0.2;
const MOST_EXAMPLES = 2;
/** What an error of a request or connection may cost its caller. */
const LOSSES = ['refused', 'refused-unready', 'reset', 'cut'];
/** Shorter than the time limit of a readiness check. */
const RESET_MS = 500;

export interface StepRules {
  readonly lives: readonly LifeFacts[];
  /** Time of day at the steady time 0, in milliseconds. */
  readonly timeOrigin: number;
  /** Times in which no entry knows a configuration. */
  readonly unconfigured: readonly Span[];
  /** Times in which entries may lack what the store says. */
  readonly away: readonly Span[];
  /** Errors at any place of the process with this name. */
  thrownIn(name: string): readonly ThrownError[];
}

export interface StepReport {
  readonly violations: readonly string[];
  /** At processes in service, by status. */
  readonly served: Readonly<Record<string, number>>;
  /** Refused in time without a configuration. */
  readonly refusedWithout: number;
  /** Without an answer, with a line of an error of their own. */
  readonly excused: number;
  /** The same where an error in the log lost that line. */
  readonly untold: number;
}

type Timed = Pick<StepOutcome, 'entry' | 'sentAt' | 'endedAt'>;

/** Violations as "KIND: text". */
export function judgeSteps(
  outcomes: readonly StepOutcome[],
  checks: readonly ReadyCheck[],
  {lives, timeOrigin, unconfigured, away, thrownIn}: StepRules,
): StepReport {
  const services = lives.map(life => ({
    ...serviceOf(life, timeOrigin),
    takeUntold: createUntold(thrownIn(life.name), timeOrigin),
  }));
  const inService = <T extends Timed>(all: readonly T[]) =>
    all.flatMap(it => {
      const service = services.find(
        ({life, from, to}) =>
          life.entry === it.entry && from <= it.sentAt && it.endedAt <= to,
      );
      return service === undefined ? [] : [{it, ...service}];
    });
  const isWithout = ({sentAt, endedAt}: Timed) =>
    unconfigured.some(({from, to}) => from <= sentAt && endedAt <= to);
  const touchesTrouble = ({sentAt, endedAt}: Timed) =>
    [...unconfigured, ...away].some(
      ({from, to}) => from <= endedAt && sentAt <= to,
    );
  const answers = inService(outcomes).map(({it, life, owned, takeUntold}) => {
    const wrong = judgeAnswer(it, life);
    const isOwned = owned.has(it.id ?? '') || owned.has(it.connection ?? '');
    const isRefusable = !it.hasLeft && isWithout(it);
    const kind = wrong ?? (isRefusable ? judgeRefusal(it) : undefined);
    const isLost = LOSSES.includes(wrong ?? '');
    const isUntold = isLost && !isOwned && takeUntold(it);
    const isExcused = wrong !== undefined && (isOwned || isUntold);
    return {it, life, kind, isRefusable, isExcused, isUntold};
  });
  const usual = answers.filter(
    ({it, life: {readyAt = Infinity}}) =>
      !it.hasLeft && it.sentAt >= readyAt && !touchesTrouble(it),
  );
  const logged = new Set(
    lives.flatMap(({lines}) =>
      lines.map(line => /"requestId":"([^"]*)"/.exec(line)?.[1]),
    ),
  );
  const violations = [
    ...answers
      .filter(({kind, isExcused}) => kind !== undefined && !isExcused)
      .map(({it, life, kind}) => `${kind}: ${describe(it, life)}`),
    ...inService(checks)
      .filter(({it, owned}) => !owned.has(it.connection ?? ''))
      .filter(({it, takeUntold}) => !isReset(it) || !takeUntold(it))
      .flatMap(({it, life}) => judgeCheck(it, life, isWithout(it))),
    ...lives.flatMap(life => {
      const own = usual.filter(answer => answer.life === life);
      return judgeShares(
        life,
        own.map(({it}) => it),
        logged,
      );
    }),
  ];
  return {
    violations,
    served: byStatus(usual.map(({it}) => it)),
    refusedWithout: answers.filter(
      ({isRefusable, kind}) => isRefusable && kind === undefined,
    ).length,
    excused: answers.filter(({isExcused}) => isExcused).length,
    untold: answers.filter(({isUntold}) => isUntold).length,
  };
}

/** A process from its first line until it is asked to end. */
function serviceOf(life: LifeFacts, timeOrigin: number) {
  const owned = life.lines
    .filter(line => OWNED.test(line))
    .flatMap(line => [...line.matchAll(OWNERS)].map(([, value]) => value));
  return {
    life,
    from: firstLineAt(life, timeOrigin) + BIND_MS,
    to: Math.min(askedAt(life), (life.end?.at ?? Infinity) - EXIT_SEEN_MS),
    owned: new Set(owned),
  };
}

/** A check that its time limit ends is no such one. */
function isReset({status, sentAt, endedAt}: ReadyCheck): boolean {
  return status === undefined && endedAt - sentAt < RESET_MS;
}

/**
 * Whether the line that tells of an answer's loss may itself be lost: an error was
 * thrown in the log when it was due, and another one in the time of the request.
 * Each of these others stands for one answer.
 */
function createUntold(
  thrown: readonly ThrownError[],
  timeOrigin: number,
): (outcome: Timed) => boolean {
  const timesOf = (isInLog: boolean) =>
    thrown
      .filter(it => it.isInLog === isInLog)
      .map(({wallMs}) => wallMs - timeOrigin);
  const inLog = timesOf(true);
  const own = new Set(timesOf(false));
  return ({sentAt, endedAt}) => {
    // Times of day are whole milliseconds.
    const from = sentAt - 1;
    const isLineLost = inLog.some(at => from <= at && at <= endedAt + BATCH_MS);
    const cause = [...own].find(at => from <= at && at <= endedAt);
    if (!isLineLost || cause === undefined) return false;
    return own.delete(cause);
  };
}

/** Steady time of its first line; Infinity without one. */
function firstLineAt({lines}: LifeFacts, timeOrigin: number): number {
  const time = /"time":"([^"]+)"/.exec(lines[0] ?? '')?.[1];
  return time === undefined ? Infinity : Date.parse(time) - timeOrigin;
}

/** What is wrong with an answer or its lack, whatever the entry knew. */
function judgeAnswer(
  outcome: StepOutcome,
  {readyAt = Infinity}: LifeFacts,
): string | undefined {
  const {isTaken, status, isWhole, hasLeft, sentAt, endedAt} = outcome;
  if (!isTaken) {
    return sentAt < readyAt ? 'refused-unready' : 'refused';
  }
  if (hasLeft) return undefined;
  if (endedAt - sentAt > DEADLINE_MS + LATE_MS) return 'late';
  if (status === undefined) return 'reset';
  if (status < 200 || status > 599) return 'status';
  return isWhole ? undefined : 'cut';
}

function judgeRefusal(outcome: StepOutcome): string | undefined {
  const {status, hasRetryAfter, sentAt, endedAt} = outcome;
  const isAtOnce = endedAt - sentAt <= AT_ONCE_MS;
  return status === 503 && hasRetryAfter && isAtOnce
    ? undefined
    : 'unconfigured';
}

function judgeCheck(
  {connection, status, sentAt, endedAt}: ReadyCheck,
  {name}: LifeFacts,
  isWithout: boolean,
): readonly string[] {
  const tookMs = Math.round(endedAt - sentAt);
  const when = `${name} ${connection} after ${tookMs} ms, ended ${timeOf(endedAt)}`;
  if (isWithout && status !== 503) {
    const is = status ?? 'nothing';
    return [`readiness: ${is} without a configuration, ${when}`];
  }
  return status === undefined ? [`readiness: no answer, ${when}`] : [];
}

/** Whether most of its usual requests were served, and most served ones logged. */
function judgeShares(
  {name}: LifeFacts,
  usual: readonly StepOutcome[],
  logged: ReadonlySet<string | undefined>,
): readonly string[] {
  const served = usual.filter(({status}) => status === 200);
  const untold = served.filter(({id}) => !logged.has(id)).length;
  const isTooFew = served.length < SERVED_SHARE * usual.length;
  const isLost = untold > UNTOLD_SHARE * served.length;
  return [
    ...(usual.length >= FEWEST_JUDGED && isTooFew
      ? [`served: ${name} ${JSON.stringify(byStatus(usual))}`]
      : []),
    ...(served.length >= FEWEST_JUDGED && isLost
      ? [`log-lost: ${name} no line of ${untold} of ${served.length}`]
      : []),
  ];
}

function describe(outcome: StepOutcome, {name}: LifeFacts): string {
  const {id, path, connection, status, sentAt, endedAt} = outcome;
  const tookMs = Math.round(endedAt - sentAt);
  return `${name} ${id} ${path} ${connection} ${status ?? 'none'} after ${tookMs} ms, ended ${timeOf(endedAt)}`;
}

function timeOf(steadyMs: number): string {
  return new Date(performance.timeOrigin + steadyMs).toISOString();
}

/** Whether errors of one kind take more lines than a few a minute. */
export function judgeLog(
  life: LifeFacts,
  times: {readonly timeOrigin: number; readonly observedTo: number},
): readonly string[] {
  const {name, lines, end} = life;
  const endAt = end?.at ?? times.observedTo;
  const ranMs = Math.max(0, endAt - firstLineAt(life, times.timeOrigin));
  const most = MOST_AT_ONCE + (MOST_A_MINUTE * ranMs) / MS_PER_MINUTE;
  const failed = lines.filter(it => FAILED.test(it));
  return Object.entries(countBy(failed, kindOf))
    .filter(([, count]) => count > most)
    .slice(0, MOST_EXAMPLES)
    .map(
      ([kind, count]) =>
        `log: ${name} ${count} lines in ${Math.round(ranMs)} ms: ${kind}`,
    );
}

function kindOf(line: string): string {
  const fields = JSON.parse(line) as Readonly<Record<string, unknown>>;
  const place = PLACE_FIELDS.map(it => String(fields[it] ?? '')).join(' ');
  const stack = String(fields['cause']).split('\n', STACK_LINES).join(' ');
  return `${String(fields['name'])} ${place} ${stack}`;
}

/** At most a few of each kind, and how many more there are. */
export function shorten(violations: readonly string[]): readonly string[] {
  const kindOfOne = (it: string) => it.split(' ', 2).join(' ');
  const seen = new Map<string, number>();
  const shown = violations.filter(it => {
    const count = (seen.get(kindOfOne(it)) ?? 0) + 1;
    seen.set(kindOfOne(it), count);
    return count <= MOST_EXAMPLES;
  });
  const more = [...seen]
    .filter(([, count]) => count > MOST_EXAMPLES)
    .map(([kind, count]) => `${kind} ${count - MOST_EXAMPLES} more`);
  return [...shown, ...more];
}
