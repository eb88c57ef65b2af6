/**
 * One side on virtual time: the real `runs` service, a stand-in engine, and
 * entries that a test plays by hand over channels it can break.
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

const LATENCY_MS = 0.5;

/** The entry's end of a run's channel. */
export interface EntryChannel {
  readonly received: RunDown[];
  send(frame: RunUp): void;
  close(): void;
  /** From now on no frame gets through, in either direction. */
  silence(): void;
  isClosed(): boolean;
  chunks(): readonly Chunk[];
  text(): string;
  last(kind: RunDown['kind']): RunDown | undefined;
}

export function createEntryChannel(
  clock: Clock,
  accept: (channel: RunServerChannel) => void,
): EntryChannel {
  const got: RunDown[] = [];
  const early: RunUp[] = [];
  let push: Push<RunUp> | undefined;
  let silent = false;
  let closed = false;

  const frames: Stream<RunUp> = pushStream<RunUp>(to => {
    push = to;
    for (const frame of early.splice(0)) clock.after(0, () => to.event(frame));
    return () => undefined;
  });
  const arrive = (frame: RunUp) => {
    if (silent || closed) return;
    if (push === undefined) early.push(frame);
    else push.event(frame);
  };
  accept({
    frames,
    send: frame =>
      new Promise(resolve => {
        clock.after(LATENCY_MS, () => {
          if (silent) return;
          if (!closed) got.push(frame);
          resolve();
        });
      }),
    close: () => {
      closed = true;
      push?.end();
    },
  });
  const stopBeats = clock.every(1_000, () => arrive({kind: 'beat'}));
  const chunks = () => got.filter(frame => frame.kind === 'chunk');
  return {
    received: got,
    send: frame => void clock.after(LATENCY_MS, () => arrive(frame)),
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
    last: kind => got.filter(frame => frame.kind === kind).at(-1),
  };
}

export interface SideRigOptions extends Partial<RunsOptions> {
  readonly model?: Partial<EngineModelOptions>;
  /** Puts a faulty client in front of the engine. */
  readonly wrapEngine?: (engine: EngineClient) => EngineClient;
}

/** Starts a side; it has reconciled with its engine when this resolves. */
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
  const answer = async <T>(ask: Promise<T> | undefined): Promise<T> => {
    await clock.settle();
    if (ask === undefined) throw new Error('no such handler');
    return ask;
  };

  const offerOf = (id: string, over: Partial<OfferReq> = {}): OfferReq => ({
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
    ...over,
  });
  const offer = (id: string, over: Partial<OfferReq> = {}) =>
    answer(handlers().offer?.(offerOf(id, over)));
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
      // Entry 1 made the run; any other attaches as its caller's new entry.
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
    answer(
      handlers().abandon?.({dispatchId: id, entry, incarnation, organisation}),
    );
  const heartbeat = (owned: readonly string[], fence = 0) =>
    answer(
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
    answer<SideStatus>(kernel.ask('runs', reply => ({kind: 'status', reply})));
  return {
    ...recorded,
    model,
    engine,
    kernel: () => kernel,
    handlers,
    answer,
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
    /** Ends the side as a kill would: the engine is told nothing. */
    kill: () => kernel.stop(),
    restart: async (incarnation: string) => {
      kernel = await startSide(incarnation);
    },
    stateOf: async (id: string) =>
      (await status()).runs.find(run => run.dispatchId === id)?.state,
    starts: (id: string) => model.counts().runsStarted[id] ?? 0,
  };
}

export type SideRig = Awaited<ReturnType<typeof createSideRig>>;
