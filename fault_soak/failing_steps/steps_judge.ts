/**
 * Judges processes in which errors are thrown, or that have no configuration:
 * none ends by itself, each caller has an answer, and the log stays bounded.
 */
import {
  FEWEST_JUDGED,
  askedAt,
  byStatus,
} from '../starts_and_ends/starts_judge.js';
import type {LifeFacts, Span} from '../starts_and_ends/starts_judge.js';
import {DEADLINE_MS} from './step_callers.js';
import type {ReadyCheck, StepOutcome} from './step_callers.js';

/** Lines of errors that belong to one request or connection. */
const OWNED = ['direct-faulted', 'direct-connection-faulted'];
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
const SERVED_SHARE = 0.5;
/** A line that fails is lost, and no others are. */
const UNTOLD_SHARE = 0.2;
const MOST_EXAMPLES = 2;

export interface StepRules {
  readonly lives: readonly LifeFacts[];
  /** Time of day at the steady time 0, in milliseconds. */
  readonly timeOrigin: number;
  /** Times in which no entry knows a configuration. */
  readonly unconfigured: readonly Span[];
  /** Times in which entries may lack what the store says. */
  readonly away: readonly Span[];
}

export interface StepReport {
  readonly violations: readonly string[];
  /** At processes in service, by status. */
  readonly served: Readonly<Record<string, number>>;
  /** Refused in time without a configuration. */
  readonly refusedWithout: number;
  /** Without an answer, with a line of an error of their own. */
  readonly excused: number;
}

interface Timed {
  readonly entry: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

interface Service {
  readonly life: LifeFacts;
  readonly from: number;
  readonly to: number;
  readonly owned: ReadonlySet<string>;
}

/** Violations as "KIND: text". */
export function judgeSteps(
  outcomes: readonly StepOutcome[],
  checks: readonly ReadyCheck[],
  rules: StepRules,
): StepReport {
  const services = rules.lives.map(life => serviceOf(life, rules.timeOrigin));
  const serviceFor = ({entry, sentAt, endedAt}: Timed) =>
    services.find(
      ({life, from, to}) =>
        life.entry === entry && from <= sentAt && endedAt <= to,
    );
  const isWithin = ({sentAt, endedAt}: Timed, spans: readonly Span[]) =>
    spans.some(({from, to}) => from <= sentAt && endedAt <= to);
  const touches = ({sentAt, endedAt}: Timed, spans: readonly Span[]) =>
    spans.some(({from, to}) => from <= endedAt && sentAt <= to);
  const judged = outcomes.flatMap(outcome => {
    const service = serviceFor(outcome);
    return service === undefined ? [] : [{outcome, service}];
  });
  const broken: string[] = [];
  const usual = new Map<LifeFacts, StepOutcome[]>();
  const logged = new Set(
    rules.lives.flatMap(({lines}) =>
      lines.map(line => /"requestId":"([^"]*)"/.exec(line)?.[1]),
    ),
  );
  let refusedWithout = 0;
  let excused = 0;
  for (const {outcome, service} of judged) {
    const {id, connection} = outcome;
    const found = judgeAnswer(outcome, service.life);
    if (found !== undefined) {
      const isOwned = [id, connection].some(
        it => it !== undefined && service.owned.has(it),
      );
      if (isOwned) excused++;
      else broken.push(`${found}: ${describe(outcome, service.life)}`);
    } else if (isWithin(outcome, rules.unconfigured) && !outcome.hasLeft) {
      const tookMs = outcome.endedAt - outcome.sentAt;
      const isRefused = outcome.status === 503 && outcome.hasRetryAfter;
      if (isRefused && tookMs <= AT_ONCE_MS) refusedWithout++;
      else broken.push(`unconfigured: ${describe(outcome, service.life)}`);
    }
    const isUsual =
      !outcome.hasLeft &&
      !touches(outcome, [...rules.unconfigured, ...rules.away]);
    if (!isUsual || outcome.sentAt < (service.life.readyAt ?? Infinity))
      continue;
    usual.set(service.life, [...(usual.get(service.life) ?? []), outcome]);
  }
  for (const check of checks) {
    const service = serviceFor(check);
    if (service === undefined) continue;
    if (service.owned.has(check.connection ?? '')) continue;
    const isUnconfigured = isWithin(check, rules.unconfigured);
    const when = `${service.life.name} at ${Math.round(check.sentAt)}`;
    const is = check.status ?? 'nothing';
    if (isUnconfigured && check.status !== 503) {
      broken.push(`readiness: ${is} without a configuration, ${when}`);
    } else if (check.status === undefined) {
      broken.push(`readiness: no answer, ${when}`);
    }
  }
  for (const [{name}, all] of usual) {
    const served = all.filter(({status}) => status === 200).length;
    if (all.length >= FEWEST_JUDGED && served < SERVED_SHARE * all.length) {
      broken.push(`served: ${name} ${JSON.stringify(byStatus(all))}`);
    }
  }
  for (const [{name}, all] of usual) {
    const served = all.filter(({status}) => status === 200);
    const untold = served.filter(({id}) => !logged.has(id)).length;
    if (served.length < FEWEST_JUDGED) continue;
    if (untold <= UNTOLD_SHARE * served.length) continue;
    broken.push(`log-lost: ${name} no line of ${untold} of ${served.length}`);
  }
  return {
    violations: broken,
    served: byStatus([...usual.values()].flat()),
    refusedWithout,
    excused,
  };
}

