/**
 * A fleet of real processes for tests: short leases, and what a judge needs:
 * the counters of the stand-ins, the daemons' logs, a caller that can be
 * looked at in mid-answer. Tests wait for conditions, never for times.
 */
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {makePrompt} from '../../demo/batch.js';
import type {CallAsk, CompletionAsk} from '../../demo/caller.js';
import {expectedAnswer} from '../../demo/expected_answer.js';
import {DEMO_SHAPE} from '../../demo/fleet_plan.js';
import type {FleetShape} from '../../demo/fleet_plan.js';
import {startFleet} from '../../demo/fleet_runner.js';
import type {Fleet} from '../../demo/fleet_runner.js';

/** Generous: only a hang gets there. */
const BOUND_MS = 40_000;
const POLL_MS = 25;

/** Leases short enough for a test, long enough for a busy machine. */
export const SHORT_TIMING = {
  heartbeatMs: 250,
  suspectAfterMs: 1_500,
  holdMs: 3_000,
  channelSilenceMs: 1_500,
  peerTimeoutMs: 1_000,
  hostListPollMs: 250,
  drainMs: 60_000,
} as const;

export interface EngineCounts {
  readonly runsStarted: Readonly<Record<string, number>>;
  readonly usedTokens: number;
  readonly running: number;
  readonly waiting: number;
}

/** Polls until `check` gives a value that is neither undefined nor false. */
export async function until<T>(
  what: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  for (let waited = 0; waited < BOUND_MS; waited += POLL_MS) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    await sleep(POLL_MS);
  }
  throw new Error(`waited ${BOUND_MS} ms in vain: ${what}`);
}

export async function getJson<T>(url: string): Promise<T> {
  const res = await request(url);
  return (await res.body.json()) as T;
}

export interface LogLine {
  readonly name: string;
  readonly [field: string]: unknown;
}

export interface TestFleet extends Fleet {
  entryUrl(number: number): string;
  key(number: number): string;
  signal(name: string, signal: NodeJS.Signals): void;
  log(name: string): readonly LogLine[];
  /** Gives the wait for a line of that name that is not in the log yet. */
  next(node: string, name: string): () => Promise<LogLine>;
  engine(number: number): Promise<EngineCounts>;
  /** Sets a fault on every engine. */
  engines(faults: unknown): Promise<void>;
  /** Keeps an engine's counts over the end of its process. */
  keepCounts(number: number): Promise<void>;
  /** Ids of all runs that began on engines. */
  runIds(): Promise<ReadonlySet<string>>;
  /** How often the request's work began, over all upstreams. */
  runs(requestId: string): Promise<number>;
  /** Number of the engine or service that runs the request, once one does. */
  placeOf(requestId: string): Promise<number | undefined>;
  /** Waits until no engine holds memory for a run. */
  memoryFree(): Promise<void>;
  ask(prompt: string, more?: Partial<CompletionAsk>): CompletionAsk;
  call(more?: Partial<CallAsk>): CallAsk;
  /** Ends all, checks that no invariant was tripped, removes the files. */
  close(): Promise<void>;
}

export async function startTestFleet(
  shape: Partial<FleetShape> = {},
): Promise<TestFleet> {
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-test-'));
  const fleet = await startFleet(
    {...DEMO_SHAPE, engines: 2, services: 1, timing: SHORT_TIMING, ...shape},
    dir,
  );
  return decorate(fleet, dir);
}

