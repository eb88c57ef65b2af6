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

/** Sends runs to the upstream and handles their events. */
export interface UpstreamRunner {
  /** Sends a run to the upstream; at most once for each id. */
  start(run: Run, enginePriority: number): void;
  /**
   * Handles an event of the stream with this generation. Each new stream of a
   * run has the next higher generation. Events of streams that were replaced
   * are dropped.
   */
  handle(run: Run, generation: number, event: UpstreamEvent): void;
  /** Resumes the engine stream of this generation, unless it was replaced. */
  resume(run: Run, generation: number): void;
  /**
   * Treats an engine stream as broken if no event arrived on it for
   * `engineSilenceMs`. The limit is `firstEventTimeoutMs` until the run has its
   * first event other than a heartbeat, on this stream or an earlier one.
   */
  sweep(): void;
}

async function* emptyPrompt(): AsyncIterable<Uint8Array> {
  // A group's engines prefill one prompt together. A member that is not the lead
  // only holds memory for it, so its run has no prompt of its own.
}

/** Creates the runner of one side's upstream. */
export function createUpstreamRunner(
  core: SideCore,
  channels: Channels,
  lifecycle: Lifecycle,
): UpstreamRunner {
  const {ctx, timing, options, table, tombstones, memory, rates} = core;
  const {upstream} = options;

  /** Returns an `OnyxError` as it is, and wraps any other cause in one. */
  const asOnyxError = (run: Run, cause: unknown) =>
    cause instanceof OnyxError
      ? cause
      : new OnyxError({
          code: 'upstream-lost',
          step: 'run',
          peer: options.node,
          message: cause instanceof Error ? cause.message : String(cause),
          ran: ranOf(run),
        });

  /**
   * Starts a new stream generation of the run and sends its events to the
   * `runs` service. The end of the stream is sent as a break too.
   */
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
      sendEvent({from: 'stream', error: asOnyxError(run, cause)});
    const subscription = source.subscribe({
      next: event => sendEvent(wrap(event)),
      error: sendBroken,
      complete: () => sendBroken(new Error('the stream ended early')),
    });
    run.stream.unsubscribe = () => subscription.unsubscribe();
  };

  /** Listens to an engine stream and starts the time limit on silence. */
  const listenToEngine = (run: Run, source: Stream<EngineEvent>) => {
    run.progress.lastEventAt = ctx.clock.now();
    listen(run, source, event => ({from: 'engine', event}));
  };

  const sendToUpstream = (run: Run, enginePriority: number) => {
    const {offer} = run;
    if (upstream.kind === 'service') {
      // `call` is set from the entry's `go` frame, with the method, path and
      // headers. If the frame has none, `GET /` without headers is sent.
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

  /**
   * Sets in the learned rates whether any run is in prefill. A run counts from
   * its first event other than a heartbeat.
   */
  const updatePrefillBusy = () => {
    const isBusy = table
      .runsInSlots()
      .some(run => run.progress.eventSeen && prefillTokensLeft(run) > 0);
    rates.setPrefillBusy(isBusy, ctx.clock.now());
  };

  /**
   * Fails a run whose engine stream is lost. The error's code and `ran` describe
   * only the last connection, so the run fails with `upstream-lost`, and whether
   * it ran follows from its events.
   */
  const failAsLost = (run: Run, error: OnyxError) =>
    lifecycle.fail(run, {code: 'upstream-lost', message: error.message});

  /**
   * Handles a broken engine stream: resumes it after a delay, or fails the run
   * if it cannot be resumed.
   */
  const handleEngineBreak = (run: Run, error: OnyxError) => {
    ctx.log(SIDE_EVENTS.streamBroken, {
      dispatchId: run.id,
      nextToken: run.progress.nextToken,
      resumes: run.stream.resumes,
      code: error.code,
      cause: error.message,
    });
    // `error.ran` is about this stream only. After a resume, an earlier stream
    // may have sent the run.
    const wasNotSent =
      error.ran === 'no' && !run.progress.eventSeen && run.stream.resumes === 0;
    stopListening(run);
    // No byte of the run was sent, so it is failed with `ran: 'no'` and not
    // resumed. A resume would end with `ran: 'unknown'`, and a request that may
    // not be repeated would be lost although another engine could serve it.
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

  /**
   * Frees the slot of a late call when its stream has ended or broken. A late
   * call is finished here, for example cancelled, but its service has not
   * finished its reply yet. It keeps its slot until then, because the service
   * may still be working on it. After `deadline-exceeded` it keeps the slot for
   * at most `lateCallMs`.
   */
  const releaseLateCall = (run: Run) => {
    stopListening(run);
    run.lateCall = false;
    core.queueChanged = true;
  };

  /** Handles an event of a call to a plain service. */
  const handleCallEvent = (run: Run, event: CallEvent) => {
    run.progress.eventSeen = true;
    if (isFinished(run)) {
      if (event.kind === 'done') releaseLateCall(run);
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

  /**
   * Adds a chunk to the run's answer, and sends the next pending chunk if the
   * run's channel can accept it.
   */
  const appendChunk = (
    run: Run,
    data: Uint8Array,
    callHead?: (CallEvent & {kind: 'head'})['head'],
  ) => {
    run.chunkLog.append({dispatchId: run.id, data, tokens: 0, callHead});
    channels.sendPending(run);
  };

  /** Fails a call whose stream broke. Calls are never resumed. */
  const handleCallBreak = (run: Run, error: OnyxError) => {
    if (isFinished(run)) return releaseLateCall(run);
    stopListening(run);
    // `error.ran` is `no` if the upstream's HTTP client sent no byte. An event
    // from the service shows that the request was sent, whatever the error says.
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
          asOnyxError(run, new Error('the stream went silent')),
        );
      }
    },
  };
}
