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
import {createAnswerCheck} from './answer_verifier.js';
import type {AnswerLog} from './answer_log.js';
import {sendPrompt} from './prompt_sender.js';
import {openRunLink} from './run_link.js';
import type {LinkLoss, RunLink} from './run_link.js';
import type {RequestTiming} from '../timing.js';

/** Chunks between acknowledgements. */
const ACK_EVERY = 32;
/**
 * Acknowledgements lag so far behind: a caller that resumes at another entry
 * after this one died may lack chunks which this one had sent to its socket.
 */
const ACK_LAG = 256;

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
  readonly answer: AnswerLog;
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
  const check = createAnswerCheck(spec.dispatchId, spec.answer.nextSeq());
  let link: RunLink | undefined;
  let relinkTimer: Cancel = () => undefined;
  let renewals = 0;
  let promptSent = spec.go === undefined;
  let started = false;
  let linkOpenedAt = clock.now();
  let linkHeard = false;
  let heardOnce = false;
  let endRefetched = false;
  let settled = false;
  let settle: (outcome: AttemptOutcome) => void = () => undefined;
  const outcome = new Promise<AttemptOutcome>(resolve => {
    settle = resolve;
  });

  const finish = (result: AttemptOutcome) => {
    if (settled) return;
    settled = true;
    relinkTimer();
    link?.close();
    settle(result);
  };

  const drop = (reason: string, frame: RunDown) => {
    deps.metrics.count('onyxloft_dropped_frames_total', {reason});
    deps.log(REQUEST_EVENTS.frameDropped, {
      dispatchId: spec.dispatchId,
      side: spec.side,
      frame: frame.kind,
      reason,
    });
  };

  const onChunk = (chunk: Chunk) => {
    const verdict = check.chunk(chunk);
    if (verdict !== 'next') {
      drop(verdict, chunk);
      if (verdict === 'gap') renew('gap');
      return;
    }
    started = true;
    renewals = 0;
    spec.answer.append({
      kind: 'chunk',
      seq: chunk.seq,
      data: chunk.data,
      tokens: chunk.tokens,
      callHead: chunk.callHead,
    });
    const ackable = check.nextSeq() - ACK_LAG;
    if (ackable > 0 && ackable % ACK_EVERY === 0) {
      void link?.send({kind: 'ack', nextSeq: ackable});
    }
  };

  const onEnd = (end: RunEnd) => {
    const verdict = check.end(end);
    if (verdict === 'whole') {
      void link?.send({kind: 'ack', nextSeq: end.count});
      finish({kind: 'end', end});
      return;
    }
    drop(verdict, end);
    if (verdict === 'short') renew('short');
    if (verdict !== 'changed') return;
    // The end frame itself may be the damaged one: fetched again once.
    if (endRefetched) finish({kind: 'changed'});
    endRefetched = true;
    renew('changed');
  };

  const onFrame = (frame: RunDown) => {
    linkHeard = true;
    heardOnce = true;
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
        if (frame.dispatchId !== spec.dispatchId) drop('foreign', frame);
        else finish({kind: 'failed', failed: frame});
        return;
      case 'beat':
        return;
    }
  };

  const open = (fresh: boolean): RunLink => {
    linkOpenedAt = clock.now();
    linkHeard = false;
    return openRunLink({
      transport: deps.transport,
      clock,
      timing,
      side: spec.side,
      fresh,
      onFrame,
      onLost: onLinkLost,
    });
  };

  const onLinkLost = (loss: LinkLoss) => {
    if (!settled) renew(loss);
  };

  /** Takes the run up on a new connection, from the next chunk. */
  const renew = (reason: string) => {
    if (settled) return;
    link?.close();
    relinkTimer();
    if (linkWasSound()) renewals = 0;
    renewals++;
    // A prompt cut short cannot be taken up; the side's answer decides.
    if (!promptSent || renewals > timing.attachTries) {
      void giveUp(reason);
      return;
    }
    deps.log(REQUEST_EVENTS.channelRenewed, {
      dispatchId: spec.dispatchId,
      side: spec.side,
      reason,
      fromSeq: check.nextSeq(),
      renewal: renewals,
    });
    deps.metrics.count('onyxloft_channel_renewals_total', {reason});
    relinkTimer = clock.after(renewPauseMs(), attach);
  };

  /** A long prefill may well outlive several connections. */
  const linkWasSound = () =>
    linkHeard && clock.now() - linkOpenedAt > 2 * timing.silenceMs;

  const renewPauseMs = () =>
    renewals <= 1
      ? 0
      : timing.retryPauseMs * 2 ** (renewals - 2) * (0.5 + deps.random.next());

  const attach = () => {
    if (settled) return;
    link = open(renewals > 0);
    void link.send({
      kind: 'attach',
      dispatchId: spec.dispatchId,
      organisation: spec.organisation,
      entry: deps.node,
      fromSeq: check.nextSeq(),
      takeOver: spec.go === undefined && !heardOnce,
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

  const begin = async (go: NonNullable<AttemptSpec['go']>) => {
    link = open(false);
    const first = link;
    await first.send({
      kind: 'go',
      dispatchId: spec.dispatchId,
      incarnation: spec.incarnation,
      timeLeftMs: Math.max(0, go.deadlineAt - clock.now()),
      call: go.call,
    });
    if (first.closed()) return;
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
  else void begin(spec.go);

  return {
    outcome,
    ran: () => (started ? 'yes' : 'unknown'),
    stop,
    abandon: reason => {
      if (settled) return;
      link?.close();
      relinkTimer();
      void giveUp(reason);
    },
  };
}
