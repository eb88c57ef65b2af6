/**
 * Judges processes that meet odd bytes, and what callers in order got beside
 * them: no process ends by itself, and all others are served.
 */
import {askedAt} from '../starts_and_ends/starts_judge.js';
import type {LifeFacts, Span} from '../starts_and_ends/starts_judge.js';
import type {Outcome} from './honest_callers.js';
import {STREAM_EVENTS} from './odd_replica.js';
import type {SentAnswer} from './odd_replica.js';

/** Log lines that no bytes from outside may bring about. */
const FAULT_LINES = [
  'service-failed',
  'message-failed',
  'step-failed',
  'error-unowned',
  'invariant-violated',
  'process-failed',
];
const MOST_LINES = 3;
const MOST_CHARACTERS = 400;
/** A process's connections close before its exit is seen. */
const EXIT_SEEN_MS = 250;
/** Every route's time-out is over by then; the callers' deadline is later. */
const STALLED_MS = 7_500;
/** They promise that the request has not run. */
const PROMISES = [408, 421, 429, 503];

export interface AnswerRules {
  readonly lives: readonly LifeFacts[];
  /** All that odd replicas sent, also that of callers that aren't judged. */
  readonly sent: readonly SentAnswer[];
  /** How often sound replicas ran the request. */
  soundRuns(id: string): number;
  /** Times in which entries may lack what the store says. */
  readonly away: readonly Span[];
}

export interface AnswerReport {
  readonly violations: readonly string[];
  /** Judged as served by entries in service, by kind and status. */
  readonly served: Readonly<Record<string, number>>;
}

/** Of one process, as "KIND: text". */
export function judgeLines({name, lines}: LifeFacts): readonly string[] {
  return FAULT_LINES.flatMap(fault =>
    lines
      .filter(line => line.includes(`"${fault}"`))
      .slice(0, MOST_LINES)
      .map(line => `${fault}: ${name} ${line.slice(0, MOST_CHARACTERS)}`),
  );
}

/** Longest time for which any process served nobody, by its own log. */
export function longestStallMs(lives: readonly LifeFacts[]): number {
  const stalls = lives
    .flatMap(({lines}) => lines)
    .filter(line => line.includes('"direct-loop-stalled"'))
    .map(line => Number(/"stalledMs":(\d+)/.exec(line)?.[1] ?? 0));
  return Math.max(0, ...stalls);
}

export function judgeAnswers(
  outcomes: readonly Outcome[],
  rules: AnswerRules,
): AnswerReport {
  const sentTo = new Map<string, SentAnswer[]>();
  for (const answer of rules.sent) {
    sentTo.set(answer.id, [...(sentTo.get(answer.id) ?? []), answer]);
  }
  const served: Record<string, number> = {};
  const violations = outcomes.flatMap(outcome => {
    const sent = sentTo.get(outcome.id) ?? [];
    const runs = rules.soundRuns(outcome.id);
    const broken = [
      ...judgeAnswer(outcome, sent),
      ...judgeRuns(outcome, sent, runs),
      ...judgeEnd(outcome),
      ...(outcome.kind.endsWith('stream') ? judgeEvents(outcome, sent) : []),
    ];
    if (isInService(outcome, rules.lives)) {
      const how = outcome.isWhole ? `${outcome.status}` : 'cut';
      const key = `${outcome.kind} ${how}`;
      served[key] = (served[key] ?? 0) + 1;
      broken.push(...judgeServed(outcome, sent, rules.away));
    }
    return broken.map(it => `${it}; ${tell(outcome, sent, runs)}`);
  });
  return {violations, served};
}

function judgeAnswer(outcome: Outcome, sent: readonly SentAnswer[]): string[] {
  const {id, kind, status, seal, body, isWhole, surplus} = outcome;
  if (status === undefined) return [];
  if (!(status >= 200 && status <= 599)) return [`status: ${status}`];
  if (surplus !== '') return ['surplus: bytes behind an answer'];
  if (status < 300 && seal !== `seal-${id}`) return ['unsealed: a success'];
  // Those of a sound replica are all successes.
  if (seal !== undefined && status >= 300) {
    return sent.some(it => it.status === status || it.status === undefined)
      ? []
      : [`other-status: ${status} under a replica's seal`];
  }
  if (status >= 300 || !isWhole || kind.endsWith('stream')) return [];
  const isSound = !kind.startsWith('odd') && body === `answer to ${id}`;
  const isSent = sent.some(
    it => isAcceptable(it) && !it.isCut && it.body === body,
  );
  return isSound || isSent || hasNoBody(status)
    ? []
    : ['mixed: body of no whole answer'];
}

