/**
 * Judges how processes start and end under signals and obstacles from outside,
 * and what callers got from those that nobody ended.
 */
import {countBy} from '../silent_replicas/silence_report.js';
import {DEADLINE_MS} from '../stops_and_records/pipelining_caller.js';

/** A signal that the soak sent. */
export interface SentSignal {
  readonly signal: NodeJS.Signals;
  /** Steady time, as all times here. */
  readonly at: number;
  /** Node had not begun to run the program, so that no code could handle it. */
  readonly isEarly: boolean;
}

export interface LifeFacts {
  readonly name: string;
  readonly entry: number;
  /** From then on nothing outside hindered its start; Infinity if never. */
  readonly clearAt: number;
  readonly readyAt: number | undefined;
  readonly signals: readonly SentSignal[];
  /** Undefined for one that still ran. */
  readonly end:
    | {
        readonly at: number;
        readonly code: number | null;
        readonly signal: NodeJS.Signals | null;
      }
    | undefined;
  /** Resident size at which the soak ended it for its limit, in megabytes. */
  readonly overLimitMb: number | undefined;
  readonly lines: readonly string[];
}

export interface LifeRules {
  readonly graceMs: number;
  /** The run was observed until then. */
  readonly observedTo: number;
  /** Times in which no entry can get answers of the store. */
  readonly away?: readonly Span[];
}

export interface Span {
  readonly from: number;
  readonly to: number;
}

/** How a request ended; no status where its connection ended before an answer. */
export interface CallerOutcome {
  readonly kind: 'small' | 'large';
  readonly entry: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number | undefined;
}

/** Callers of the users' sheets come so long after the start of the machines. */
export const READY_LIMIT_MS = 10_000;
/** The exit of a process is seen so much later in a busy soak. */
const EXIT_SEEN_MS = 250;
const MOST_LINES = 3;
const MOST_TIMES = 8;
/** Fewer requests say nothing about a share. */
export const FEWEST_JUDGED = 20;
const SMALL_SERVED_SHARE = 0.5;
const WINDOW_SERVED_SHARE = 0.9;
/**
 * A refusal that is written while the body still comes is lost where the
 * connection closes with bytes unread, which no entry can rule out.
 */
const LARGE_LOST_SHARE = 0.1;

const ENDING: readonly NodeJS.Signals[] = [
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGKILL',
];
/** Node's own, when SIGUSR1 opens its inspector. */
const INSPECTOR_LINE =
  /^(Debugger (listening|attached|ending)|For help, see: https:\/\/nodejs|Starting inspector on)/;

/** Violations as "KIND: text". */
export function judgeLife(
  life: LifeFacts,
  rules: LifeRules,
): readonly string[] {
  return [
    ...judgeEnd(life, rules),
    ...judgeStart(life, rules),
    ...judgeLines(life),
  ].map(it => it.replace(': ', `: ${life.name} `));
}

/** When it was first asked to end, in a way that it can handle or not. */
export function askedAt({signals}: LifeFacts): number {
  const asked = signals.find(it => ENDING.includes(it.signal));
  return asked?.at ?? Infinity;
}

function judgeEnd(life: LifeFacts, rules: LifeRules): readonly string[] {
  const {signals, end, overLimitMb} = life;
  if (overLimitMb !== undefined) {
    return [`memory: ended at ${Math.round(overLimitMb)} MB`];
  }
  const asked = signals.find(it => ENDING.includes(it.signal) && !it.isEarly);
  const wasKilled = signals.some(it => it.signal === 'SIGKILL');
  // An early one may have been lost or have ended it, so it binds to nothing.
  const mustEndAt =
    asked === undefined || asked.signal === 'SIGKILL'
      ? Infinity
      : asked.at + rules.graceMs + EXIT_SEEN_MS;
  if (end === undefined) {
    return rules.observedTo > mustEndAt
      ? [`late-end: runs after ${asked?.signal} and its grace time`]
      : [];
  }
  if (end.at > mustEndAt) {
    const tookMs = Math.round(end.at - (asked?.at ?? 0));
    return [`late-end: ended ${tookMs} ms after ${asked?.signal}`];
  }
  if (end.signal === 'SIGKILL' && wasKilled) return [];
  const wasEarly = signals.some(
    it =>
      it.isEarly &&
      (it.signal === end.signal ||
        (end.code === 0 && ENDING.includes(it.signal))),
  );
  if (wasEarly) return [];
  const how = end.signal ?? `code ${end.code}`;
  if (asked === undefined) {
    const sent = signals.map(it => it.signal).join(' ') || 'no signal';
    const last = life.lines.at(-1)?.slice(0, 160) ?? 'no line';
    return [`own-end: ended by itself with ${how} after ${sent}; ${last}`];
  }
  if (end.code === 0 || isTornDown(life)) return [];
  return [`asked-end: ended with ${how} after ${asked.signal}`];
}

