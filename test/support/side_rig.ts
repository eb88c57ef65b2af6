/**
 * Test rig of one side on virtual time: the real `runs` service and a stand-in
 * engine. The test acts as the entries, over channels that it can break.
 */
import {Right} from 'purify-ts';
import type {Stream} from 'most';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import {classQueue} from '../../src/policy/side_queue.js';
import type {RunsOptions} from '../../src/side/side_core.js';
import {createSidePeerHandlers} from '../../src/side/peer_handlers.js';
import {createRunsService} from '../../src/side/runs_service.js';
import type {SideStatus} from '../../src/side/messages.js';
import type {
  Chunk,
  OfferReq,
  OrderReq,
  RunDown,
  RunUp,
} from '../../src/types/peer_messages.js';
import type {Clock} from '../../src/types/runtime.js';
import type {RunServerChannel} from '../../src/types/transport.js';
import type {EngineClient} from '../../src/types/upstream.js';
import {pushStream} from '../../src/upstream/push_stream.js';
import type {Push} from '../../src/upstream/push_stream.js';
import {createEngineModel} from '../../standins/engine_model.js';
import type {EngineModelOptions} from '../../standins/engine_model.js';
import {createMemoryEngine} from '../../standins/memory_engine.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';

/** Delay of each frame on a channel. */
const LATENCY_MS = 0.5;

/** The entry's end of a run's channel. */
export interface EntryChannel {
  /** Frames from the side, in order. */
  readonly received: RunDown[];
  send(frame: RunUp): void;
  close(): void;
  /** Drops all later frames in both directions without an error. */
  silence(): void;
  isClosed(): boolean;
  /** The chunks received. */
  chunks(): readonly Chunk[];
  /** The data of all chunks as text. */
  text(): string;
  /** The last frame of a kind. */
  last(kind: RunDown['kind']): RunDown | undefined;
}

/** Opens a channel to the side, which gets its own end by `accept`. */
export function createEntryChannel(
  clock: Clock,
  accept: (channel: RunServerChannel) => void,
): EntryChannel {
  const received: RunDown[] = [];
  const pendingFrames: RunUp[] = [];
  let push: Push<RunUp> | undefined;
  let silent = false;
  let closed = false;

  const frames: Stream<RunUp> = pushStream<RunUp>(to => {
    push = to;
    for (const frame of pendingFrames.splice(0))
      clock.after(0, () => to.event(frame));
    return () => undefined;
  });
  const deliver = (frame: RunUp) => {
    if (silent || closed) return;
    if (push === undefined) pendingFrames.push(frame);
    else push.event(frame);
  };
  accept({
    frames,
    send: frame =>
      new Promise(resolve => {
        clock.after(LATENCY_MS, () => {
          if (silent) return;
          if (!closed) received.push(frame);
          resolve();
        });
      }),
    close: () => {
      closed = true;
      push?.end();
    },
  });
  const stopBeats = clock.every(1_000, () => deliver({kind: 'beat'}));
  const chunks = () => received.filter(frame => frame.kind === 'chunk');
  return {
    received,
    send: frame => void clock.after(LATENCY_MS, () => deliver(frame)),
    close: () => {
      stopBeats();
      clock.after(LATENCY_MS, () => {
        if (silent) return;
        closed = true;
        push?.end();
      });
    },
    silence: () => {
      silent = true;
      stopBeats();
    },
    isClosed: () => closed,
    chunks,
    text: () =>
      chunks()
        .map(c => Buffer.from(c.data).toString())
        .join(''),
    last: kind => received.filter(frame => frame.kind === kind).at(-1),
  };
}

/** Options of the rig, in addition to those of the `runs` service. */
export interface SideRigOptions extends Partial<RunsOptions> {
  /** Options of the stand-in engine. */
  readonly model?: Partial<EngineModelOptions>;
  /** Wraps the engine client, for example with faults. */
  readonly wrapEngine?: (engine: EngineClient) => EngineClient;
}

