/** A fake side for tests of the entry; a script sets its behaviour. */
import type {Address, DispatchId, Incarnation} from '../../src/types/ids.js';
import type {
  AbandonRes,
  Chunk,
  LocateRes,
  OfferReq,
  OfferRes,
  RunDown,
  RunEnd,
  RunUp,
  SideLoad,
} from '../../src/types/peer_messages.js';
import type {Clock} from '../../src/types/runtime.js';
import type {Replica} from '../../src/types/services.js';
import type {RunServerChannel, Transport} from '../../src/types/transport.js';
import {createDigest} from '../../src/utils/digest.js';

/** Period of heartbeats on channels. */
const BEAT_MS = 1_000;

/** Load of a side whose engine is idle. */
export const IDLE_LOAD: SideLoad = {
  capacityTokens: 400_000,
  freeTokens: 400_000,
  running: 0,
  queued: 0,
  prefillBacklogTokens: 0,
  shortBacklogTokens: 0,
  prefillTokensPerSec: 10_000,
  stepMs: 20,
  reportAgeMs: 0,
};

/** Behaviour of a scripted side; each part has a default. */
export interface SideScript {
  /** Replies to an offer. @default accepts */
  readonly offer?: (req: OfferReq) => Promise<OfferRes> | OfferRes;
  /** Called at the prompt's end. @default sends 'one ', 'two ', 'three' */
  readonly run?: (side: ScriptedSide, run: ScriptedRun) => void;
  /** Called for an attach. @default sends the chunks from `fromSeq` */
  readonly attach?: (
    side: ScriptedSide,
    run: ScriptedRun,
    fromSeq: number,
  ) => void;
  /** State in the reply to an abandon. @default whether the run started */
  readonly abandon?: (id: DispatchId) => AbandonRes['state'];
}

/** A run at a scripted side. */
export interface ScriptedRun {
  readonly dispatchId: DispatchId;
  /** The newest channel; undefined before the first. */
  channel: RunServerChannel | undefined;
  /** Number of prompt bytes received. */
  readonly promptBytes: () => number;
  /** Chunks of the answer. */
  readonly chunks: Chunk[];
  /** Sends a frame on the newest channel. */
  send(frame: RunDown): void;
}

/** A scripted side and the messages that it received. */
export interface ScriptedSide {
  readonly address: Address;
  incarnation: Incarnation;
  readonly offers: OfferReq[];
  /** Dispatches whose go arrived, in order. */
  readonly goDispatches: DispatchId[];
  /** Dispatch of each abandon. */
  readonly abandons: DispatchId[];
  /** Organisation of each abandon; empty for one from the owner. */
  readonly abandonedFor: string[];
  /** `fromSeq` of each attach. */
  readonly attaches: number[];
  /** Whether each attach took the run over. */
  readonly takeOvers: boolean[];
  readonly runs: Map<DispatchId, ScriptedRun>;
  /** Dispatch of each cancel. */
  readonly cancels: DispatchId[];
  /** Replies to a `locate`; undefined is sent as state `none`. */
  locate: (id: string, organisation: string) => LocateRes | undefined;
  /** The side as a replica with this load. */
  replica(load?: Partial<SideLoad>): Replica;
}

/** Starts a scripted side that listens on `address`. */
export async function startScriptedSide(
  clock: Clock,
  transport: Transport,
  address: Address,
  script: SideScript = {},
): Promise<ScriptedSide> {
  const side: ScriptedSide = {
    address,
    incarnation: `inc-${address}`,
    offers: [],
    goDispatches: [],
    abandons: [],
    abandonedFor: [],
    attaches: [],
    takeOvers: [],
    runs: new Map(),
    cancels: [],
    locate: () => undefined,
    replica: load => replicaOf(side, load),
  };

  const serve = (channel: RunServerChannel) => {
    let run: ScriptedRun | undefined;
    let bytes = 0;
    let open = true;
    const stopBeats = clock.every(BEAT_MS, () => {
      if (open) void channel.send({kind: 'beat'});
    });
    const handleFrame = (frame: RunUp) => {
      if (frame.kind === 'go') {
        side.goDispatches.push(frame.dispatchId);
        run = createScriptedRun(frame.dispatchId, () => bytes);
        run.channel = channel;
        side.runs.set(frame.dispatchId, run);
      } else if (frame.kind === 'attach') {
        side.attaches.push(frame.fromSeq);
        side.takeOvers.push(frame.takeOver === true);
        run = side.runs.get(frame.dispatchId);
        if (run === undefined) {
          void channel.send(failed(frame.dispatchId, 'unknown', 'not-found'));
          return;
        }
        run.channel = channel;
        (script.attach ?? resend)(side, run, frame.fromSeq);
      } else if (frame.kind === 'prompt') {
        bytes += frame.data.length;
      } else if (frame.kind === 'prompt-end' && run !== undefined) {
        (script.run ?? sendThreeChunks)(side, run);
      } else if (frame.kind === 'cancel' && run !== undefined) {
        side.cancels.push(run.dispatchId);
      }
    };
    void channel.frames.observe(handleFrame).then(() => {
      open = false;
      stopBeats();
    });
  };

  await transport.listen(address, {
    offer: async req => {
      side.offers.push(req);
      if (req.incarnation !== side.incarnation) {
        return refused('incarnation', 0, side.incarnation);
      }
      return (script.offer ?? (() => accepted(side)))(req);
    },
    abandon: async ({dispatchId, organisation = ''}) => {
      side.abandons.push(dispatchId);
      side.abandonedFor.push(organisation);
      const ran = side.runs.has(dispatchId) ? 'started' : 'never-started';
      const state = script.abandon?.(dispatchId) ?? ran;
      return {state, incarnation: side.incarnation};
    },
    locate: async ({requestId, organisation}) =>
      side.locate(requestId, organisation) ?? {
        state: 'none',
        dispatchId: '',
        nextSeq: 0,
        kind: 'completion',
      },
    run: serve,
  });
  return side;
}

