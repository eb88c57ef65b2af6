/**
 * Sends runs to the upstream and handles the events that come back. A broken
 * engine stream is resumed from the next token on a new connection. A call to a
 * plain service is sent once and never repeated here.
 */
import type {Stream} from 'most';
import {OnyxError} from '../types/errors.js';
import type {CallEvent, EngineEvent} from '../types/upstream.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import {createEngineEventHandler} from './engine_events.js';
import type {Lifecycle} from './lifecycle.js';
import {stopListening} from './lifecycle.js';
import type {UpstreamEvent} from './messages.js';
import {isHoldOnly, isFinished, prefillTokensLeft, ranOf} from './run.js';
import type {Run} from './run.js';

/** Runs work on the upstream. */
export interface UpstreamRunner {
  /** Sends a run to the upstream; at most once for each id. */
  start(run: Run, enginePriority: number): void;
  /** Handles an event; drops events of earlier stream generations. */
  handle(run: Run, generation: number, event: UpstreamEvent): void;
  /** Resumes a broken engine stream, unless it was replaced meanwhile. */
  resume(run: Run, generation: number): void;
  /** Treats engine streams without an event for too long as broken. */
  sweep(): void;
}

async function* emptyPrompt(): AsyncIterable<Uint8Array> {
  // A run that only holds memory has no prompt.
}

