/**
 * Takes the requests of callers from their connections, each connection's in
 * turn, and has them admitted and served, or refuses them.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {
  Clock,
  Log,
  LogFields,
  Metrics,
  Random,
} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {admitRequest} from '../admit_request.js';
import type {AdmitOptions, Refusal} from '../admit_request.js';
import {
  createConnectionGuards,
  createRequestErrors,
  guardUnsent,
} from '../boundary/connection_guard.js';
import type {RequestErrors} from '../boundary/connection_guard.js';
import type {HeldBytes} from '../held/held_bytes.js';
import {runTwice} from '../../utils/run_each.js';
import type {ReadTurns} from '../../utils/read_turns.js';
import {sendLocalAnswer} from '../local_answers.js';
import type {Serving} from '../serving.js';
import type {CallerLimits, DirectConfig, HeaderCodec} from '../types.js';
import {connectionOf} from './connection_name.js';
import {afterPoll} from './connection_end.js';
import {createConnectionTurns} from './connection_turns.js';
import {widestOf} from './limits_in_force.js';
import type {LimitsInForce} from './limits_in_force.js';
import {readId} from './request_id.js';

/** Message to callers whose request comes when the entry ends. */
const ENDED_MESSAGE = 'the entry ends';

export interface RequestIntakeOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly codec: HeaderCodec;
  /** Bounds the bytes that the entry holds. */
  readonly held: Pick<HeldBytes, 'track'>;
  /** Bounds the work with bodies. */
  readonly turns: ReadTurns;
  readonly checks: Pick<
    AdmitOptions,
    'keysAreFresh' | 'denialsAreFresh' | 'evidenceDueMs'
  >;
  /** The newest configuration. */
  config(): DirectConfig | undefined;
  readonly limits: LimitsInForce;
  /** See `AdmitOptions`. */
  limitsAreComplete(): boolean;
  isDraining(): boolean;
  readonly serve: Serving['serve'];
  /** Ends the connection unless a further request has come. */
  endWhenIdle(socket: Socket): void;
  /** What is known of the store's state, for the line of a refusal. */
  evidenceFields(): LogFields;
}

/**
 * Resolves when what has come with a head has been parsed: requests behind it are
 * answered too, unless the body before them is not read to its end.
 */
function restOfRead(): Promise<void> {
  return new Promise(afterPoll);
}

interface TakenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  /** The limits when its headers had been read. */
  readonly limits: CallerLimits | undefined;
}

export interface RequestIntake {
  /** Takes a request whose headers have been read. */
  take(req: IncomingMessage, res: ServerResponse): void;
  /** Ends a request that fails before it is served. */
  readonly fail: RequestErrors;
  /** Whether the connection closes after this answer. */
  closesAfter(res: ServerResponse): boolean;
  /** Refuses the requests that are not served yet, and all that come later. */
  refuseAll(): void;
  /**
   * Number of requests whose body is being read, whose key waits for the store,
   * which wait for their turn, or whose answer is not handed over completely.
   */
  openCount(): number;
}