/** It had drained; Node takes its handlers away before the process is gone. */
function isTornDown({end, lines}: LifeFacts): boolean {
  const isSignalled = end !== undefined && end.signal !== null;
  return isSignalled && (lines.at(-1) ?? '').includes('"process-ended"');
}

function judgeStart(life: LifeFacts, rules: LifeRules): readonly string[] {
  const tookMs = startMs(life, rules);
  if (tookMs <= READY_LIMIT_MS) return [];
  return [`start: not ready ${Math.round(tookMs)} ms after its obstacle`];
}

/** It waits anew after each time in which the store was away. */
export function startMs(
  life: LifeFacts,
  {observedTo, away = []}: LifeRules,
): number {
  const {clearAt, readyAt} = life;
  const until = readyAt ?? Math.min(askedAt(life), life.end?.at ?? observedTo);
  const froms = [clearAt, ...away.map(({to}) => Math.max(clearAt, to))];
  const waitsMs = froms.map(from => {
    const next = away.filter(({to}) => to > from).map(it => it.from);
    return Math.min(until, ...next) - from;
  });
  return Math.max(...waitsMs);
}

/** Of entries with these addresses, which were left alone before that. */
export function judgeReadiness(
  unready: readonly string[],
  when: string,
): readonly string[] {
  return unready.map(
    it => `never-ready: ${it} not ready for ${READY_LIMIT_MS} ms, ${when}`,
  );
}

/** Small requests in windows in which a ready fleet is left alone. */
export function judgeWindows(
  windows: ReadonlyArray<Span & {readonly name: string}>,
  outcomes: readonly CallerOutcome[],
): readonly string[] {
  return windows.flatMap(({name, from, to}) => {
    // One that is shorter may be ended by what follows the window.
    const sent = outcomes.filter(
      ({kind, sentAt, endedAt}) =>
        kind === 'small' &&
        sentAt >= from &&
        sentAt <= to &&
        (endedAt <= to || endedAt - sentAt > DEADLINE_MS),
    );
    const unserved = sent.filter(({status}) => status !== 200);
    const served = sent.length - unserved.length;
    if (served > 0 && served >= WINDOW_SERVED_SHARE * sent.length) return [];
    const statuses = JSON.stringify(byStatus(sent));
    const tookMs = unserved.map(it => Math.round(it.endedAt - it.sentAt));
    const some = tookMs.slice(0, MOST_TIMES).join(', ');
    return [`serves-nobody: ${name}: ${statuses}, unserved after ${some} ms`];
  });
}

function judgeLines(life: LifeFacts): readonly string[] {
  const {end, signals, lines} = life;
  const own = lines.filter(line => !INSPECTOR_LINE.test(line));
  // SIGKILL may cut the line that is being written.
  const wasCut = end?.signal === 'SIGKILL' && !isWhole(own.at(-1) ?? '{}');
  const whole = wasCut ? own.slice(0, -1) : own;
  const faulty = whole
    .filter(line => !isWhole(line) || line.includes('"invariant-violated"'))
    .slice(0, MOST_LINES)
    .map(line => `line: ${line.slice(0, 160)}`);
  const wasHandled =
    end?.code === 0 &&
    signals.some(it => ENDING.includes(it.signal) && !it.isEarly);
  const isTold = (whole.at(-1) ?? '').includes('"process-ended"');
  return wasHandled && !isTold
    ? [...faulty, 'last-line: does not tell of the end']
    : faulty;
}

