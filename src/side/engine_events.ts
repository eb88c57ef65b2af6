/**
 * Applies an engine's events to their run. Tokens are appended to the answer as
 * chunks, each token once and in order. Prefill and decode progress updates the
 * learned rates.
 */
import {OnyxError} from '../types/errors.js';
import type {EngineEvent} from '../types/upstream.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {prefillTokensLeft} from './run.js';
import type {Run} from './run.js';

type TokensEvent = EngineEvent & {readonly kind: 'tokens'};
type DoneEvent = EngineEvent & {readonly kind: 'done'};

/** Applies one event to its run. */
export type EngineEventHandler = (run: Run, event: EngineEvent) => void;

/**
 * Creates the handler. `onBroken` is called when the event stream has a gap or
 * a partial duplicate, so that it must be resumed from the next token.
 */
export function createEngineEventHandler(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
  onBroken: (run: Run, error: OnyxError) => void,
): EngineEventHandler {
  const {ctx, rates} = core;

  const gapError = (run: Run, receivedIndex: number) =>
    new OnyxError({
      code: 'upstream-lost',
      step: 'run',
      peer: core.options.node,
      message: `token ${receivedIndex} came where ${run.progress.nextToken} was due`,
      ran: 'yes',
    });

  const handlePrefill = (run: Run, prefilledTokens: number) => {
    const count = prefilledTokens - run.progress.prefilledTokens;
    if (count <= 0) return;
    run.progress.prefilledTokens = prefilledTokens;
    rates.recordPrefill(count, ctx.clock.now());
  };

  /** Records the time since the run's previous tokens as decode time. */
  const learnStepTime = (run: Run, count: number) => {
    const now = ctx.clock.now();
    const {lastTokenAt} = run.progress;
    if (lastTokenAt !== undefined) rates.recordDecode(count, now - lastTokenAt);
    run.progress.lastTokenAt = now;
  };

  const handleTokens = (run: Run, event: TokensEvent) => {
    const {nextToken} = run.progress;
    const isDuplicate = event.index + event.count <= nextToken;
    if (isDuplicate && event.count > 0) return;
    // A gap would truncate the answer and a partial duplicate would repeat
    // tokens, so the stream is resumed from the next expected token.
    if (event.index !== nextToken)
      return onBroken(run, gapError(run, event.index));
    if (prefillTokensLeft(run) > 0) handlePrefill(run, run.offer.promptTokens);
    learnStepTime(run, event.count);
    run.progress.nextToken = nextToken + event.count;
    run.stream.resumes = 0;
    const {data, count} = event;
    run.chunkLog.append({dispatchId: run.id, data, tokens: count});
    channels.sendPending(run);
  };

  const handleDone = (run: Run, event: DoneEvent) => {
    if (event.tokens !== run.progress.nextToken) {
      return onBroken(run, gapError(run, event.tokens));
    }
    lifecycle.end(run, event.finishReason, event.cachedTokens);
  };

  return (run, event) => {
    // A resumed stream that brings only heartbeats shows no run progress.
    if (event.kind !== 'beat') {
      run.progress.eventSeen = true;
      run.progress.lastProgressAt = ctx.clock.now();
    }
    switch (event.kind) {
      case 'prefill':
        return handlePrefill(run, event.doneTokens);
      case 'tokens':
        return handleTokens(run, event);
      case 'done':
        return handleDone(run, event);
      case 'failed':
        return lifecycle.fail(run, {
          code: 'upstream-failed',
          message: event.message,
        });
      case 'beat':
        return;
    }
  };
}