/** Creates the runner of one side's upstream. */
export function createUpstreamRunner(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
): UpstreamRunner {
  const {ctx, timing, options, table, tombstones, memory, rates} = core;
  const {upstream} = options;

  const toLostError = (run: Run, cause: unknown) =>
    cause instanceof OnyxError
      ? cause
      : new OnyxError({
          code: 'upstream-lost',
          step: 'run',
          peer: options.node,
          message: cause instanceof Error ? cause.message : String(cause),
          ran: ranOf(run),
        });

  const listen = <E>(
    run: Run,
    source: Stream<E>,
    wrap: (event: E) => UpstreamEvent,
  ) => {
    run.stream.generation += 1;
    const generation = run.stream.generation;
    const sendEvent = (event: UpstreamEvent) =>
      ctx.send('runs', {
        kind: 'upstream',
        dispatchId: run.id,
        streamGeneration: generation,
        event,
      });
    const sendBroken = (cause: unknown) =>
      sendEvent({from: 'stream', error: toLostError(run, cause)});
    const subscription = source.subscribe({
      next: event => sendEvent(wrap(event)),
      error: sendBroken,
      complete: () => sendBroken(new Error('the stream ended early')),
    });
    run.stream.unsubscribe = () => subscription.unsubscribe();
  };

  const listenToEngine = (run: Run, source: Stream<EngineEvent>) => {
    run.progress.lastEventAt = ctx.clock.now();
    listen(run, source, event => ({from: 'engine', event}));
  };

  const sendToUpstream = (run: Run, enginePriority: number) => {
    const {offer} = run;
    if (upstream.kind === 'service') {
      const head = run.call ?? {method: 'GET', path: '/', headers: []};
      const answer = upstream.client.call(run.id, head, run.prompt.take());
      listen(run, answer, event => ({from: 'service', event}));
      return;
    }
    const holdOnly = isHoldOnly(offer);
    const req = {
      runId: run.id,
      model: offer.model,
      adapter: offer.adapter,
      priority: enginePriority,
      promptTokens: offer.promptTokens,
      maxTokens: offer.maxTokens,
      memoryTokens: run.memoryTokens,
      groupSize: offer.group?.size ?? 1,
      holdOnly,
      prefixHashes: offer.prefixHashes,
    };
    const prompt = holdOnly ? emptyPrompt() : run.prompt.take();
    listenToEngine(run, upstream.client.start(req, prompt));
  };

  /** Tells the learned rates whether any run is in prefill. */
  const updatePrefillBusy = () => {
    const isBusy = table
      .runsInSlots()
      .some(run => run.progress.eventSeen && prefillTokensLeft(run) > 0);
    rates.setPrefillBusy(isBusy, ctx.clock.now());
  };

  const failAsLost = (run: Run, error: OnyxError) =>
    lifecycle.fail(run, {code: 'upstream-lost', message: error.message});

  /** Resumes a broken engine stream after a delay, or fails the run. */
  const handleEngineBreak = (run: Run, error: OnyxError) => {
    ctx.log(SIDE_EVENTS.streamBroken, {
      dispatchId: run.id,
      nextToken: run.progress.nextToken,
      resumes: run.stream.resumes,
      code: error.code,
      cause: error.message,
    });
    const wasNotSent =
      error.ran === 'no' && !run.progress.eventSeen && run.stream.resumes === 0;
    stopListening(run);
    // The connection was never established, so no byte of the run was sent. A
    // resume would end with `ran: 'unknown'`, and a request that may not be
    // repeated would be lost although another engine could serve it.
    if (wasNotSent) {
      return lifecycle.fail(run, {
        code: error.code,
        message: error.message,
        ran: 'no',
      });
    }
    // The engine does not have the run, so there is nothing to resume.
    if (error.code === 'not-found') return failAsLost(run, error);
    if (run.stream.resumes >= timing.maxResumes) return failAsLost(run, error);
    const delayMs = timing.resumeBackoffMs * 2 ** run.stream.resumes;
    run.stream.resumes += 1;
    const generation = run.stream.generation;
    run.timers.push(
      ctx.clock.after(delayMs, () =>
        ctx.send('runs', {
          kind: 'resume-due',
          dispatchId: run.id,
          streamGeneration: generation,
        }),
      ),
    );
  };

  const handleEngineEvent = createEngineEventHandler(
    core,
    channels,
    lifecycle,
    handleEngineBreak,
  );

  /** Frees the slot of a late call after its upstream replied or broke. */
  const releaseSlot = (run: Run) => {
    stopListening(run);
    run.lateCall = false;
    core.queueChanged = true;
  };

  const handleCallEvent = (run: Run, event: CallEvent) => {
    run.progress.eventSeen = true;
    if (isFinished(run)) {
      if (event.kind === 'done') releaseSlot(run);
      return;
    }
    switch (event.kind) {
      case 'head':
        appendChunk(run, new Uint8Array(0), event.head);
        break;
      case 'data':
        appendChunk(run, event.data);
        break;
      case 'done':
        rates.recordCall(ctx.clock.now() - run.startedAt);
        lifecycle.end(run, 'done', 0);
        break;
    }
  };

  const appendChunk = (
    run: Run,
    data: Uint8Array,
    callHead?: (CallEvent & {kind: 'head'})['head'],
  ) => {
    run.chunkLog.append({dispatchId: run.id, data, tokens: 0, callHead});
    channels.sendPending(run);
  };

  const handleCallBreak = (run: Run, error: OnyxError) => {
    if (isFinished(run)) return releaseSlot(run);
    stopListening(run);
    // Only the client knows whether a byte was sent. An event from the service
    // shows that one was.
    const wasNotSent = error.ran === 'no' && !run.progress.eventSeen;
    lifecycle.fail(run, {
      code: error.code,
      message: error.message,
      ran: wasNotSent ? 'no' : ranOf(run),
    });
  };

  return {
    start: (run, enginePriority) => {
      ctx.invariant(!run.started, 'dispatch-started-once', {
        dispatchId: run.id,
      });
      ctx.invariant(
        tombstones.get(run.id) === undefined,
        'nothing-started-after-tombstone',
        {dispatchId: run.id},
      );
      if (upstream.kind === 'engine' && !memory.holds(run.id)) {
        memory.reserve(run.id, run.memoryTokens);
      }
      // The upstream may execute the run from the first byte on, even if this
      // process fails. `started` is therefore set and sent before the first
      // byte, so that no later reply can claim that the run did not execute.
      run.state = 'running';
      run.started = true;
      run.startedAt = ctx.clock.now();
      channels.sendStarted(run);
      sendToUpstream(run, enginePriority);
    },
    handle: (run, generation, event) => {
      if (generation !== run.stream.generation) return;
      run.progress.lastEventAt = ctx.clock.now();
      if (event.from === 'service') {
        handleCallEvent(run, event.event);
      } else if (event.from === 'engine') {
        handleEngineEvent(run, event.event);
        updatePrefillBusy();
      } else if (run.offer.kind === 'call') {
        handleCallBreak(run, event.error);
      } else {
        handleEngineBreak(run, event.error);
      }
    },
    resume: (run, generation) => {
      if (upstream.kind !== 'engine' || run.state !== 'running') return;
      if (generation !== run.stream.generation) return;
      const {nextToken} = run.progress;
      listenToEngine(run, upstream.client.resume(run.id, nextToken));
    },
    sweep: () => {
      if (upstream.kind !== 'engine') return;
      const now = ctx.clock.now();
      for (const run of table.runsInSlots()) {
        if (run.stream.unsubscribe === undefined) continue;
        const {eventSeen, lastEventAt} = run.progress;
        const limitMs = eventSeen
          ? timing.engineSilenceMs
          : timing.firstEventTimeoutMs;
        if (now - lastEventAt <= limitMs) continue;
        handleEngineBreak(
          run,
          toLostError(run, new Error('the stream went silent')),
        );
      }
    },
  };
}
