/**
 * Where requests of a real run were lost, from the entries' logs:
 * `npm run bench -- losses --log FILE --kinds short=24000:300:250,long=:4000:1000`.
 * A kind is told by its largest prompt, and has an aim for the first event and
 * one for the pauses, in milliseconds; the last kind has no largest prompt. The
 * shares are of all requests that the entries took, each counted once, so the
 * rows add up to the whole.
 */
import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {linesByRequest} from '../src/cli/explain_logs.js';
import type {RequestLine} from '../src/cli/explain_logs.js';
import {DIRECT_EVENTS} from '../src/utils/events.js';

const USAGE =
  'usage: bench losses --log FILE --kinds NAME=[TOKENS]:AIM_MS:PAUSE_MS,...';
/** Kind of a request that was never sent to an engine. */
const OTHER_KIND = 'call, or not sent';

/** Requests whose prompts are no longer than a bound, and what they aim at. */
export interface LossKind {
  readonly name: string;
  readonly mostTokens: number;
  readonly aimMs: number;
  readonly pauseAimMs: number;
}

export interface LossRow {
  readonly kind: string;
  readonly outcome: string;
  readonly requests: number;
  /** Of all requests. */
  readonly share: number;
}

export function benchLosses(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {log: {type: 'string'}, kinds: {type: 'string', default: ''}},
  });
  const kinds = kindsOf(values.kinds);
  if (values.log === undefined || kinds === undefined) {
    console.error(USAGE);
    process.exitCode = 2;
    return Promise.resolve();
  }
  const rows = lossesOf(readFileSync(values.log, 'utf8'), kinds);
  console.table(
    rows.map(row => ({...row, share: Number(row.share.toFixed(4))})),
  );
  return Promise.resolve();
}

/** Undefined when the text is not as the usage has it. */
export function kindsOf(text: string): readonly LossKind[] | undefined {
  const kinds = text.split(',').map(part => {
    const [, name, tokens, aim, pause] =
      /^([^=]+)=(\d*):(\d+):(\d+)$/.exec(part) ?? [];
    return {
      name,
      mostTokens: tokens === '' ? Infinity : Number(tokens),
      aimMs: Number(aim),
      pauseAimMs: Number(pause),
    };
  });
  return kinds.every(({name}) => name !== undefined) ? kinds : undefined;
}

/** Requests by kind and outcome, most first. */
export function lossesOf(
  logs: string,
  kinds: readonly LossKind[],
): readonly LossRow[] {
  const requests = [...linesByRequest(logs).values()];
  const counts = new Map<string, LossRow>();
  for (const lines of requests) {
    const kind = kindOf(lines, kinds);
    const outcome = outcomeOf(lines, kind);
    const name = kind?.name ?? OTHER_KIND;
    const key = `${name}: ${outcome}`;
    const before = counts.get(key)?.requests ?? 0;
    const count = before + 1;
    const share = count / requests.length;
    counts.set(key, {kind: name, outcome, requests: count, share});
  }
  return [...counts.values()].sort((a, b) => b.requests - a.requests);
}

function last(
  lines: readonly RequestLine[],
  {number}: {readonly number: number},
): RequestLine | undefined {
  return lines.filter(({event}) => event === number).at(-1);
}

function kindOf(
  lines: readonly RequestLine[],
  kinds: readonly LossKind[],
): LossKind | undefined {
  const tokens = last(lines, DIRECT_EVENTS.dispatched)?.fields['promptTokens'];
  return tokens === undefined
    ? undefined
    : kinds.find(({mostTokens}) => Number(tokens) <= mostTokens);
}

function outcomeOf(
  lines: readonly RequestLine[],
  kind: LossKind | undefined,
): string {
  const refused = last(lines, DIRECT_EVENTS.refused);
  if (refused !== undefined) return `refused: ${refused.fields['message']}`;
  const givenUp = last(lines, DIRECT_EVENTS.givenUp);
  if (givenUp !== undefined) return `given up: ${givenUp.fields['reason']}`;
  const answered = last(lines, DIRECT_EVENTS.answered);
  if (answered !== undefined) return answeredOutcome(lines, answered, kind);
  const left = last(lines, DIRECT_EVENTS.callerLeft);
  return left === undefined ? 'no end: its entry died' : 'its caller left';
}

function answeredOutcome(
  lines: readonly RequestLine[],
  {fields}: RequestLine,
  kind: LossKind | undefined,
): string {
  const status = Number(fields['status']);
  if (status !== 200) return `answered with ${status}`;
  if (kind === undefined) return 'answered';
  const why = last(lines, DIRECT_EVENTS.tryFailed) ? 'tried again' : 'held up';
  if (Number(fields['firstEventMs']) > kind.aimMs) {
    return `first event late, ${lateFirst(lines, kind) ?? why}`;
  }
  const isPauseLate = Number(fields['longestPauseMs']) > kind.pauseAimMs;
  return isPauseLate ? `pause late, ${why}` : 'in time';
}

/** Late already when it was sent, by what was known then. */
function lateFirst(
  lines: readonly RequestLine[],
  {aimMs}: LossKind,
): string | undefined {
  const {waitedMs = 0, firstEventMs = 0} =
    last(lines, DIRECT_EVENTS.dispatched)?.fields ?? {};
  const expectedMs = Number(waitedMs) + Number(firstEventMs);
  return expectedMs > aimMs ? 'as expected when it was sent' : undefined;
}