function decorate(fleet: Fleet, dir: string): TestFleet {
  const {engineUrls, serviceUrls} = fleet.plan;
  const entryUrl = (number: number) => fleet.file.entries[number - 1] as string;
  const key = (number: number) =>
    fleet.file.organisations[number - 1]?.key as string;
  const engine = (number: number) =>
    getJson<EngineCounts>(`${engineUrls[number - 1]}/counts`);

  const log = (name: string): readonly LogLine[] =>
    readFileSync(join(dir, `${name}.log`), 'utf8')
      .split('\n')
      .filter(line => line.startsWith('{"time"'))
      .map(line => JSON.parse(line) as LogLine);

  const kept = new Map<string, Readonly<Record<string, number>>>();

  const startsOf = async (url: string) => {
    const {runsStarted} = await getJson<EngineCounts>(`${url}/counts`);
    return [
      ...Object.entries(runsStarted),
      ...Object.entries(kept.get(url) ?? {}),
    ];
  };

  /** A run's id is the request's id and the attempt's number. */
  const sumOf = (
    counts: ReadonlyArray<readonly [string, number]>,
    requestId: string,
  ) =>
    counts
      .filter(([id]) => id.startsWith(`${requestId}.`))
      .reduce((sum, [, count]) => sum + count, 0);

  const countsOf = async (requestId: string) => {
    const ofEngines = engineUrls.map(async url => {
      return sumOf(await startsOf(url), requestId);
    });
    const ofServices = serviceUrls.map(async url => {
      const {runs} = await getJson<{
        readonly runs: Readonly<Record<string, number>>;
      }>(`${url}/-/counts`);
      return sumOf(Object.entries(runs), requestId);
    });
    return Promise.all([...ofEngines, ...ofServices]);
  };

  const common = {
    entryUrl: entryUrl(1),
    key: key(1),
    timeLimitMs: 30_000,
    repeatable: true,
    idempotencyKey: undefined,
  };

  const next = (node: string, name: string) => {
    const lines = () => log(node).filter(line => line.name === name);
    const had = lines().length;
    return () => until(`${node} logs ${name}`, () => lines()[had]);
  };

  return {
    ...fleet,
    next,
    entryUrl,
    key,
    log,
    engine,
    signal: (name, signal) => void process.kill(fleet.pid(name), signal),
    engines: async faults => {
      const names = engineUrls.map((_, index) => `engine-${index + 1}`);
      await Promise.all(names.map(name => fleet.fault(name, faults)));
    },
    keepCounts: async number => {
      const {runsStarted} = await engine(number);
      kept.set(engineUrls[number - 1] as string, runsStarted);
    },
    runIds: async () => {
      const all = await Promise.all(engineUrls.map(startsOf));
      return new Set(all.flat().map(([id]) => id));
    },
    runs: async id => (await countsOf(id)).reduce((sum, one) => sum + one, 0),
    placeOf: async id => {
      const index = (await countsOf(id)).findIndex(count => count > 0);
      return index < 0 ? undefined : index + 1;
    },
    memoryFree: async () => {
      await until('engine memory is free', async () => {
        const all = await Promise.all(engineUrls.map((_, i) => engine(i + 1)));
        return all.every(one => one.usedTokens === 0);
      });
    },
    ask: (prompt, more = {}) => ({
      ...common,
      prompt,
      maxTokens: 50,
      stream: true,
      priority: 'interactive',
      ...more,
    }),
    call: (more = {}) => ({
      ...common,
      pool: fleet.plan.shape.servicePool,
      method: 'POST',
      path: '/permits',
      body: '{"permit":1}',
      repeatable: false,
      ...more,
    }),
    close: async () => {
      const daemons = fleet.plan.processes.filter(
        ({program}) => program === 'src/onyxloftd',
      );
      const tripped = daemons.flatMap(({name}) =>
        log(name).filter(line => line.name === 'invariant-violated'),
      );
      await fleet.stop();
      if (tripped.length > 0) throw new Error(JSON.stringify(tripped, null, 2));
      if (process.env['KEEP_LOGS'] === undefined) {
        rmSync(dir, {recursive: true, force: true});
      }
    },
  };
}