/** A stream that its replica leaves without an end may last until its deadline. */
function judgeEnd({kind, status, sentAt, endedAt}: Outcome): string[] {
  const hasBegun = status !== undefined && status < 300;
  const tookMs = Math.round(endedAt - sentAt);
  if (tookMs <= STALLED_MS || (kind === 'odd-stream' && hasBegun)) return [];
  return [`stalled: no end for ${tookMs} ms`];
}

/** A reader may take its head for that of a success. */
function isAcceptable({status, isHeadWrong}: SentAnswer): boolean {
  const isSuccess = status === undefined || (status >= 200 && status <= 299);
  return isSuccess && !isHeadWrong;
}

function hasNoBody(status: number): boolean {
  return status === 204;
}

function judgeRuns(
  {kind, status}: Outcome,
  sent: readonly SentAnswer[],
  soundRuns: number,
): string[] {
  if (kind !== 'once') return [];
  const runs = soundRuns + sent.filter(it => !it.isNotRun).length;
  if (runs > 1) return [`twice: ran ${runs} times`];
  return PROMISES.includes(status ?? 0) && runs > 0
    ? [`refused: ${status}, and it ran`]
    : [];
}

function judgeEvents(
  {status, body, isWhole}: Outcome,
  sent: readonly SentAnswer[],
): string[] {
  if (!(status !== undefined && status >= 200 && status < 300)) return [];
  const hasOddEvents = sent.some(it => it.hasOddEvents);
  const numbers = [...body.matchAll(/odd (\d+) piece/g)].map(it =>
    Number(it[1]),
  );
  // Odd events may state the number of no answer.
  const foreign = numbers.find(number => {
    const from = sent.find(it => it.number === number);
    return from === undefined ? !hasOddEvents : !isAcceptable(from);
  });
  if (foreign !== undefined) return [`spliced: of the answer ${foreign}`];
  if (hasOddEvents || status === 204) return [];
  const ids = [...body.matchAll(/(?:^|\n)id: (\d+)\n/g)].map(it =>
    Number(it[1]),
  );
  if (ids.some((id, at) => id !== at + 1)) return [`order: ${ids.join(' ')}`];
  // Without a length or chunks, a part that ends in order is what was sent.
  const isPart = isWhole && ids.length < STREAM_EVENTS;
  return isPart ? [`part: whole after ${ids.length} events`] : [];
}

function judgeServed(
  {kind, status, isWhole, sentAt, endedAt}: Outcome,
  sent: readonly SentAnswer[],
  away: readonly Span[],
): string[] {
  if (kind !== 'again' && kind !== 'stream') return [];
  if (status === 200 && (isWhole || kind === 'stream')) return [];
  // A replica's own failure is passed on.
  if (sent.some(it => it.status === status)) return [];
  const isExcused =
    status === 503 && away.some(it => it.from <= endedAt && it.to >= sentAt);
  const tookMs = Math.round(endedAt - sentAt);
  return isExcused
    ? []
    : [`unserved: ${status ?? 'nothing'} after ${tookMs} ms`];
}

/** The process was ready before it, and not asked to end until after it. */
function isInService(
  {entry, sentAt, endedAt}: Outcome,
  lives: readonly LifeFacts[],
): boolean {
  return lives.some(
    life =>
      life.entry === entry &&
      (life.readyAt ?? Infinity) <= sentAt &&
      askedAt(life) >= endedAt &&
      // What an end by itself breaks off is reported as that.
      (life.end?.at ?? Infinity) >= endedAt + EXIT_SEEN_MS,
  );
}

function tell(
  {id, kind, entry, status, body}: Outcome,
  sent: readonly SentAnswer[],
  runs: number,
): string {
  const answers = sent.map(it => {
    const how = [it.isCut && 'cut', it.isHeadWrong && 'wrong'].filter(Boolean);
    return [`${it.number}:`, ...how, JSON.stringify(it.head)].join(' ');
  });
  const got = JSON.stringify(body.slice(0, 60));
  return `${id} ${kind} at ${entry}: ${status} ${got}, odd answers [${answers.join(', ')}], sound runs ${runs}`;
}
