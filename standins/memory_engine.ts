/**
 * An engine client right on top of the model engine, without sockets, for runs
 * in virtual time. It behaves as the HTTP client does: streams break, go
 * silent, carry beats and time out on the clock.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import {OnyxError} from '../src/types/errors.js';
import type {ErrorCode} from '../src/types/errors.js';
import type {Cancel, Clock} from '../src/types/runtime.js';
import type {
  EngineClient,
  EngineEvent,
  EngineRunReq,
} from '../src/types/upstream.js';
import {pushStream} from '../src/upstream/push_stream.js';
import type {Push} from '../src/upstream/push_stream.js';
import {watchSilence} from '../src/upstream/silence_watch.js';
import {createDigest} from '../src/utils/digest.js';
import type {EngineModel} from './engine_model.js';
import type {RunListener} from './engine_runs.js';

export interface MemoryEngineOptions {
  readonly model: EngineModel;
  readonly clock: Clock;
  /** Peer named in errors. @default "memory-engine" */
  readonly name?: string;
  /** Time for a call or start to reach the engine. @default 0.5 */
  readonly latencyMs?: number;
  /** Period of beats on open streams. @default 500 */
  readonly beatMs?: number;
  /** Silence after which a stream fails. @default 1500 */
  readonly silenceMs?: number;
  /** Time after which a call without answer fails. @default 2000 */
  readonly callTimeoutMs?: number;
}

export interface MemoryEngine extends EngineClient {
  /** Breaks all open streams; the runs go on. */
  cut(): void;
  /** Open streams never send again, without an error; new ones work. */
  silenceOpen(): void;
  /** While on, nothing is answered, on old streams and new. */
  setSilent(on: boolean): void;
}

/** One stream, as the engine's end sees it. */
interface Connection {
  readonly push: Push<EngineEvent>;
  /** Sends an event down, unless muted. */
  readonly listener: RunListener;
  muted: boolean;
}

/** A request that has reached the engine's socket. */
interface Arrival {
  /** The engine reads the request: at once, or at the end of a freeze. */
  serve(): void;
  /** The connection is over. */
  close(): void;
}

/** Digest of a whole prompt; its first eight digits name it in an answer. */
export async function hashPrompt(
  prompt: AsyncIterable<Uint8Array>,
): Promise<string> {
  const digest = createDigest();
  for await (const piece of prompt) digest.update(piece);
  return digest.value();
}