/** A streamed answer that can be looked at while it comes. */
export interface LiveAnswer {
  status(): number;
  requestId(): string;
  text(): string;
  /** Text parts that came. */
  parts(): number;
  lastEventId(): string;
  /** Code and `ran` of the error that was answered, if any. */
  error(): {readonly code: string; readonly ran: string} | undefined;
  /** `[DONE]` came. */
  whole(): boolean;
  /** Resolves when nothing more will come; never rejects. */
  readonly ended: Promise<void>;
  /** Breaks the connection. */
  abort(): void;
}

interface LiveState {
  status: number;
  requestId: string;
  text: string;
  parts: number;
  lastEventId: string;
  error: {readonly code: string; readonly ran: string} | undefined;
  whole: boolean;
}

/** Starts a streamed completion. */
export function openAnswer(ask: CompletionAsk): LiveAnswer {
  return live(`${ask.entryUrl}/v1/completions`, 'POST', ask.key, {
    headers: {
      'content-type': 'application/json',
      'x-onyxloft-priority': ask.priority,
      'x-onyxloft-time-limit-ms': String(ask.timeLimitMs),
      ...(ask.repeatable ? {} : {'x-onyxloft-repeatable': 'no'}),
      ...(ask.idempotencyKey === undefined
        ? {}
        : {'idempotency-key': ask.idempotencyKey}),
    },
    body: JSON.stringify({
      prompt: ask.prompt,
      max_tokens: ask.maxTokens,
      stream: true,
    }),
  });
}

/** Takes a request's answer up at an entry, after `lastEventId` if given. */
export function resumeAnswer(
  entryUrl: string,
  key: string,
  requestId: string,
  lastEventId = '',
): LiveAnswer {
  const url = `${entryUrl}/v1/requests/${requestId}?stream=true`;
  return live(url, 'GET', key, {
    headers: lastEventId === '' ? {} : {'last-event-id': lastEventId},
    body: null,
  });
}

function live(
  url: string,
  method: 'GET' | 'POST',
  key: string,
  more: {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | null;
  },
): LiveAnswer {
  const controller = new AbortController();
  const state: LiveState = {
    status: 0,
    requestId: '',
    text: '',
    parts: 0,
    lastEventId: '',
    error: undefined,
    whole: false,
  };
  const read = async () => {
    const res = await request(url, {
      method,
      headers: {authorization: `Bearer ${key}`, ...more.headers},
      body: more.body,
      signal: controller.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    state.status = res.statusCode;
    state.requestId = String(res.headers['x-request-id'] ?? '');
    if (res.statusCode !== 200) {
      const body = (await res.body.json()) as {error: LiveState['error']};
      state.error = body.error;
      return;
    }
    let rest = '';
    const decoder = new TextDecoder();
    for await (const piece of res.body) {
      rest += decoder.decode(piece as Uint8Array, {stream: true});
      const blocks = rest.split('\n\n');
      rest = blocks.pop() ?? '';
      for (const block of blocks) takeBlock(state, block);
    }
  };
  const ended = read().catch(() => undefined);
  return {
    status: () => state.status,
    requestId: () => state.requestId,
    text: () => state.text,
    parts: () => state.parts,
    lastEventId: () => state.lastEventId,
    error: () => state.error,
    whole: () => state.whole,
    ended,
    abort: () => controller.abort(),
  };
}

function takeBlock(state: LiveState, block: string): void {
  const lines = block.split('\n');
  const id = lines.find(line => line.startsWith('id: '));
  const data = lines.find(line => line.startsWith('data: '))?.slice(6);
  if (data === undefined) return;
  if (id !== undefined) state.lastEventId = id.slice(4);
  if (data === '[DONE]') {
    state.whole = true;
    return;
  }
  const value = JSON.parse(data) as {
    readonly error?: LiveState['error'];
    readonly choices?: ReadonlyArray<{readonly text: string}>;
  };
  if (lines.includes('event: error')) state.error = value.error;
  const text = value.choices?.[0]?.text ?? '';
  if (text === '') return;
  state.text += text;
  state.parts += 1;
}

/** A prompt of its own kind for each number. */
export const promptOf = makePrompt;
export const answerTo = expectedAnswer;
