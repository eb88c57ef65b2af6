/**
 * Hands runs to the upstream and listens to what comes back. A stream that
 * breaks is taken up again from the next token on a new connection; a call to
 * a plain service is made once and never repeated here.
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

export interface UpstreamRunner {
  /** Hands a run to the upstream; once for each id. */
  start(run: Run, enginePriority: number): void;
  handle(run: Run, stream: number, event: UpstreamEvent): void;
  resume(run: Run, stream: number): void;
  /** Treats engine streams without any event for too long as broken. */
  sweep(): void;
}

async function* emptyPrompt(): AsyncIterable<Uint8Array> {
  // A hold has no prompt.
}

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
    const stream = run.stream.generation;
    const sendEvent = (event: UpstreamEvent) =>
      ctx.send('runs', {
        kind: 'upstream',
        dispatchId: run.id,
        streamGeneration: stream,
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

  const updatePrefillBusy = () => {
    const busy = table
      .occupyingSlots()
      .some(run => run.progress.eventSeen && prefillTokensLeft(run) > 0);
    rates.setPrefillBusy(busy, ctx.clock.now());
  };

  const failAsLost = (run: Run, error: OnyxError) =>
    lifecycle.fail(run, {code: 'upstream-lost', message: error.message});

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
    // The connection was never made, so no byte of the run went out: asking to
    // take it up would end as "unknown", and a request that may not repeat
    // would be lost though another engine could serve it.
    if (wasNotSent) {
      return lifecycle.fail(run, {
        code: error.code,
        message: error.message,
        ran: 'no',
      });
    }
    // The engine answered that it has no such run: there is nothing to take up.
    if (error.code === 'not-found') return failAsLost(run, error);
    if (run.stream.resumes >= timing.maxResumes) return failAsLost(run, error);
    const pause = timing.resumeBackoffMs * 2 ** run.stream.resumes;
    run.stream.resumes += 1;
    const stream = run.stream.generation;
    run.timers.push(
      ctx.clock.after(pause, () =>
        ctx.send('runs', {
          kind: 'resume-due',
          dispatchId: run.id,
          streamGeneration: stream,
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
    // Only the client knows whether a byte was sent; once an event came back,
    // one surely was.
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
      // From the first byte on the upstream may run it, whatever becomes of
      // this process. `started` is set and told before, so that no answer
      // given later can claim that it did not run.
      run.state = 'running';
      run.started = true;
      run.startedAt = ctx.clock.now();
      channels.sendStarted(run);
      sendToUpstream(run, enginePriority);
    },
    handle: (run, stream, event) => {
      if (stream !== run.stream.generation) return;
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
    resume: (run, stream) => {
      if (upstream.kind !== 'engine' || run.state !== 'running') return;
      if (stream !== run.stream.generation) return;
      const {nextToken} = run.progress;
      listenToEngine(run, upstream.client.resume(run.id, nextToken));
    },
    sweep: () => {
      if (upstream.kind !== 'engine') return;
      const now = ctx.clock.now();
      for (const run of table.occupyingSlots()) {
        if (run.stream.unsubscribe === undefined) continue;
        const {eventSeen: seen, lastEventAt} = run.progress;
        const limitMs = seen
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
