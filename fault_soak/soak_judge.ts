/**
 * The promises that a run holds the system to, judged from what callers and
 * replicas saw.
 */
import {eventText} from '../standins/users_platform/replica.js';
import type {Outcome} from './soak_requests.js';
import {
  DEADLINE_MS,
  REFUSED_FOR_GOOD_STATUS,
  STREAM_EVENTS,
} from './soak_requests.js';

/** Time for the last bytes on the way, and for a busy machine. */
const DEADLINE_SLACK_MS = 1_500;
/** From a key's removal in the store to its last use, beside the bound. */
const REVOKE_SLACK_MS = 200;
/** Both trials of a request that is quarantined are over by then. */
const TRIED_MS = 12_000;

export interface Violation {
  readonly promise: string;
  readonly id: string;
  readonly detail: string;
}

/** What the judge must know beside the answers. */
export interface JudgeView {
  /** How often a replica began to run the request. */
  runs(id: string): number;
  /** When the store lost the key; undefined while it is good. */
  revokedAt(key: string): number | undefined;
  readonly revokeMs: number;
}

/** Text of a whole stream. */
const WHOLE_STREAM = Array.from({length: STREAM_EVENTS}, (_, at) =>
  eventText(at + 1),
).join('');

/** Judges what can be said at the end of a request. */
export function judgeAnswer(
  outcome: Outcome,
  view: JudgeView,
): readonly Violation[] {
  const found: Violation[] = [];
  const {id, status, body, kind, sentAt, endedAt, wasUndisturbed} = outcome;
  const blame = (promise: string, detail: string) =>
    found.push({promise, id, detail});

  const tookMs = endedAt - sentAt;
  if (wasUndisturbed && tookMs > DEADLINE_MS + DEADLINE_SLACK_MS) {
    blame('a final answer within the deadline', `took ${Math.round(tookMs)}`);
  }
  if (wasUndisturbed && status === undefined) {
    blame('an answer from an entry that lives', String(outcome.error));
  }
  if (status === 200 && kind === 'stream') {
    if (!WHOLE_STREAM.startsWith(body)) {
      blame('events in order, each once', JSON.stringify(body));
    }
    if (outcome.isWhole && body !== WHOLE_STREAM) {
      blame('a stream that ends well is whole', `${body.length} characters`);
    }
  }
  if (status === 200 && kind !== 'stream' && outcome.isWhole) {
    if (body !== `answer to ${id}`) blame('the own answer', body);
  }
  const revokedAt = view.revokedAt(outcome.key);
  if (status === 200 && revokedAt !== undefined) {
    const lateMs = sentAt - revokedAt - view.revokeMs;
    if (lateMs > REVOKE_SLACK_MS) {
      blame(
        'no service with a key taken away',
        `${Math.round(lateMs)} ms late`,
      );
    }
  }
  return found;
}

/**
 * What ran beside a request that crashes replicas looks like it, until one run
 * of its own has ended well.
 */
export function judgeRefusals(
  outcomes: readonly Outcome[],
): readonly Violation[] {
  const since = new Map<string, number>();
  const found: Violation[] = [];
  const inOrder = [...outcomes].sort((a, b) => a.sentAt - b.sentAt);
  for (const {id, kind, status, sentAt} of inOrder) {
    if (status === 200) since.delete(kind);
    if (status !== REFUSED_FOR_GOOD_STATUS) continue;
    const first = since.get(kind) ?? sentAt;
    since.set(kind, first);
    if (sentAt - first <= TRIED_MS) continue;
    const detail = `refused since ${Math.round(sentAt - first)} ms`;
    found.push({
      promise: 'what crashes no replica is refused for moments only',
      id,
      detail,
    });
  }
  return found;
}

/** Judges what may still change after the answer: late copies may run. */
export function judgeRuns(
  outcome: Outcome,
  view: JudgeView,
): readonly Violation[] {
  const {id, kind, saysNotRun} = outcome;
  const runs = view.runs(id);
  const found: Violation[] = [];
  if (saysNotRun && runs > 0) {
    const detail = `status ${outcome.status}, ran ${runs} times`;
    found.push({promise: 'not run means not run', id, detail});
  }
  if (kind === 'once' && runs > 1) {
    found.push({promise: 'at most once', id, detail: `ran ${runs} times`});
  }
  return found;
}
