/**
 * Judges how requests ended beside silent replicas, stops of entries and new
 * configurations. Two ways of going wrong are told apart: an answer that was
 * ended though it would have come, and a caller kept at a replica that is gone
 * while another one would have served.
 */
import {eventText} from '../../standins/users_platform/replica.js';

export const STREAM_EVENTS = 32;
export const EVENT_PAUSE_MS = 60;
export const DEADLINE_MS = 10_000;
/** Objectives of the routes of streams. */
export const FIRST_EVENT_AIM_MS = 300;
export const PAUSE_AIM_MS = 250;

/** A request that has used this share of its time may end by its deadline. */
const DEADLINE_SHARE = 0.9;
/** An entry ends a request this long after its deadline at the latest. */
const DEADLINE_SLACK_MS = 1_000;
/** A request that is sent so shortly before the end crosses the close. */
const CROSSING_MS = 200;
/** Requests sent so long after a SIGTERM may be cut off by the grace time. */
const LATE_SENDING_MS = 3_000;
/** Part of the grace time whose end may cut off what replicas still do. */
const LAST_GRACE_SHARE = 1 / 6;
/**
 * Time after which an entry looks for another replica: the first event's limit
 * is the longer one, at twice the objective and 300 ms.
 */
const SILENCE_LIMIT_MS = 2 * FIRST_EVENT_AIM_MS + 300;
const OWN_TIME_MS = STREAM_EVENTS * EVENT_PAUSE_MS;
/** Timers of entries and replicas are late on a loaded machine. */
const KEPT_SLACK_MS = 1_000;

const OK = 200;
const DENIALS: ReadonlySet<number> = new Set([401, 403, 404]);
/** Promises that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const WHOLE_STREAM = Array.from({length: STREAM_EVENTS}, (_, at) =>
  eventText(at + 1),
).join('');

/** `pair` streams go to a service of two engines, one of them sound. */
export type Kind = 'stream' | 'pair' | 'long' | 'once';