/** Starts a side; resolves after it has reconciled with its engine. */
export async function createSideRig(options: SideRigOptions = {}) {
  const recorded = createRecordingRuntime();
  const {clock, runtime} = recorded;
  const model = createEngineModel({clock, ...options.model});
  const engine = createMemoryEngine({model, clock});
  const priors = {prefillTokensPerSec: 16_000, stepMs: 21};
  const startSide = async (incarnation: string): Promise<Kernel> => {
    const started = createKernel(runtime);
    await started.start(
      createRunsService({
        upstream: {
          kind: 'engine',
          client: options.wrapEngine?.(engine) ?? engine,
        },
        node: 'side-1',
        incarnation,
        pool: 'onyx-pool',
        failureDomain: 'hall-north',
        queuePolicy: classQueue,
        readFence: () => Promise.resolve(Right(0)),
        priors,
        ...options,
      }),
    );
    await clock.runFor(50);
    return started;
  };
  let kernel = await startSide('i1');
  const handlers = () => createSidePeerHandlers(kernel);
  const awaitReply = async <T>(ask: Promise<T> | undefined): Promise<T> => {
    await clock.settle();
    if (ask === undefined) throw new Error('no such handler');
    return ask;
  };

  const offerOf = (
    id: string,
    overrides: Partial<OfferReq> = {},
  ): OfferReq => ({
    dispatchId: id,
    requestId: id.split('.')[0] ?? id,
    organisation: 'org-a',
    weight: 1,
    entry: 'entry-1',
    incarnation: 'i1',
    kind: 'completion',
    model: 'm',
    adapter: '',
    priorityClass: 'normal',
    priority: 1,
    timeLeftMs: 60_000,
    promptTokens: 1_000,
    maxTokens: 20,
    repeatable: true,
    prefixHashes: [],
    configNumber: 1,
    ...overrides,
  });
  const offer = (id: string, overrides: Partial<OfferReq> = {}) =>
    awaitReply(handlers().offer?.(offerOf(id, overrides)));
  const open = () =>
    createEntryChannel(clock, channel => handlers().run?.(channel));
  const go = (id: string, timeLeftMs = 60_000, incarnation = 'i1') => {
    const channel = open();
    channel.send({kind: 'go', dispatchId: id, incarnation, timeLeftMs});
    return channel;
  };
  const goWithPrompt = (id: string, timeLeftMs = 60_000) => {
    const channel = go(id, timeLeftMs);
    channel.send({kind: 'prompt', seq: 0, data: Buffer.from(`prompt ${id}`)});
    channel.send({kind: 'prompt-end', count: 1});
    return channel;
  };
  const attach = (
    id: string,
    fromSeq: number,
    who = 'entry-2',
    org = 'org-a',
  ) => {
    const channel = open();
    channel.send({
      kind: 'attach',
      dispatchId: id,
      organisation: org,
      entry: who,
      fromSeq,
      // Entry 1 started the run; any other entry takes it over for the caller.
      takeOver: who !== 'entry-1',
    });
    return channel;
  };
  const abandon = (
    id: string,
    entry = 'entry-1',
    incarnation = 'i1',
    organisation = '',
  ) =>
    awaitReply(
      handlers().abandon?.({dispatchId: id, entry, incarnation, organisation}),
    );
  const heartbeat = (owned: readonly string[], fence = 0) =>
    awaitReply(
      handlers().sideHeartbeat?.({
        entry: 'entry-1',
        entryIncarnation: 'e1',
        entryAddress: '127.0.0.1:1',
        configNumber: 0,
        fence,
        owned,
      }),
    );
  const status = () =>
    awaitReply<SideStatus>(
      kernel.ask('runs', reply => ({kind: 'status', reply})),
    );
  return {
    ...recorded,
    model,
    engine,
    kernel: () => kernel,
    handlers,
    awaitReply,
    offerOf,
    offer,
    open,
    go,
    goWithPrompt,
    attach,
    abandon,
    heartbeat,
    status,
    order: async (req: OrderReq) => {
      const asked = handlers().order?.(req);
      await clock.runFor(10);
      return asked;
    },
    drain: () =>
      kernel.ask<'runs', void>('runs', reply => ({kind: 'drain', reply})),
    /** Stops the side as a kill would, without notice to the engine. */
    kill: () => kernel.stop(),
    restart: async (incarnation: string) => {
      kernel = await startSide(incarnation);
    },
    stateOf: async (id: string) =>
      (await status()).runs.find(run => run.dispatchId === id)?.state,
    starts: (id: string) => model.counts().runsStarted[id] ?? 0,
  };
}

/** A running side and the means to drive it. */
export type SideRig = Awaited<ReturnType<typeof createSideRig>>;
