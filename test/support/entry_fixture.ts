/**
 * Runs the `requests` service on virtual time with scripted sides and stand-ins
 * for the services that it calls.
 */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {createInitialDeclarations} from '../../src/config/declarations_schema.js';
import {createRequestsService} from '../../src/entry/requests.js';
import type {RequestsOptions} from '../../src/entry/requests.js';
import {createKernel} from '../../src/kernel/kernel.js';
import {createRoutingPolicies} from '../../src/policy/routing_policies.js';
import type {OnyxError} from '../../src/types/errors.js';
import type {
  ClaimOutcome,
  MembershipMessage,
  MembershipView,
  Replica,
  RequestEvent,
  RequestSpec,
} from '../../src/types/services.js';
import {createMemoryNetwork} from '../../standins/memory_network.js';
import {createPausableClock} from '../../standins/pausable_clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {startScriptedSide} from './scripted_side.js';
import type {SideScript} from './scripted_side.js';

/** A caller that records the events of its request. */
export interface Caller {
  readonly events: RequestEvent[];
  /** Text of the chunks received so far, without those that were discarded. */
  text(): string;
  final(): RequestEvent | undefined;
  /** When the final event was received, on the virtual clock. */
  endedAt(): number | undefined;
  readonly listener: (event: RequestEvent) => void;
}

export type EntryFixture = Awaited<ReturnType<typeof startEntry>>;

export interface EntryFixtureOptions {
  /** Scripts of the sides s1, s2, … */
  readonly sides: readonly SideScript[];
  readonly seed?: number;
  readonly requests?: Partial<RequestsOptions>;
  readonly claim?: (key: string) => Either<OnyxError, ClaimOutcome>;
}

/** Address of the entry on the network. */
export const ENTRY = 'e1';

/** Starts the service with one scripted side per script. */
export async function startEntry(options: EntryFixtureOptions) {
  const recording = createRecordingRuntime({seed: options.seed ?? 1});
  const {clock, runtime} = recording;
  const network = createMemoryNetwork(clock, recording.random);
  const sideClocks = options.sides.map(() => createPausableClock(clock));
  const sides = await Promise.all(
    options.sides.map((script, at) =>
      startScriptedSide(
        sideClocks[at],
        network.transport(`s${at + 1}`),
        `s${at + 1}`,
        script,
      ),
    ),
  );
  const kernel = createKernel(runtime);
  const membershipMessages: MembershipMessage[] = [];
  let notifyMembership: ((view: MembershipView) => void) | undefined;
  let heldLimits = 0;

  const membershipViewOf = (replicas: readonly Replica[]): MembershipView => ({
    replicas,
    allSides: sides.map(side => side.address),
    entries: [],
  });

  await kernel.start({
    name: 'membership',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind !== 'subscribe') {
          membershipMessages.push(message);
          return;
        }
        const first = notifyMembership === undefined;
        notifyMembership = message.listener;
        if (first)
          notifyMembership(membershipViewOf(sides.map(side => side.replica())));
      });
    },
  });
  await kernel.start({
    name: 'limits',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'acquire') {
          heldLimits++;
          message.reply(Right(undefined));
        } else if (message.kind === 'release') {
          heldLimits--;
        }
      });
    },
  });
  await kernel.start({
    name: 'claims',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        message.reply(options.claim?.(message.key) ?? Right({kind: 'ours'}));
      });
    },
  });
  await kernel.start(
    createRequestsService({
      transport: network.transport(ENTRY),
      node: 'entry-1',
      failureDomain: 'hall-north',
      routingPolicy: createRoutingPolicies(),
      ...options.requests,
    }),
  );
  await clock.settle();

  const caller = (): Caller => {
    const events: RequestEvent[] = [];
    const decoder = new TextDecoder();
    let endedAt: number | undefined;
    return {
      events,
      text: () =>
        events
          .slice(events.map(({kind}) => kind).lastIndexOf('restarted') + 1)
          .filter(event => event.kind === 'chunk')
          .map(event => decoder.decode(event.data))
          .join(''),
      final: () => events.find(({kind}) => kind === 'end' || kind === 'failed'),
      endedAt: () => endedAt,
      listener: event => {
        events.push(event);
        if (event.kind === 'end' || event.kind === 'failed') {
          endedAt = clock.now();
        }
      },
    };
  };

  const submit = (spec: Partial<RequestSpec> = {}): Caller => {
    const newCaller = caller();
    kernel.send('requests', {
      kind: 'submit',
      spec: createRequestSpec(clock.now(), spec),
      listener: newCaller.listener,
    });
    return newCaller;
  };

  return {
    ...recording,
    network,
    kernel,
    sides,
    toMembership: membershipMessages,
    caller,
    submit,
    /** Pauses a side's process, as a stop signal does, without ending it. */
    freezeSide: (at: number) => {
      sideClocks[at].pause();
      network.faults.freeze(sides[at].address);
    },
    /** Requests that currently count against the organisation's limits. */
    heldLimits: () => heldLimits,
    setMembership: (replicas: readonly Replica[]) =>
      notifyMembership?.(membershipViewOf(replicas)),
  };
}

let lastRequestNumber = 0;

/** Creates the spec of a short completion, with the given changes. */
export function createRequestSpec(
  now: number,
  changes: Partial<RequestSpec> = {},
): RequestSpec {
  const text = new TextEncoder().encode('how much rain fell?');
  return {
    id: `r${++lastRequestNumber}`,
    organisation: 'prairie-sky',
    weight: 1,
    kind: 'completion',
    pool: '',
    model: 'onyx',
    adapter: '',
    priorityClass: 'normal',
    priority: 1,
    lengthClass: 'short',
    deadlineAt: now + 30_000,
    admittedAt: now,
    body: {pieces: [text], bytes: text.length},
    promptTokens: 1_000,
    maxTokens: 100,
    repeatable: true,
    idempotencyKey: undefined,
    prefixHashes: [],
    config: {number: 1, declarations: DECLARATIONS},
    call: undefined,
    ...changes,
  };
}

const DECLARATIONS: RequestSpec['config']['declarations'] = {
  organisations: [],
  models: [],
  priorityClasses: [],
  lengthClasses: [
    {
      name: 'short',
      maxTokens: 8_000,
      memoryFloor: 0,
      maxRunning: 0,
      defaultTimeLimitMs: 30_000,
    },
  ],
  services: [],
  placement: [],
  policy: createInitialDeclarations().policy,
};
