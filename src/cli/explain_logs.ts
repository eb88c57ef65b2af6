/**
 * Explains the outcome of one request from the log lines of any number of
 * processes. The result is the request's events in order of time, and a
 * sentence with the cause of its outcome.
 */
import type {EventSpec} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';

/** One log line about the request. */
export interface RequestLine {
  /** Time of the event, in ISO 8601. */
  readonly time: string;
  /** Number of the event, as in `utils/events.ts`. */
  readonly event: number;
  readonly name: string;
  readonly node: string;
  /** All fields that not every line has. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log fields that are left out of `RequestLine.fields`. */
const COMMON_FIELDS = new Set([
  'time',
  'level',
  'event',
  'name',
  'node',
  'requestId',
]);

/**
 * Returns the lines about a request, the oldest first. Text that is not a log
 * line is skipped. If the request was refused because its digest is
 * quarantined, the lines about that digest are included.
 */
export function linesAboutRequest(
  text: string,
  requestId: string,
): readonly RequestLine[] {
  const own = linesByRequest(text).get(requestId) ?? [];
  const refused = own.find(isEvent(DIRECT_EVENTS.quarantineRefused));
  if (refused === undefined) return own;
  const digest = refused.fields['digest'];
  return [...digestLines(text, digest), ...own].sort(byTime);
}

/** Returns the lines about replicas that ended and quarantines of a digest. */
function digestLines(text: string, digest: unknown): readonly RequestLine[] {
  const {replicaEnded, quarantined, quarantineEnded} = DIRECT_EVENTS;
  return text
    .split('\n')
    .map(parseLine)
    .filter(line => line !== undefined)
    .filter(line => line['digest'] === digest)
    .map(toRequestLine)
    .filter(line =>
      [replicaEnded, quarantined, quarantineEnded].some(it =>
        isEvent(it)(line),
      ),
    );
}

function isEvent({number}: EventSpec) {
  return ({event}: RequestLine): boolean => event === number;
}

function byTime(a: RequestLine, b: RequestLine): number {
  return a.time < b.time ? -1 : 1;
}

/** Returns the lines about each request by its id, the oldest first. */
export function linesByRequest(
  text: string,
): ReadonlyMap<string, readonly RequestLine[]> {
  const requests = new Map<string, RequestLine[]>();
  for (const raw of text.split('\n')) {
    const parsed = parseLine(raw);
    const id = parsed?.['requestId'];
    if (parsed === undefined || typeof id !== 'string') continue;
    const lines = requests.get(id) ?? [];
    lines.push(toRequestLine(parsed));
    requests.set(id, lines);
  }
  for (const lines of requests.values()) {
    lines.sort(byTime);
  }
  return requests;
}

/**
 * Parses the JSON of a log line. A log collector may write a prefix before it,
 * such as the host.
 */
function parseLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // Not a log line, or a truncated one.
    return undefined;
  }
}

function toRequestLine(line: Readonly<Record<string, unknown>>): RequestLine {
  const fields = Object.entries(line).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  return {
    time: String(line['time']),
    event: Number(line['event']),
    name: String(line['name']),
    node: String(line['node']),
    fields: Object.fromEntries(fields),
  };
}

/** Describes the outcome of the request and its cause in a sentence. */
export function describeCause(lines: readonly RequestLine[]): string {
  const lastLineOf = (event: number) =>
    lines.filter(it => it.event === event).at(-1);
  const refused = lastLineOf(DIRECT_EVENTS.refused.number);
  const givenUp = lastLineOf(DIRECT_EVENTS.givenUp.number);
  const answered = lastLineOf(DIRECT_EVENTS.answered.number);
  const callerLeft = lastLineOf(DIRECT_EVENTS.callerLeft.number);
  const failed = lastLineOf(DIRECT_EVENTS.tryFailed.number);
  const quarantined = lastLineOf(DIRECT_EVENTS.quarantineRefused.number);
  const failedAttempt =
    failed === undefined ? '' : `; ${describeFailedAttempt(failed)}`;
  if (refused !== undefined) return describeRefused(refused);
  if (quarantined !== undefined) return describeQuarantined(quarantined, lines);
  if (givenUp !== undefined) {
    const held = lastLineOf(DIRECT_EVENTS.shareHeld.number);
    const share = held === undefined ? '' : `; ${describeHeld(held)}`;
    return `${describeGivenUp(givenUp)}${share}${failedAttempt}.`;
  }
  if (callerLeft !== undefined) {
    const {waitedMs} = callerLeft.fields;
    return `The caller left after ${waitedMs} ms${failedAttempt}.`;
  }
  if (answered !== undefined)
    return `${describeAnswered(answered)}${failedAttempt}.`;
  return lines.length === 0
    ? 'No log line is about this request.'
    : 'The log lines end before the request ended: its process ended, or lines are missing.';
}

function describeRefused({node, fields}: RequestLine): string {
  const {status, message, config, evidenceAgeMs} = fields;
  return (
    `${node} refused the request with ${status} before contacting any replica: ${message} ` +
    `(configuration ${config}, latest evidence from the store ${evidenceAgeMs} ms old).`
  );
}

function describeQuarantined(
  {node}: RequestLine,
  lines: readonly RequestLine[],
): string {
  const endedReplicas = lines
    .filter(isEvent(DIRECT_EVENTS.replicaEnded))
    .map(({fields}) => String(fields['replica']));
  const replicas = [...new Set(endedReplicas)].join(', ') || 'replicas';
  return (
    `${node} refused the request without forwarding it: ${replicas} had ended ` +
    'while running requests with the same host, path, organisation and body.'
  );
}

function describeGivenUp({node, fields}: RequestLine): string {
  const {reason, ran, sent, elapsedMs} = fields;
  const run = ran === 'no' ? 'it did not run' : 'it may have run';
  return `${node} gave up the request after ${elapsedMs} ms and ${sent} attempts: ${reason}; ${run}`;
}

function describeHeld({fields}: RequestLine): string {
  const {organisation, cause, excess, servedLead, gainLead} = fields;
  return cause === 'above its share'
    ? `the engines were full, and organisation ${organisation} had used ${excess} times its fair share`
    : `the engines were full, and more urgent requests were served less often by ${servedLead} and gained less by ${gainLead}`;
}

function describeFailedAttempt({fields}: RequestLine): string {
  return `the attempt at replica ${fields['replica']} failed at ${fields['elapsedMs']} ms: ${fields['reason']}`;
}

function describeAnswered({fields}: RequestLine): string {
  const {status, elapsedMs, firstEventMs, longestPauseMs} = fields;
  const stream =
    firstEventMs === undefined
      ? ''
      : `, its first event after ${firstEventMs} ms and its longest pause ${longestPauseMs} ms`;
  return `It was answered with ${status} after ${elapsedMs} ms${stream}`;
}

/** Formats the lines and the cause for a terminal. */
export function renderExplanation(lines: readonly RequestLine[]): string {
  const rows = lines.map(({time, node, name, fields}) =>
    [time, node, name, JSON.stringify(fields)].join('  '),
  );
  return [...rows, describeCause(lines)].join('\n');
}
