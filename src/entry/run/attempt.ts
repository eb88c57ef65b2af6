/**
 * One attempt: a dispatch on one side, from its go or attach to its end. It
 * passes on only verified chunks, reconnects when a connection fails, and at
 * the end reports whether the work ran, as far as is known.
 */
import type {Ran} from '../../types/errors.js';
import type {
  Address,
  DispatchId,
  Incarnation,
  NodeId,
  OrganisationId,
} from '../../types/ids.js';
import type {
  CallHead,
  Chunk,
  RunDown,
  RunEnd,
  RunFailed,
} from '../../types/peer_messages.js';
import type {Cancel, Runtime} from '../../types/runtime.js';
import type {Body} from '../../types/services.js';
import type {Transport} from '../../types/transport.js';
import {REQUEST_EVENTS} from '../../utils/events.js';
import {abandonDispatch} from './abandon.js';
import {createAnswerVerifier} from './answer_verifier.js';
import type {AnswerLog} from './answer_log.js';
import {sendPrompt} from './prompt_sender.js';
import {openRunLink} from './run_link.js';
import type {LinkLoss, RunLink} from './run_link.js';
import type {RequestTiming} from '../timing.js';

/** Number of chunks between acknowledgements. */
const ACK_INTERVAL_CHUNKS = 32;
/**
 * Number of chunks by which acknowledgements lag behind. When this entry fails,
 * chunks that it wrote to the caller's socket may be lost. A caller that
 * resumes at another entry can still get them from the side.
 */
const ACK_LAG_CHUNKS = 256;

/** How an attempt ended. */
export type AttemptOutcome =
  | {readonly kind: 'end'; readonly end: RunEnd}
  /** The side reported the failure. */
  | {readonly kind: 'failed'; readonly failed: RunFailed}
  /** The side did not answer. `ran` is what the evidence shows. */
  | {readonly kind: 'lost'; readonly ran: Ran; readonly reason: string}
  /** All chunks arrived, but count or digest differ from what the side sent. */
  | {readonly kind: 'changed'}
  | {readonly kind: 'stopped'};

export interface AttemptDeps extends Runtime {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly node: NodeId;
}

/** The dispatch to run or to attach to. */
export interface AttemptSpec {
  readonly side: Address;
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly organisation: OrganisationId;
  /**
   * The work to start; undefined to attach to a run that is already under way.
   */
  readonly go?: {
    readonly body: Body;
    readonly call: CallHead | undefined;
    /** On this process's clock, in milliseconds. */
    readonly deadlineAt: number;
  };
  readonly answerLog: AnswerLog;
  /** Called when the side has handed the run to the upstream. */
  readonly onStarted?: () => void;
  /** Called with direct evidence about the side, for the membership. */
  readonly onEvidence: (
    what: 'unreachable' | 'incarnation' | 'answered',
    incarnation: Incarnation,
  ) => void;
}

/** A running attempt. */
export interface Attempt {
  readonly outcome: Promise<AttemptOutcome>;
  /** Whether the work ran, as far as is known now. */
  ran(): Ran;
  /** Cancels the run at the side; the outcome is `stopped`. */
  stop(): void;
  /**
   * Cancels the run; the outcome is `lost`, with `ran` as the side reports it.
   */
  abandon(reason: string): void;
}

