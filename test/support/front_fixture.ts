/**
 * Starts the callers' service in a real kernel on a real port, with fakes of
 * the services it uses. A test scripts the replies of the fake `requests`
 * service and inspects the messages it received.
 */
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {createInitialDeclarations} from '../../src/config/declarations_schema.js';
import {createCallersService} from '../../src/entry/front/http_callers.js';
import type {
  CallersOptions,
  CallersStatus,
} from '../../src/entry/front/http_callers.js';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import type {NumberedDeclarations} from '../../src/types/config.js';
import type {LogFields, Runtime} from '../../src/types/runtime.js';
import type {
  MembershipView,
  Replica,
  RequestListener,
  RequestSpec,
  RequestState,
  RequestsMessage,
} from '../../src/types/services.js';
import {createProcessRandom} from '../../src/utils/clock.js';
import {yieldToLoop} from '../../src/utils/event_loop.js';
import {hashGeneratedKey, verifyKeyAsync} from '../../src/utils/keys.js';
import {createMetrics} from '../../src/utils/metrics.js';

export const PRAIRIE_KEY = 'onyx_prairie';
export const INGUFU_KEY = 'onyx_ingufu';
/** The Unix time in these tests, in milliseconds: 2026-01-01. */
export const WALL_MS = Date.UTC(2026, 0, 1);
const SALT = '00112233445566778899aabbccddeeff';

export type ResumeMessage = Extract<RequestsMessage, {kind: 'resume'}>;

/** The replies of the fake `requests` service. */
export interface RequestsScript {
  readonly submit?: (spec: RequestSpec, listener: RequestListener) => void;
  readonly resume?: (message: ResumeMessage) => void;
  /** Returns the state of a request; undefined when there is none. */
  readonly state?: (
    id: string,
    organisation: string,
  ) => Partial<RequestState> | undefined;
}

export interface FrontFixture {
  readonly url: string;
  readonly port: number;
  readonly kernel: Kernel;
  readonly clock: VirtualClock;
  readonly runtime: Runtime;
  /** All messages that the fake `requests` service received, in order. */
  readonly received: readonly RequestsMessage[];
  readonly logged: ReadonlyArray<{readonly name: string} & LogFields>;
  /** Sends an HTTP request with the key of the organisation `prairie-sky`. */
  call(
    method: string,
    path: string,
    body?: string | Uint8Array,
    headers?: Readonly<Record<string, string>>,
  ): Promise<Response>;
  setConfig(config: NumberedDeclarations): void;
  setMembership(view: MembershipView): void;
  /** Drops the subscribers, as a restart of the membership service does. */
  dropMembershipSubscribers(): void;
  /** Resolves to the first message of this kind that `requests` received. */
  waitForMessage(kind: RequestsMessage['kind']): Promise<RequestsMessage>;
}

export function declarations(
  change: Partial<NumberedDeclarations['declarations']> = {},
  number = 1,
): NumberedDeclarations {
  const organisation = (id: string, key: string) => ({
    id,
    keyHashes: [hashGeneratedKey(key, SALT)],
    weight: 1,
    maxRunning: 10,
    tokensPerSec: 1e6,
  });
  const lengthClass = (name: string, maxTokens: number) => ({
    name,
    maxTokens,
    memoryFloor: 0,
    maxRunning: 0,
    defaultTimeLimitMs: 60_000,
  });
  return {
    number,
    declarations: {
      organisations: [
        organisation('prairie-sky', PRAIRIE_KEY),
        organisation('ingufu-hamwe', INGUFU_KEY),
      ],
      models: [
        {
          id: 'onyx-1',
          version: '1',
          adapters: ['frost'],
          isDefault: true,
          weightBytes: 1,
          maxPromptTokens: 1_500_000,
        },
      ],
      priorityClasses: [
        {name: 'alert', priority: 0, isDefault: false},
        {name: 'normal', priority: 2, isDefault: true},
      ],
      lengthClasses: [
        lengthClass('short', 4_000),
        lengthClass('long', 1_000_000),
      ],
      services: [
        {
          pool: 'station-app',
          repeatableMethods: ['GET', 'HEAD'],
          maxRunning: 8,
          defaultTimeLimitMs: 10_000,
        },
      ],
      placement: [],
      policy: createInitialDeclarations().policy,
      ...change,
    },
  };
}

export function membershipViewOf(...states: ReadonlyArray<Replica['state']>) {
  const replicas = states.map(
    (state, at) => ({node: `side-${at}`, state, loadAt: 0}) as Replica,
  );
  return {replicas, allSides: [], entries: []};
}