/** A process in which the first line was written, until it is asked to end. */
function serviceOf(life: LifeFacts, timeOrigin: number): Service {
  const times = life.lines
    .slice(0, 1)
    .map(line => /"time":"([^"]+)"/.exec(line)?.[1])
    .map(time => Date.parse(time ?? '') - timeOrigin);
  const [firstAt = Infinity] = times;
  const endAt = (life.end?.at ?? Infinity) - EXIT_SEEN_MS;
  const owned = life.lines
    .filter(line => OWNED.some(name => line.includes(`"${name}"`)))
    .flatMap(line => [
      ...line.matchAll(/"(?:requestId|connection)":"([^"]*)"/g),
    ])
    .map(([, value]) => value);
  return {
    life,
    from: firstAt + BIND_MS,
    to: Math.min(askedAt(life), endAt),
    owned: new Set(owned),
  };
}

/** What is wrong with an answer or its lack, whatever the entry knew. */
function judgeAnswer(
  outcome: StepOutcome,
  {readyAt = Infinity}: LifeFacts,
): string | undefined {
  const {connection, status, isWhole, hasLeft, sentAt, endedAt} = outcome;
  if (connection === undefined) {
    return sentAt < readyAt ? 'refused-unready' : 'refused';
  }
  if (hasLeft) return undefined;
  if (endedAt - sentAt > DEADLINE_MS + LATE_MS) return 'late';
  if (status === undefined) return 'reset';
  if (status < 200 || status > 599) return 'status';
  return isWhole ? undefined : 'cut';
}

function describe(outcome: StepOutcome, {name}: LifeFacts): string {
  const {id, path, connection, status, sentAt, endedAt} = outcome;
  const tookMs = Math.round(endedAt - sentAt);
  const at = new Date(performance.timeOrigin + endedAt).toISOString();
  return `${name} ${id} ${path} ${connection} ${status ?? 'none'} after ${tookMs} ms, ended ${at}`;
}

/** Whether errors of one kind take more lines than a few a minute. */
export function judgeLog(
  {name, lines, end}: LifeFacts,
  {
    timeOrigin,
    observedTo,
  }: {readonly timeOrigin: number; readonly observedTo: number},
): readonly string[] {
  const firstAt = Date.parse(
    /"time":"([^"]+)"/.exec(lines[0] ?? '')?.[1] ?? '',
  );
  const ranMs = (end?.at ?? observedTo) - (firstAt - timeOrigin);
  const most = MOST_AT_ONCE + (MOST_A_MINUTE * ranMs) / MS_PER_MINUTE;
  const counts = new Map<string, number>();
  for (const line of lines.filter(it => FAILED.test(it))) {
    const kind = kindOf(line);
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return [...counts]
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
  const counts = new Map<string, number>();
  const shown = violations.filter(it => {
    const kind = it.split(' ', 2).join(' ');
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    return (counts.get(kind) ?? 0) <= MOST_EXAMPLES;
  });
  const more = [...counts]
    .filter(([, count]) => count > MOST_EXAMPLES)
    .map(([kind, count]) => `${kind} ${count - MOST_EXAMPLES} more`);
  return [...shown, ...more];
}