/** Starts the attempt at once. */
export function startAttempt(deps: AttemptDeps, spec: AttemptSpec): Attempt {
  const {clock, timing} = deps;
  const verifier = createAnswerVerifier(
    spec.dispatchId,
    spec.answerLog.nextSeq(),
  );
  let link: RunLink | undefined;
  let cancelReconnect: Cancel = () => undefined;
  let reconnects = 0;
  let promptSent = spec.go === undefined;
  let started = false;
  let linkOpenedAt = clock.now();
  let linkReceivedFrame = false;
  let receivedFrame = false;
  let endFetchedAgain = false;
  let settled = false;
  let resolveOutcome: (outcome: AttemptOutcome) => void = () => undefined;
  const outcome = new Promise<AttemptOutcome>(resolve => {
    resolveOutcome = resolve;
  });

  const finish = (result: AttemptOutcome) => {
    if (settled) return;
    settled = true;
    cancelReconnect();
    link?.close();
    resolveOutcome(result);
  };

  const dropFrame = (reason: string, frame: RunDown) => {
    deps.metrics.count('onyxloft_dropped_frames_total', {reason});
    deps.log(REQUEST_EVENTS.frameDropped, {
      dispatchId: spec.dispatchId,
      side: spec.side,
      frame: frame.kind,
      reason,
    });
  };

  const onChunk = (chunk: Chunk) => {
    const status = verifier.checkChunk(chunk);
    if (status !== 'next') {
      dropFrame(status, chunk);
      if (status === 'gap') reconnect('gap');
      return;
    }
    started = true;
    reconnects = 0;
    spec.answerLog.append({
      kind: 'chunk',
      seq: chunk.seq,
      data: chunk.data,
      tokens: chunk.tokens,
      callHead: chunk.callHead,
    });
    const ackSeq = verifier.nextSeq() - ACK_LAG_CHUNKS;
    if (ackSeq > 0 && ackSeq % ACK_INTERVAL_CHUNKS === 0) {
      void link?.send({kind: 'ack', nextSeq: ackSeq});
    }
  };

  const onEnd = (end: RunEnd) => {
    const status = verifier.checkEnd(end);
    if (status === 'whole') {
      void link?.send({kind: 'ack', nextSeq: end.count});
      finish({kind: 'end', end});
      return;
    }
    dropFrame(status, end);
    if (status === 'short') reconnect('short');
    if (status !== 'changed') return;
    // The end frame itself may be damaged, so it is fetched again once.
    if (endFetchedAgain) finish({kind: 'changed'});
    endFetchedAgain = true;
    reconnect('changed');
  };

  const onFrame = (frame: RunDown) => {
    linkReceivedFrame = true;
    receivedFrame = true;
    switch (frame.kind) {
      case 'started':
        started = true;
        spec.onStarted?.();
        return;
      case 'chunk':
        onChunk(frame);
        return;
      case 'end':
        onEnd(frame);
        return;
      case 'failed':
        if (frame.dispatchId !== spec.dispatchId) dropFrame('foreign', frame);
        else finish({kind: 'failed', failed: frame});
        return;
      case 'beat':
        return;
    }
  };

  const openLink = (newConnection: boolean): RunLink => {
    linkOpenedAt = clock.now();
    linkReceivedFrame = false;
    return openRunLink({
      transport: deps.transport,
      clock,
      timing,
      side: spec.side,
      newConnection,
      onFrame,
      onLost: onLinkLost,
    });
  };

  const onLinkLost = (loss: LinkLoss) => {
    if (!settled) reconnect(loss);
  };

  /** Attaches to the run over a new connection, from the next chunk on. */
  const reconnect = (reason: string) => {
    if (settled) return;
    link?.close();
    cancelReconnect();
    if (linkWorked()) reconnects = 0;
    reconnects++;
    // A run whose prompt was not fully sent cannot be resumed. The side's
    // answer to the abandon call decides the outcome.
    if (!promptSent || reconnects > timing.maxReconnects) {
      void giveUp(reason);
      return;
    }
    deps.log(REQUEST_EVENTS.channelRenewed, {
      dispatchId: spec.dispatchId,
      side: spec.side,
      reason,
      fromSeq: verifier.nextSeq(),
      renewal: reconnects,
    });
    deps.metrics.count('onyxloft_channel_renewals_total', {reason});
    cancelReconnect = clock.after(reconnectDelayMs(), attach);
  };

  /**
   * True when the last connection worked for some time. Such a connection does
   * not count towards `maxReconnects`, because a long prefill may outlast
   * several connections.
   */
  const linkWorked = () =>
    linkReceivedFrame &&
    clock.now() - linkOpenedAt > 2 * timing.silenceTimeoutMs;

  const reconnectDelayMs = () =>
    reconnects <= 1
      ? 0
      : timing.retryBackoffMs *
        2 ** (reconnects - 2) *
        (0.5 + deps.random.next());

  const attach = () => {
    if (settled) return;
    link = openLink(reconnects > 0);
    void link.send({
      kind: 'attach',
      dispatchId: spec.dispatchId,
      organisation: spec.organisation,
      entry: deps.node,
      fromSeq: verifier.nextSeq(),
      takeOver: spec.go === undefined && !receivedFrame,
    });
  };

  const giveUp = async (reason: string) => {
    const res = await abandonDispatch(deps, spec);
    if (settled) return;
    if (!res.answered) spec.onEvidence('unreachable', spec.incarnation);
    else if (res.incarnation !== spec.incarnation) {
      spec.onEvidence('incarnation', res.incarnation);
    }
    finish({
      kind: 'lost',
      ran: started ? 'yes' : res.ran,
      reason,
    });
  };

  const sendGo = async (go: NonNullable<AttemptSpec['go']>) => {
    link = openLink(false);
    const first = link;
    await first.send({
      kind: 'go',
      dispatchId: spec.dispatchId,
      incarnation: spec.incarnation,
      timeLeftMs: Math.max(0, go.deadlineAt - clock.now()),
      call: go.call,
    });
    if (first.isClosed()) return;
    promptSent = await sendPrompt(first, go.body);
  };

  const stop = () => {
    if (settled) return;
    void link?.send({kind: 'cancel'});
    // The cancel frame is lost on a silent connection. Without this separate
    // call, the run would hold the engine's memory until its lease expires.
    void abandonDispatch(deps, spec);
    finish({kind: 'stopped'});
  };

  if (spec.go === undefined) attach();
  else void sendGo(spec.go);

  return {
    outcome,
    ran: () => (started ? 'yes' : 'unknown'),
    stop,
    abandon: reason => {
      if (settled) return;
      link?.close();
      cancelReconnect();
      void giveUp(reason);
    },
  };
}