export function createRequestIntake(
  options: RequestIntakeOptions,
): RequestIntake {
  const {clock, log, metrics, codec, config, isDraining} = options;
  /** Answers to requests whose body is read or whose key waits for the store. */
  const admitting = new Set<ServerResponse>();
  let hasEnded = false;
  const idOf = (req: IncomingMessage) => readId(codec, req);
  const guards = createConnectionGuards(options);
  const logUnread = (req: IncomingMessage, cause: string): void =>
    log(DIRECT_EVENTS.unread, {
      requestId: idOf(req),
      connection: connectionOf(req.socket),
      cause,
    });
  const turns = createConnectionTurns(
    req => {
      const drop = guards.of(req.socket)('request dropped', logUnread);
      drop(req, 'the connection closes');
    },
    (res, err) => fail(res, err, 'request turn'),
  );
  const closes = () => hasEnded || isDraining();
  /** Whether no request that has been read waits behind this one. */
  const isLastRead = ({req: {socket}}: ServerResponse): boolean =>
    !turns.hasWaiting(socket);
  const fail = createRequestErrors({log, metrics, idOf, isLastRead});

  const refuse = (
    res: ServerResponse,
    refusal: Refusal,
    id: unknown,
    arrivedAt: number,
  ) => {
    const {status, message} = refusal;
    log(DIRECT_EVENTS.refused, {
      requestId: String(id),
      status,
      message,
      config: config()?.version,
      ...options.evidenceFields(),
      waitedMs: Math.round(clock.now() - arrivedAt),
    });
    metrics.count('onyxloft_direct_refused_total', {status: String(status)});
    // Closes the connection, so that a retry can reach another entry. After 408
    // and 413 the rest of the body is not read, and nothing behind it.
    const isBodyUnread = status === 408 || status === 413;
    const mayClose = closes() || status === 503;
    const close = isBodyUnread || (mayClose && isLastRead(res));
    sendLocalAnswer(res, {...refusal, close});
  };

  const admit = ({req, res, arrivedAt, limits}: TakenRequest): void => {
    if (hasEnded) {
      refuseEnded(res);
      return;
    }
    // Headers that were sent before the drain announced keep-alive. A request
    // that came later on the kept connection might not be answered completely.
    const onFinished = guards.of(req.socket)('answer finished', () => {
      if (!closes() || turns.hasWaiting(req.socket)) return;
      options.endWhenIdle(req.socket);
    });
    res.once('finish', onFinished);
    const admitOptions = {
      codec,
      random: () => options.random.next(),
      ...options.checks,
      config,
      limitsAreComplete: options.limitsAreComplete,
      limits: () => widestOf(limits, options.limits.current()),
      account: options.held.track(req, res),
      bodies: {
        clock,
        turns: options.turns,
        elapsedMs: () => clock.now() - arrivedAt,
      },
    };
    const endAdmission = () => runTwice(() => admitting.delete(res));
    // Where the body never ends, the admission does not end either.
    res.once('close', guards.of(req.socket)('answer closed', endAdmission));
    admitting.add(res);
    admitRequest(admitOptions, req)
      .finally(endAdmission)
      .then(async result => {
        if ('status' in result && !req.complete) await restOfRead();
        if (res.writableEnded) return;
        if (res.destroyed) throw new Error('the caller left');
        if ('status' in result) refuse(res, result, idOf(req), arrivedAt);
        else options.serve(result, req, res, arrivedAt);
      })
      .catch(
        guardUnsent(fail, res)('admission', err => endFailed(req, res, err)),
      );
  };
  const refuseEnded = (res: ServerResponse): void => {
    log(DIRECT_EVENTS.refused, {
      requestId: idOf(res.req),
      status: 503,
      message: ENDED_MESSAGE,
      config: config()?.version,
    });
    const close = isLastRead(res);
    sendLocalAnswer(res, {status: 503, message: ENDED_MESSAGE, close});
  };
  /** Ends a request that was not sent to a replica. */
  const endFailed = (
    req: IncomingMessage,
    res: ServerResponse,
    err: unknown,
  ): void => {
    if (res.writableEnded) return;
    const hasCallerLeft = req.socket.destroyed || req.errored !== null;
    if (!hasCallerLeft) {
      fail(res, err, 'admission');
      return;
    }
    logUnread(req, String(err));
    res.destroy();
  };

  return {
    take: (req, res) => {
      const arrivedAt = clock.now();
      const limits = options.limits.current();
      const serve = guardUnsent(fail, res)('request turn', () =>
        admit({req, res, arrivedAt, limits}),
      );
      turns.take(req, res, serve);
    },
    fail,
    closesAfter: res => closes() && isLastRead(res),
    refuseAll: () => {
      hasEnded = true;
      for (const res of [...admitting]) {
        if (res.headersSent) continue;
        guardUnsent(fail, res)('end of the entry', refuseEnded)(res);
      }
    },
    openCount: () =>
      admitting.size + turns.servedCount() + turns.waitingCount(),
  };
}
