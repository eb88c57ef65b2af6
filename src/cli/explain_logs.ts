/**
 * Explains one request from log lines of any number of processes: its events in
 * order of time, and its cause in a sentence.
 */
import type {EventSpec} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';

/** One log line that is about the request. */
export interface RequestLine {
  readonly time: string;
  readonly event: number;
  readonly name: string;
  readonly node: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const COMMON_FIELDS = new Set([
  'time',
  'level',
  'event',
  'name',
  'node',
  'requestId',
]);

/**
 * The lines about a request, oldest first. Other text is passed over. Where it
 * was refused as one that crashes replicas, those about its like come as well.
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

/** What became known of all requests of a digest. */
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

/** The lines about each request, oldest first, by its id. */
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

/** A collector may write something before the JSON, such as the host. */
function parseLine(line: string): Record<string, unknown> | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // Not a log line, or one that was cut.
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

/** What became of the request, and why. */
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
  if (givenUp !== undefined)
    return `${describeGivenUp(givenUp)}${failedAttempt}.`;
  if (callerLeft !== undefined) {
    const {waitedMs} = callerLeft.fields;
    return `The caller left after ${waitedMs} ms${failedAttempt}.`;
  }
  if (answered !== undefined)
    return `${describeAnswered(answered)}${failedAttempt}.`;
  return lines.length === 0
    ? 'No line is about this request.'
    : 'The lines end before the request did: its process ended, or lines are missing.';
}

function describeRefused({node, fields}: RequestLine): string {
  const {status, message, config, evidenceAgeMs} = fields;
  return (
    `${node} refused it with ${status} before any replica was asked: ${message} ` +
    `(configuration ${config}, the store's last word ${evidenceAgeMs} ms old).`
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
    `${node} refused it and did not send it on: ${replicas} had ended under ` +
    'requests with the same host, path, organisation and body.'
  );
}

function describeGivenUp({node, fields}: RequestLine): string {
  const {reason, ran, sent, elapsedMs} = fields;
  const run = ran === 'no' ? 'it did not run' : 'it may have run';
  return `${node} gave it up after ${elapsedMs} ms and ${sent} tries: ${reason}; ${run}`;
}

function describeFailedAttempt({fields}: RequestLine): string {
  return `replica ${fields['replica']} had failed it at ${fields['elapsedMs']} ms: ${fields['reason']}`;
}

function describeAnswered({fields}: RequestLine): string {
  const {status, elapsedMs, firstEventMs, longestPauseMs} = fields;
  const stream =
    firstEventMs === undefined
      ? ''
      : `, its first event after ${firstEventMs} ms and its longest pause ${longestPauseMs} ms`;
  return `It was answered with ${status} after ${elapsedMs} ms${stream}`;
}

/** The lines and the cause, for a terminal. */
export function renderExplanation(lines: readonly RequestLine[]): string {
  const rows = lines.map(({time, node, name, fields}) =>
    [time, node, name, JSON.stringify(fields)].join('  '),
  );
  return [...rows, describeCause(lines)].join('\n');
}