/** Reply that accepts an offer. */
export function accepted(side: ScriptedSide): OfferRes {
  return {
    kind: 'accepted',
    incarnation: side.incarnation,
    predictedFirstTokenMs: 10,
    lapseMs: 1_000,
  };
}

/** Reply that refuses an offer. */
export function refused(
  reason: Extract<OfferRes, {kind: 'refused'}>['reason'],
  retryAfterMs = 0,
  incarnation = '',
): OfferRes {
  return {kind: 'refused', reason, retryAfterMs, incarnation};
}

/** Last frame of a failed run. */
export function failed(
  dispatchId: DispatchId,
  ran: 'no' | 'yes' | 'unknown',
  code = 'upstream-failed',
): RunDown {
  return {
    kind: 'failed',
    dispatchId,
    ran,
    code,
    message: code,
    retryAfterMs: 0,
  };
}

/** A chunk of a run's answer, without sending it. */
export function chunkOf(run: ScriptedRun, seq: number, text: string): Chunk {
  const data = new TextEncoder().encode(text);
  return {kind: 'chunk', dispatchId: run.dispatchId, seq, data, tokens: 1};
}

/** Last frame of a run's complete answer. */
export function endOf(run: ScriptedRun): RunEnd {
  const digest = createDigest();
  for (const chunk of run.chunks) digest.update(chunk.data);
  return {
    kind: 'end',
    dispatchId: run.dispatchId,
    count: run.chunks.length,
    digest: digest.value(),
    finishReason: 'stop',
    cachedTokens: 0,
  };
}

/** Adds three chunks to a run's answer without sending them. */
export function appendThreeChunks(run: ScriptedRun): void {
  for (const [seq, text] of ['one ', 'two ', 'three'].entries()) {
    run.chunks.push(chunkOf(run, seq, text));
  }
}

/** Sends an answer of three chunks; the default of `SideScript.run`. */
export function sendThreeChunks(_side: ScriptedSide, run: ScriptedRun): void {
  appendThreeChunks(run);
  run.send({kind: 'started'});
  for (const chunk of run.chunks) run.send(chunk);
  run.send(endOf(run));
}

/** Sends the chunks from `fromSeq`; the default of `SideScript.attach`. */
export function resend(
  _side: ScriptedSide,
  run: ScriptedRun,
  fromSeq: number,
): void {
  for (const chunk of run.chunks.slice(fromSeq)) run.send(chunk);
  run.send(endOf(run));
}

/** Creates a run without a channel; an attach may give it one. */
export function createScriptedRun(
  dispatchId: DispatchId,
  promptBytes: () => number = () => 0,
): ScriptedRun {
  const run: ScriptedRun = {
    dispatchId,
    channel: undefined,
    promptBytes,
    chunks: [],
    send: frame => void run.channel?.send(frame),
  };
  return run;
}

function replicaOf(side: ScriptedSide, load: Partial<SideLoad> = {}): Replica {
  return {
    host: side.address,
    node: side.address,
    address: side.address,
    pool: 'onyx-pool',
    failureDomain: 'hall-north',
    incarnation: side.incarnation,
    state: 'live',
    load: {...IDLE_LOAD, ...load},
    loadAt: 0,
    models: [
      {model: 'onyx', version: '1', adapters: [], ready: true, role: 'mixed'},
    ],
    configNumber: 1,
    fence: 0,
    rttMs: 1,
  };
}
