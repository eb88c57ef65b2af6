/**
 * Declares the record of one run at its side and functions that derive facts
 * from it. Only the `runs` service changes the record.
 *
 * States: offered -> (go) receiving -> (prompt complete) queued -> running ->
 * ended | failed | cancelled. Each unfinished state may also change to failed
 * or cancelled.
 */
import type {Ran} from '../types/errors.js';
import type {DispatchId, NodeId} from '../types/ids.js';
import type {
  CallHead,
  OfferAccepted,
  OfferReq,
  RunEnd,
  RunFailed,
} from '../types/peer_messages.js';
import type {Cancel} from '../types/runtime.js';
import type {ChunkLog} from './chunk_log.js';
import {createChunkLog} from './chunk_log.js';
import type {PromptBuffer} from './prompt_buffer.js';
import {createPromptBuffer} from './prompt_buffer.js';

/** State of a run at its side. */
export type RunState =
  | 'offered'
  | 'receiving'
  | 'queued'
  | 'running'
  | 'ended'
  | 'failed'
  | 'cancelled';

/** Progress of a run according to its upstream's events. */
export interface RunProgress {
  /** Prompt tokens prefilled so far. */
  prefilledTokens: number;
  /** Index of the next expected token. */
  nextToken: number;
  /** An event other than a heartbeat came from the upstream. */
  eventSeen: boolean;
  /** Clock time of the last event, heartbeats included. */
  lastEventAt: number;
  /** Clock time of the last event that is not a heartbeat. */
  lastProgressAt: number;
  /** Clock time of the last tokens; undefined before the first ones. */
  lastTokenAt: number | undefined;
}

/** The subscription to the run's current event stream from the upstream. */
export interface RunStream {
  /** Increases with each new stream; events of earlier streams are dropped. */
  generation: number;
  /** Ends the subscription; undefined when there is none. */
  unsubscribe: Cancel | undefined;
  /** Consecutive resumes without a new token. */
  resumes: number;
}

/** One run at its side. Times are clock times in milliseconds. */
export interface Run {
  readonly id: DispatchId;
  readonly offer: OfferReq;
  /** The reply to the offer; duplicates of the offer get it too. */
  readonly answer: OfferAccepted;
  /** Engine memory that the run needs, in tokens. */
  readonly memoryTokens: number;
  readonly offeredAt: number;
  readonly prompt: PromptBuffer;
  /** The chunks of its answer. */
  readonly chunkLog: ChunkLog;
  readonly progress: RunProgress;
  readonly stream: RunStream;
  /** Cancel functions of its pending timers. */
  readonly timers: Cancel[];
  state: RunState;
  /** The entry that owns the run. */
  owner: NodeId;
  /** When the owner last sent a frame or listed the run in a heartbeat. */
  ownerLastSeenAt: number;
  /** When the run's time limit passes. */
  deadlineAt: number;
  /** Method, path and headers of a call; from its go. */
  call: CallHead | undefined;
  /** The channel that serves the run; undefined when it has none. */
  channelId: number | undefined;
  /** The run was sent to the upstream. */
  started: boolean;
  /** When it was sent to the upstream; 0 before that. */
  startedAt: number;
  /** A call that is finished here while its upstream has not replied yet. */
  lateCall: boolean;
  /** The last frame for the owner; undefined until the run is finished. */
  outcome: RunEnd | RunFailed | undefined;
  /** When the run finished; 0 before that. */
  endedAt: number;
  /** When the outcome was sent on the run's current channel. */
  outcomeSentAt: number | undefined;
  /** The owner has received the outcome or abandoned the run. */
  delivered: boolean;
  /** Consecutive audits in which the engine's list lacked the run. */
  missedAudits: number;
}

/** Input of `createRun`. */
export interface NewRun {
  readonly offer: OfferReq;
  readonly answer: OfferAccepted;
  /** Current clock time. */
  readonly now: number;
}

/** Creates the record of an accepted offer. */
export function createRun(input: NewRun): Run {
  const {offer, now} = input;
  return {
    id: offer.dispatchId,
    offer,
    answer: input.answer,
    memoryTokens: memoryTokensOf(offer),
    offeredAt: now,
    prompt: createPromptBuffer(),
    chunkLog: createChunkLog(),
    progress: {
      prefilledTokens: 0,
      nextToken: 0,
      eventSeen: false,
      lastEventAt: now,
      lastProgressAt: now,
      lastTokenAt: undefined,
    },
    stream: {generation: 0, unsubscribe: undefined, resumes: 0},
    timers: [],
    state: 'offered',
    owner: offer.entry,
    ownerLastSeenAt: now,
    deadlineAt: now + offer.timeLeftMs,
    call: undefined,
    channelId: undefined,
    started: false,
    startedAt: 0,
    lateCall: false,
    outcome: undefined,
    endedAt: 0,
    outcomeSentAt: undefined,
    delivered: false,
    missedAudits: 0,
  };
}

/** Engine memory that a run of this offer needs, in tokens; 0 for a call. */
export function memoryTokensOf(offer: OfferReq): number {
  if (offer.kind === 'call') return 0;
  if (offer.group !== undefined) return offer.group.holdTokens;
  return offer.promptTokens + offer.maxTokens;
}

/** A group member that only holds memory for the group's lead. */
export function isHoldOnly(offer: OfferReq): boolean {
  return offer.group !== undefined && !offer.group.lead;
}

/** Whether the run is ended, failed or cancelled. */
export function isFinished(run: Run): boolean {
  return (
    run.state === 'ended' || run.state === 'failed' || run.state === 'cancelled'
  );
}

/** Whether the run is accepted and not yet sent to the upstream. */
export function isWaiting(run: Run): boolean {
  return !isFinished(run) && run.state !== 'running';
}

/** Whether the run occupies one of the upstream's slots for concurrent runs. */
export function occupiesSlot(run: Run): boolean {
  return run.state === 'running' || run.lateCall;
}

/** Prompt tokens not yet prefilled. */
export function prefillTokensLeft(run: Run): number {
  if (isFinished(run) || isHoldOnly(run.offer)) return 0;
  return Math.max(0, run.offer.promptTokens - run.progress.prefilledTokens);
}

/** Whether a run that fails now executed, as far as its progress shows. */
export function ranOf(run: Run): Ran {
  if (!run.started) return 'no';
  return run.progress.eventSeen ? 'yes' : 'unknown';
}
