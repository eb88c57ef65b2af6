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
import type {EngineClient, EngineEvent} from '../src/types/upstream.js';
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

/** What a connection does when it reaches the engine; returns its ending. */
type Attach = (connection: Connection) => () => void;

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
    model.whenAwake(() => {
      for (const {listener} of connections) listener({kind: 'beat'});
    });
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

  const connect = (attach: Attach): Stream<EngineEvent> => {
    return pushStream(push => {
      let detach: () => void = () => {};
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
        if (push.isClosed() || connection.muted) return;
        if (model.isDead()) push.error(unreachable());
        else detach = attach(connection);
        if (push.isClosed()) detach();
      };
      add(connection);
      const cancel = clock.after(latencyMs, () => model.whenAwake(arrive));
      return () => {
        cancel();
        watch.stop();
        drop(connection);
        detach();
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

  return {
    start: (req, prompt) =>
      connect(connection => {
        const {listener} = connection;
        const {runId} = req;
        let uploading = model.open(req, listener) === 'opened';
        const finish = (hash: string | undefined) => {
          // Bytes on a silenced connection are lost: the prompt stays short.
          if (!uploading || connection.muted) return;
          uploading = false;
          if (hash === undefined) model.abort(runId);
          else model.submit(runId, hash);
        };
        if (uploading) {
          hashPrompt(prompt).then(finish, () => finish(undefined));
        }
        return () => {
          model.detach(runId, listener);
          if (uploading) model.abort(runId);
          uploading = false;
        };
      }),
    resume: (runId, fromIndex) =>
      connect(({push, listener}) => {
        if (!model.resume(runId, fromIndex, listener)) {
          const message = `engine ${peer} has no run ${runId}`;
          push.error(fault('not-found', message));
        }
        return () => model.detach(runId, listener);
      }),
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
