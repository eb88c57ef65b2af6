/** fast-check arbitraries for each message between processes. */
import fc from 'fast-check';
import type {Arbitrary} from 'fast-check';
import type {
  PeerCalls,
  PeerMethod,
  RunDown,
  RunUp,
} from '../../src/types/peer_messages.js';

const text = fc.string({unit: 'grapheme', maxLength: 24});
const texts = fc.array(text, {maxLength: 4});
const count = fc.maxSafeNat();
const number = fc.double({noNaN: true, noDefaultInfinity: true});
const bytes = fc.uint8Array({maxLength: 64});
const bool = fc.boolean();
const dispatchId = fc.oneof(
  text,
  fc
    .tuple(fc.stringMatching(/^[0-9a-f]{32}$/), fc.nat())
    .map(([request, attempt]) => `${request}.${attempt}`),
);

const headers = fc.array(fc.record({name: text, value: text}), {maxLength: 3});
const workKind = fc.constantFrom('completion' as const, 'call' as const);
const role = fc.constantFrom('mixed' as const, 'short' as const);

const entryHeartbeat = fc.record({
  node: text,
  incarnation: text,
  address: text,
  failureDomain: text,
  leaving: bool,
  configNumber: count,
  fence: count,
});

const load = fc.record({
  capacityTokens: count,
  freeTokens: count,
  running: count,
  queued: count,
  prefillBacklogTokens: count,
  shortBacklogTokens: count,
  prefillTokensPerSec: number,
  stepMs: number,
  reportAgeMs: number,
});

const modelState = fc.record({
  model: text,
  version: text,
  adapters: texts,
  ready: bool,
  role,
});

const offerReq = fc.record(
  {
    dispatchId,
    requestId: text,
    organisation: text,
    weight: number,
    entry: text,
    incarnation: text,
    kind: workKind,
    model: text,
    adapter: text,
    priorityClass: text,
    priority: count,
    timeLeftMs: number,
    promptTokens: count,
    maxTokens: count,
    repeatable: bool,
    prefixHashes: texts,
    configNumber: count,
    group: fc.record({lead: bool, size: count, holdTokens: count}),
  },
  {
    requiredKeys: [
      'dispatchId',
      'requestId',
      'organisation',
      'weight',
      'entry',
      'incarnation',
      'kind',
      'model',
      'adapter',
      'priorityClass',
      'priority',
      'timeLeftMs',
      'promptTokens',
      'maxTokens',
      'repeatable',
      'prefixHashes',
      'configNumber',
    ],
  },
);

type CallArbitraries = {
  readonly [M in PeerMethod]: {
    readonly req: Arbitrary<PeerCalls[M]['req']>;
    readonly res: Arbitrary<PeerCalls[M]['res']>;
  };
};

/** Arbitraries of requests and responses, by method. */
export const CALL_ARBITRARIES: CallArbitraries = {
  offer: {
    req: offerReq,
    res: fc.oneof(
      fc.record({
        kind: fc.constant('accepted' as const),
        incarnation: text,
        predictedFirstTokenMs: number,
        lapseMs: number,
      }),
      fc.record({
        kind: fc.constant('refused' as const),
        reason: fc.constantFrom('no-model' as const, 'too-late' as const),
        incarnation: text,
        retryAfterMs: number,
      }),
    ),
  },
  abandon: {
    req: fc.record({
      dispatchId,
      entry: text,
      incarnation: text,
      organisation: text,
    }),
    res: fc.record({
      state: fc.constantFrom('never-started' as const, 'unknown' as const),
      incarnation: text,
    }),
  },
  locate: {
    req: fc.record({requestId: text, organisation: text}),
    res: fc.record({
      state: fc.constantFrom('none' as const, 'running' as const),
      dispatchId,
      nextSeq: count,
      kind: workKind,
      model: text,
      promptTokens: count,
    }),
  },
  sideHeartbeat: {
    req: fc.record({
      entry: text,
      entryIncarnation: text,
      entryAddress: text,
      configNumber: count,
      fence: count,
      owned: fc.array(dispatchId, {maxLength: 4}),
    }),
    res: fc.record({
      node: text,
      incarnation: text,
      pool: text,
      failureDomain: text,
      leaving: bool,
      configNumber: count,
      fence: count,
      load,
      models: fc.array(modelState, {maxLength: 3}),
    }),
  },
  entryHeartbeat: {req: entryHeartbeat, res: entryHeartbeat},
  fetchConfig: {
    req: fc.record({haveNumber: count, wantHashes: texts}),
    res: fc.record({
      number: count,
      manifest: text,
      documents: fc.array(fc.record({hash: text, json: text}), {maxLength: 3}),
    }),
  },
  grant: {
    req: fc.record({
      organisation: text,
      entry: text,
      wantPlaces: count,
      wantTokens: count,
      usedPlaces: count,
    }),
    res: fc.record({places: count, tokens: count, ttlMs: number, home: bool}),
  },
  order: {
    req: fc.record({
      orderId: text,
      fence: count,
      action: fc.constantFrom('load' as const, 'set-role' as const),
      model: text,
      version: text,
      adapter: text,
      role,
    }),
    res: fc.record({
      state: fc.constantFrom('done' as const, 'refused' as const),
      reason: text,
      fence: count,
    }),
  },
};

const call = fc.record({method: text, path: text, headers});
const callHead = fc.record({status: count, headers});
const go = {
  kind: fc.constant('go' as const),
  dispatchId,
  incarnation: text,
  timeLeftMs: number,
};
const chunk = {
  kind: fc.constant('chunk' as const),
  dispatchId,
  seq: count,
  data: bytes,
  tokens: count,
};
const beat = fc.record({kind: fc.constant('beat' as const)});

/** Arbitrary of the frames from entry to side. */
export const RUN_UP_ARBITRARY: Arbitrary<RunUp> = fc.oneof(
  fc.record(go),
  fc.record({...go, call}),
  fc.record({kind: fc.constant('prompt' as const), seq: count, data: bytes}),
  fc.record({kind: fc.constant('prompt-end' as const), count}),
  fc.record({
    kind: fc.constant('attach' as const),
    dispatchId,
    organisation: text,
    entry: text,
    fromSeq: count,
    takeOver: fc.boolean(),
  }),
  fc.record({kind: fc.constant('ack' as const), nextSeq: count}),
  beat,
  fc.record({kind: fc.constant('cancel' as const)}),
);

/** Arbitrary of the frames from side to entry. */
export const RUN_DOWN_ARBITRARY: Arbitrary<RunDown> = fc.oneof(
  fc.record({kind: fc.constant('started' as const)}),
  fc.record(chunk),
  fc.record({...chunk, callHead}),
  fc.record({
    kind: fc.constant('end' as const),
    dispatchId,
    count,
    digest: text,
    finishReason: text,
    cachedTokens: count,
  }),
  fc.record({
    kind: fc.constant('failed' as const),
    dispatchId,
    ran: fc.constantFrom('no' as const, 'yes' as const, 'unknown' as const),
    code: text,
    message: text,
    retryAfterMs: number,
  }),
  beat,
);
