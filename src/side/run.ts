/**
 * The record of one run at its side, and the questions asked of it. Only the
 * `runs` service changes it.
 *
 * States: offered -> (go) receiving -> (prompt whole) queued -> running ->
 * ended | failed | cancelled. Each state before the last three may turn into
 * failed or cancelled.
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

export type RunState =
  | 'offered'
  | 'receiving'
  | 'queued'
  | 'running'
  | 'ended'
  | 'failed'
  | 'cancelled';

/** What was seen of a run at its upstream. */
export interface RunProgress {
  prefilledTokens: number;
  /** Index of the next token wanted. */
  nextToken: number;
  /** Any event at all came from the upstream. */
  eventSeen: boolean;
  lastEventAt: number;
  /** The same, beats left out. */
  lastProgressAt: number;
  /** When the last tokens came; undefined before the first. */
  lastTokenAt: number | undefined;
}

/** The stream of events from the upstream that is listened to now. */
export interface RunStream {
  /** Counts up; events of earlier streams are dropped. */
  generation: number;
  unsubscribe: Cancel | undefined;
  /** Takings-up since the last new token. */
  resumes: number;
}

export interface Run {
  readonly id: DispatchId;
  readonly offer: OfferReq;
  readonly answer: OfferAccepted;
  readonly memoryTokens: number;
  readonly offeredAt: number;
  readonly prompt: PromptBuffer;
  readonly chunkLog: ChunkLog;
  readonly progress: RunProgress;
  readonly stream: RunStream;
  readonly timers: Cancel[];
  state: RunState;
  /** The entry that owns the run. */
  owner: NodeId;
  ownerLastSeenAt: number;
  deadlineAt: number;
  call: CallHead | undefined;
  channelId: number | undefined;
  /** It was handed to the upstream. */
  started: boolean;
  startedAt: number;
  /** A call past its end here whose upstream has not answered yet. */
  lateCall: boolean;
  outcome: RunEnd | RunFailed | undefined;
  endedAt: number;
  /** When the outcome was sent on the run's present channel. */
  outcomeSentAt: number | undefined;
  /** The owner has got the outcome. */
  delivered: boolean;
  /** Audits in a row in which the engine did not list it. */
  missedAudits: number;
}

export interface NewRun {
  readonly offer: OfferReq;
  readonly answer: OfferAccepted;
  readonly now: number;
}

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

/** Memory that a run of this offer holds, in tokens; 0 for a call. */
export function memoryTokensOf(offer: OfferReq): number {
  if (offer.kind === 'call') return 0;
  if (offer.group !== undefined) return offer.group.holdTokens;
  return offer.promptTokens + offer.maxTokens;
}

/** A group member that only holds memory for the group's lead. */
export function isHoldOnly(offer: OfferReq): boolean {
  return offer.group !== undefined && !offer.group.lead;
}

export function isFinished(run: Run): boolean {
  return (
    run.state === 'ended' || run.state === 'failed' || run.state === 'cancelled'
  );
}

/** Accepted and not yet handed to the upstream. */
export function isWaiting(run: Run): boolean {
  return !isFinished(run) && run.state !== 'running';
}

/** Whether it occupies a place at the upstream. */
export function occupiesSlot(run: Run): boolean {
  return run.state === 'running' || run.lateCall;
}

/** Prompt tokens still to prefill. */
export function prefillTokensLeft(run: Run): number {
  if (isFinished(run) || isHoldOnly(run.offer)) return 0;
  return Math.max(0, run.offer.promptTokens - run.progress.prefilledTokens);
}

/** What can honestly be said of a run that fails now. */
export function ranOf(run: Run): Ran {
  if (!run.started) return 'no';
  return run.progress.eventSeen ? 'yes' : 'unknown';
}