function isWhole(line: string): boolean {
  try {
    return typeof JSON.parse(line) === 'object';
  } catch {
    // What the judge looks for.
    return false;
  }
}

export interface CallerRules {
  readonly lives: readonly LifeFacts[];
  /** Times of bursts, by entry. */
  readonly bursts: ReadonlyArray<Span & {readonly entry: number}>;
  /** Times in which no entry can get answers of the store. */
  readonly away?: readonly Span[];
}

export interface CallerReport {
  readonly violations: readonly string[];
  /** Large requests at processes in service, by status. */
  readonly large: Readonly<Record<string, number>>;
  /** Connections that processes closed unread in floods, by their logs. */
  readonly closedInFloods: number;
  /** Small requests beside bursts at the same process in service. */
  readonly beside: Readonly<Record<string, number>>;
}

export function judgeCallers(
  outcomes: readonly CallerOutcome[],
  {lives, bursts, away = []}: CallerRules,
): CallerReport {
  const lifeOf = ({entry, sentAt, endedAt}: CallerOutcome) =>
    lives.find(
      it =>
        it.entry === entry &&
        (it.readyAt ?? Infinity) <= sentAt &&
        askedAt(it) >= endedAt &&
        // Its connections close before its exit is seen.
        (it.end?.at ?? Infinity) >= endedAt + EXIT_SEEN_MS,
    );
  const served = outcomes.flatMap(outcome => {
    const life = lifeOf(outcome);
    return life === undefined ? [] : [{outcome, life}];
  });
  const ofKind = (kind: CallerOutcome['kind']) =>
    served.filter(({outcome}) => outcome.kind === kind);
  // An entry has time to recover from a store that was away.
  const isAway = ({sentAt, endedAt}: CallerOutcome) =>
    away.some(it => it.from <= endedAt && it.to + READY_LIMIT_MS >= sentAt);
  const small = ofKind('small').filter(({outcome}) => !isAway(outcome));
  const beside = small
    .map(({outcome}) => outcome)
    .filter(({entry, sentAt, endedAt}) =>
      bursts.some(
        it => it.entry === entry && it.from <= endedAt && it.to >= sentAt,
      ),
    );
  const large = ofKind('large').map(({outcome}) => outcome);
  const silent = lives.filter(life => {
    const own = small.filter(it => it.life === life);
    return (
      own.length >= FEWEST_JUDGED &&
      own.every(({outcome}) => outcome.status !== 200)
    );
  });
  const closed = lives.map(closedInFloods).reduce((sum, it) => sum + it, 0);
  // The guard against floods closes connections unread, so that the entry goes
  // on with those it has. It is reported, and not held against a process.
  const lost = large.filter(({status}) => status === undefined);
  const excused = new Set(lost.slice(0, closed));
  const judged = large.filter(it => !excused.has(it));
  const violations = [
    ...silent.map(({name}) => `refuses-all: ${name} served no request`),
    ...judgeShare(beside, [200], SMALL_SERVED_SHARE, 'small beside bursts'),
    ...judgeShare(judged, [200, 503], 1 - LARGE_LOST_SHARE, 'large'),
  ];
  return {
    violations,
    large: byStatus(large),
    closedInFloods: closed,
    beside: byStatus(beside),
  };
}

function closedInFloods({lines}: LifeFacts): number {
  return lines
    .filter(line => line.includes('"direct-connections-closed"'))
    .map(line => Number(/"closed":(\d+)/.exec(line)?.[1] ?? 0))
    .reduce((sum, it) => sum + it, 0);
}

function judgeShare(
  outcomes: readonly CallerOutcome[],
  wanted: readonly number[],
  share: number,
  what: string,
): readonly string[] {
  const good = outcomes.filter(it => wanted.includes(it.status ?? 0)).length;
  const isTooFew =
    outcomes.length >= FEWEST_JUDGED && good < share * outcomes.length;
  const statuses = JSON.stringify(byStatus(outcomes));
  return isTooFew ? [`share: ${what}: ${statuses}`] : [];
}

export function byStatus(
  outcomes: ReadonlyArray<Pick<CallerOutcome, 'status'>>,
): Readonly<Record<string, number>> {
  return countBy(outcomes, ({status}) => String(status ?? 'none'));
}