/** Starts the fixture. The test must stop the kernel. */
export async function startFront(
  script: RequestsScript = {},
  options: Partial<CallersOptions> = {},
): Promise<FrontFixture> {
  const clock = createVirtualClock();
  const logged: Array<{readonly name: string} & LogFields> = [];
  const runtime: Runtime = {
    clock,
    random: createProcessRandom(),
    metrics: createMetrics(),
    log: (event, fields) => logged.push({...fields, name: event.name}),
    invariant: (holds, name) => {
      if (!holds) throw new Error(`invariant ${name}`);
    },
  };
  const kernel = createKernel(runtime);
  const received: RequestsMessage[] = [];
  const waiters = new Map<string, (message: RequestsMessage) => void>();
  let setConfig: FrontFixture['setConfig'] = () => undefined;
  const membershipListeners = new Set<FrontFixture['setMembership']>();

  await kernel.start({
    name: 'requests',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        received.push(message);
        replyToMessage(script, message);
        waiters.get(message.kind)?.(message);
      });
    },
  });
  await kernel.start({
    name: 'config',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'subscribe') setConfig = message.listener;
      });
    },
  });
  await kernel.start({
    name: 'membership',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'subscribe')
          membershipListeners.add(message.listener);
      });
    },
  });
  await kernel.start(
    createCallersService({
      listen: '127.0.0.1:0',
      verifyKey: verifyKeyAsync,
      wallTimeMs: () => WALL_MS,
      yieldLoop: yieldToLoop,
      loopDelayMs: () => 0,
      ...options,
    }),
  );
  const {address} = await kernel.ask(
    'callers',
    (reply: (status: CallersStatus) => void) => ({kind: 'status', reply}),
  );
  setConfig(declarations());
  const setView: FrontFixture['setMembership'] = view => {
    for (const listener of membershipListeners) listener(view);
  };
  setView(membershipViewOf('live'));
  return {
    url: `http://${address}`,
    port: Number(address.split(':')[1]),
    kernel,
    clock,
    runtime,
    received,
    logged,
    call: (method, path, body, headers = {}) =>
      fetch(`http://${address}${path}`, {
        method,
        headers: {Authorization: `Bearer ${PRAIRIE_KEY}`, ...headers},
        ...(body === undefined ? {} : {body: body as string}),
      }),
    setConfig: config => setConfig(config),
    setMembership: setView,
    dropMembershipSubscribers: () => membershipListeners.clear(),
    waitForMessage: kind => {
      const found = received.find(message => message.kind === kind);
      if (found !== undefined) return Promise.resolve(found);
      return new Promise(resolve => waiters.set(kind, resolve));
    },
  };
}

function replyToMessage(
  script: RequestsScript,
  message: RequestsMessage,
): void {
  if (message.kind === 'submit') {
    script.submit?.(message.spec, message.listener);
  } else if (message.kind === 'resume') {
    script.resume?.(message);
  } else if (message.kind === 'cancel') {
    const found = script.state?.(message.id, message.organisation);
    message.reply?.(found !== undefined);
  } else if (message.kind === 'state') {
    const found = script.state?.(message.id, message.organisation);
    message.reply({
      id: message.id,
      state: found === undefined ? 'none' : 'running',
      kind: 'completion',
      side: '127.0.0.1:9',
      dispatchId: `${message.id}.0`,
      nextSeq: 0,
      ...found,
    });
  }
}

/** Replaces random ids, which differ between runs, for golden files. */
export function maskIds(text: string): string {
  return text.replaceAll(/[0-9a-f]{32}/g, 'ID');
}

const textEncoder = new TextEncoder();

/** Sends the events of a whole answer with these chunks to a listener. */
export function sendAnswer(
  listener: RequestListener,
  id: string,
  chunks: readonly string[],
  fromSeq = 0,
): void {
  listener({kind: 'placed', dispatchId: `${id}.0`, side: '127.0.0.1:9'});
  chunks.forEach((chunk, at) =>
    listener({
      kind: 'chunk',
      seq: fromSeq + at,
      data: textEncoder.encode(chunk),
      tokens: 1,
      callHead: undefined,
    }),
  );
  listener({
    kind: 'end',
    count: fromSeq + chunks.length,
    tokens: fromSeq + chunks.length,
    finishReason: 'stop',
    cachedTokens: 3,
  });
}