/** One request's end, as its caller saw it. Times are steady milliseconds. */
export interface Ended {
  readonly id: string;
  readonly kind: Kind;
  readonly entry: number;
  readonly key: string;
  /** Whether its connection was open when it was sent. */
  readonly wasConnected: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined when no event came. */
  readonly firstEventAt: number | undefined;
  /** Longest time between two events. */
  readonly longestPauseMs: number;
  /** Undefined when no answer began. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isWhole: boolean;
}

/** A SIGTERM of an entry; steady times, in milliseconds. */
export interface Stop {
  readonly entry: number;
  readonly from: number;
  /** When its process was gone; Infinity before. */
  to: number;
}

/** What the judge knows of one request besides its end. */
export interface RequestFacts {
  readonly runs: number;
  /** Runs, and refusals by replicas. */
  readonly attempts: number;
  /** A replica had not ended its work on the request by then. */
  isAtWork(at: number): boolean;
  /** A replica was killed under a run of it just before it ended. */
  readonly brokeOff: boolean;
  /** The stop of its entry that was under way when it ended. */
  readonly stop: Stop | undefined;
  readonly graceMs: number;
  /** Time before its end in which a sound replica of its service was silent. */
  readonly silentMs: number;
  /** Time before its end in which its entry was paused. */
  readonly entrySilentMs: number;
  /** Whether a replica runs it when all callers have ended. */
  readonly isStillRun: boolean;
  /** Whether some or all versions allow it that may have been in force. */
  readonly allowedBySome: boolean;
  readonly allowedByAll: boolean;
}

export function isStream({kind}: Pick<Ended, 'kind'>): boolean {
  return kind !== 'once';
}

/** In words; `whole` where the answer is complete and right. */
export function endOf(one: Ended): string {
  const {status, isWhole, body, id} = one;
  if (status === undefined) {
    return one.wasConnected ? 'without an answer' : 'not connected';
  }
  if (status !== OK) return `with ${status}`;
  const expected = isStream(one) ? WHOLE_STREAM : `answer to ${id}`;
  if (isWhole) return body === expected ? 'whole' : 'wrong';
  return expected.startsWith(body) ? 'cut' : 'wrong';
}

/** In words, what was broken. */
export function judge(one: Ended, facts: RequestFacts): readonly string[] {
  const found = [
    ...judgeRuns(one, facts),
    ...judgeEnd(one, facts),
    ...judgeTime(one, facts),
    ...(facts.isStillRun && !facts.brokeOff ? ['is still run'] : []),
  ];
  const tookMs = Math.round(one.endedAt - one.sentAt);
  const {silentMs, entrySilentMs, runs, stop} = facts;
  const stopText =
    stop === undefined
      ? ''
      : `, ${Math.round(one.endedAt - stop.from)} ms after the SIGTERM`;
  return found.map(
    what =>
      `${one.id} ${what}: ended ${endOf(one)} after ${tookMs} ms, ` +
      `${Math.round(silentMs)} ms silent, its entry ` +
      `${Math.round(entrySilentMs)} ms, ran ${runs} times${stopText}`,
  );
}

function judgeRuns(one: Ended, {runs}: RequestFacts): readonly string[] {
  if (isStream(one)) return [];
  const found: string[] = [];
  if (runs > 1) found.push('ran more than once');
  if (one.status !== undefined && NOT_RUN.has(one.status) && runs > 0) {
    found.push('was refused and ran');
  }
  return found;
}

/** An answer that would have come is not ended. */
function judgeEnd(one: Ended, facts: RequestFacts): readonly string[] {
  const end = endOf(one);
  if (end === 'wrong') return ['got what its replica did not send'];
  if (end === 'whole' || end === 'not connected') return [];
  const isExcused =
    isDenied(one, facts) ||
    facts.brokeOff ||
    (one.status !== undefined && NOT_RUN.has(one.status) && facts.runs === 0) ||
    one.endedAt - one.sentAt > DEADLINE_SHARE * DEADLINE_MS ||
    isEndedByStop(one, facts);
  return isExcused ? [] : ['has no complete answer'];
}

/** The status of what no version in force allows is not judged. */
function isDenied({status}: Ended, facts: RequestFacts): boolean {
  if (status === undefined || status === OK) return false;
  return !facts.allowedBySome || (DENIALS.has(status) && !facts.allowedByAll);
}

function isEndedByStop(one: Ended, facts: RequestFacts): boolean {
  const {stop, runs, graceMs} = facts;
  if (stop === undefined) return false;
  const {sentAt, endedAt, status} = one;
  const crosses =
    status === undefined && runs === 0 && endedAt - sentAt < CROSSING_MS;
  const lastFrom = stop.from + graceMs * (1 - LAST_GRACE_SHARE);
  const isAtGraceEnd =
    endedAt >= lastFrom &&
    sentAt <= stop.from + LATE_SENDING_MS &&
    facts.isAtWork(lastFrom);
  return crosses || isAtGraceEnd;
}

/** No caller is kept at a replica that is gone while another one would serve. */
function judgeTime(
  one: Ended,
  {silentMs, entrySilentMs}: RequestFacts,
): readonly string[] {
  const tookMs = one.endedAt - one.sentAt;
  // Long streams also wait for each other's memory.
  const isBounded = one.kind === 'stream' || one.kind === 'pair';
  const allowedMs =
    OWN_TIME_MS +
    2 * SILENCE_LIMIT_MS +
    silentMs +
    entrySilentMs +
    KEPT_SLACK_MS;
  if (isBounded && tookMs > allowedMs) return ['was kept too long'];
  const isLate = tookMs > DEADLINE_MS + DEADLINE_SLACK_MS + entrySilentMs;
  return isLate ? ['outlasted its deadline'] : [];
}
