/**
 * One attempt: a dispatch on one side from its go (or attach) to its end. It
 * lets only checked chunks through, resumes on new connections, and at the
 * end says what is known of whether the work ran.
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

/** Chunks between acknowledgements. */
const ACK_INTERVAL_CHUNKS = 32;
/**
 * Acknowledgements lag so far behind: a caller that resumes at another entry
 * after this one died may lack chunks which this one had sent to its socket.
 */
const ACK_LAG_CHUNKS = 256;

export type AttemptOutcome =
  | {readonly kind: 'end'; readonly end: RunEnd}
  /** As the side itself says. */
  | {readonly kind: 'failed'; readonly failed: RunFailed}
  /** The side did not answer; `ran` is what the evidence allows to say. */
  | {readonly kind: 'lost'; readonly ran: Ran; readonly reason: string}
  /** All chunks came, but they are not the bytes that the side sent. */
  | {readonly kind: 'changed'}
  | {readonly kind: 'stopped'};

export interface AttemptDeps extends Runtime {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly node: NodeId;
}

export interface AttemptSpec {
  readonly side: Address;
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly organisation: OrganisationId;
  /** Left out to take up a run that goes on already. */
  readonly go?: {
    readonly body: Body;
    readonly call: CallHead | undefined;
    /** On this process's clock. */
    readonly deadlineAt: number;
  };
  readonly answerLog: AnswerLog;
  /** The run was handed to the upstream. */
  readonly onStarted?: () => void;
  /** Direct evidence about the side, for the membership. */
  readonly onEvidence: (
    what: 'unreachable' | 'incarnation' | 'answered',
    incarnation: Incarnation,
  ) => void;
}

export interface Attempt {
  readonly outcome: Promise<AttemptOutcome>;
  /** What is known now of whether the work ran. */
  ran(): Ran;
  /** Cancels the run at the side and resolves as `stopped`. */
  stop(): void;
  /** Cancels it, and resolves as `lost` with what the side says of it. */
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

  const recordDroppedFrame = (reason: string, frame: RunDown) => {
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
      recordDroppedFrame(status, chunk);
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
    recordDroppedFrame(status, end);
    if (status === 'short') reconnect('short');
    if (status !== 'changed') return;
    // The end frame itself may be the damaged one: fetched again once.
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
        if (frame.dispatchId !== spec.dispatchId)
          recordDroppedFrame('foreign', frame);
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
      newConnection: newConnection,
      onFrame,
      onLost: onLinkLost,
    });
  };

  const onLinkLost = (loss: LinkLoss) => {
    if (!settled) reconnect(loss);
  };

  /** Takes the run up on a new connection, from the next chunk. */
  const reconnect = (reason: string) => {
    if (settled) return;
    link?.close();
    cancelReconnect();
    if (linkWorked()) reconnects = 0;
    reconnects++;
    // A prompt cut short cannot be taken up; the side's answer decides.
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

  /** A long prefill may well outlive several connections. */
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
    // The cancel frame is lost on a silent connection: the call goes on one
    // of its own, else the run would hold the engine's memory until its lease.
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