/** Makes a client of `model`. Several may share one model. */
export function createMemoryEngine(options: MemoryEngineOptions): MemoryEngine {
  const {model, clock} = options;
  const peer = options.name ?? 'memory-engine';
  const latencyMs = options.latencyMs ?? 0.5;
  const beatMs = options.beatMs ?? 500;
  const silenceMs = options.silenceMs ?? 1500;
  const callTimeoutMs = options.callTimeoutMs ?? 2000;
  const connections = new Set<Connection>();
  let silent = false;
  let stopBeats: Cancel | undefined;

  const fault = (
    code: ErrorCode,
    message: string,
    ran: 'no' | 'unknown' = 'unknown',
  ) => new OnyxError({code, step: 'run', peer, message, ran});

  const unreachable = () => {
    return fault('peer-unreachable', `engine ${peer} does not answer`, 'no');
  };

  const beat = () => {
    if (model.isFrozen()) return;
    for (const {listener} of connections) listener({kind: 'beat'});
  };

  const add = (connection: Connection) => {
    connections.add(connection);
    stopBeats ??= clock.every(beatMs, beat);
  };

  const drop = (connection: Connection) => {
    connections.delete(connection);
    if (connections.size > 0) return;
    stopBeats?.();
    stopBeats = undefined;
  };

  const connect = (
    receive: (connection: Connection) => Arrival,
  ): Stream<EngineEvent> => {
    return pushStream(push => {
      let arrival: Arrival | undefined;
      const watch = watchSilence(clock, silenceMs, () => {
        push.error(fault('timeout', `engine ${peer} went silent`));
      });
      const listener = (event: EngineEvent) => {
        if (connection.muted) return;
        watch.touch();
        push.event(event);
        if (event.kind === 'done' || event.kind === 'failed') push.end();
      };
      const connection: Connection = {push, listener, muted: silent};
      const arrive = () => {
        if (connection.muted) return;
        if (model.isDead()) {
          push.error(unreachable());
          return;
        }
        arrival = receive(connection);
        model.whenAwake(arrival.serve);
      };
      add(connection);
      const cancel = clock.after(latencyMs, arrive);
      return () => {
        cancel();
        watch.stop();
        drop(connection);
        arrival?.close();
      };
    });
  };

  const call = <T>(fn: () => Either<OnyxError, T>) => {
    return new Promise<Either<OnyxError, T>>(resolve => {
      const cancel = clock.after(callTimeoutMs, () => {
        resolve(Left(fault('timeout', `engine ${peer} gave no answer`)));
      });
      const settle = (outcome: Either<OnyxError, T>) => {
        cancel();
        resolve(outcome);
      };
      clock.after(latencyMs, () => {
        if (silent) return;
        if (model.isDead()) settle(Left(unreachable()));
        else model.whenAwake(() => settle(fn()));
      });
    });
  };

  const breakAll = (code: ErrorCode, message: string) => {
    for (const {push} of [...connections]) push.error(fault(code, message));
  };

  const silenceOpen = () => {
    for (const connection of connections) connection.muted = true;
  };

  model.onDeath(() => breakAll('upstream-lost', `engine ${peer} died`));

  const receiveStart = (
    {push, listener}: Connection,
    req: EngineRunReq,
    prompt: AsyncIterable<Uint8Array>,
  ): Arrival => {
    const {runId} = req;
    let hash: string | undefined;
    let isBroken = false;
    let isOpened = false;

    const submit = () => {
      if (isOpened && hash !== undefined) model.submit(runId, hash);
    };
    const abort = () => {
      isBroken = true;
      if (isOpened) model.abort(runId);
    };
    hashPrompt(prompt).then(whole => {
      if (isBroken) return;
      hash = whole;
      submit();
    }, abort);

    return {
      // Also when the client has left during a freeze: a prompt that was sent
      // whole waits in the socket, and the run begins with nobody listening.
      serve: () => {
        if (isBroken) return;
        isOpened = model.open(req, listener) === 'opened';
        if (push.isClosed()) model.detach(runId, listener);
        submit();
      },
      close: () => {
        if (hash === undefined) abort();
        model.detach(runId, listener);
      },
    };
  };

  const receiveResume = (
    {push, listener}: Connection,
    runId: string,
    fromIndex: number,
  ): Arrival => ({
    serve: () => {
      if (push.isClosed()) return;
      if (model.resume(runId, fromIndex, listener)) return;
      const message = `engine ${peer} has no run ${runId}`;
      push.error(fault('not-found', message));
    },
    close: () => model.detach(runId, listener),
  });

  return {
    start: (req, prompt) => connect(one => receiveStart(one, req, prompt)),
    resume: (runId, from) => connect(one => receiveResume(one, runId, from)),
    cancel: runId => call(() => Right(model.cancel(runId))),
    list: () => call(() => Right(model.list())),
    report: () => call(() => Right(model.report())),
    setPriority: (runId, priority) =>
      call(() => {
        if (model.setPriority(runId, priority)) return Right(undefined);
        return Left(fault('not-found', `engine ${peer} has no run ${runId}`));
      }),
    cacheEvents: afterSeq => call(() => Right(model.cacheEvents(afterSeq))),
    order: order => call(() => model.order(order)),
    cut: () => breakAll('upstream-lost', `connection to ${peer} broke`),
    silenceOpen,
    setSilent: on => {
      silent = on;
      if (on) silenceOpen();
    },
  };
}
