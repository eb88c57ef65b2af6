/**
 * The `requests` service. It owns each request from its submission to its
 * single final event, and enforces deadlines, limits and ownership.
 * `execute_request.ts` runs the requests.
 */
import {OnyxError} from '../types/errors.js';
import type {
  FailureDomain,
  NodeId,
  OrganisationId,
  RequestId,
} from '../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {
  MembershipView,
  RequestListener,
  RequestSpec,
  RequestsMessage,
} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import type {RoutingPolicy} from '../policy/routing.js';
import {REQUEST_EVENTS} from '../utils/events.js';
import {modelName} from '../utils/model_name.js';
import {acquireLimit, claimIdempotencyKey} from './admission/preconditions.js';
import {createAnswerLog} from './run/answer_log.js';
import type {FinalEvent} from './run/answer_log.js';
import {cancelAtSides} from './resume/cancel_at_sides.js';
import {executeRequest} from './run/execute_request.js';
import type {ExecuteDeps} from './run/execute_request.js';
import {
  createOpenRequest,
  failedEvent,
  isFinished,
  currentRan,
  mergeRan,
} from './open_request.js';
import type {OpenRequest} from './open_request.js';
import {createRequestTable} from './request_table.js';
import {createResumer} from './resume/resumer.js';
import {createRetryBudget} from '../limits/retry_budget.js';
import {createRouter} from './routing/router.js';
import {DEFAULT_REQUEST_TIMING} from './timing.js';
import type {RequestTiming} from './timing.js';

type CancelMessage = Extract<RequestsMessage, {readonly kind: 'cancel'}>;

/**
 * Interval, in milliseconds, at which this service subscribes to the membership
 * again. A restarted membership service has lost its subscribers.
 */
const RESUBSCRIBE_INTERVAL_MS = 5_000;
/**
 * Retry time, in milliseconds, given to callers refused while this entry
 * drains.
 */
const DRAIN_RETRY_AFTER_MS = 200;
/**
 * Prompt tokens per prefix hash. Prompts are hashed in blocks of 1 KiB, which
 * is about 256 tokens of text.
 */
const DEFAULT_PREFIX_BLOCK_TOKENS = 256;

export interface RequestsOptions {
  readonly transport: Transport;
  readonly node: NodeId;
  readonly failureDomain: FailureDomain;
  /** Returns the routing policy of the name given in the configuration. */
  readonly routingPolicy: (name: string) => RoutingPolicy;
  /** @default DEFAULT_REQUEST_TIMING */
  readonly timing?: Partial<RequestTiming>;
  /** Prompt tokens covered by one prefix hash. @default 256 */
  readonly prefixBlockTokens?: number;
}

export function createRequestsService(
  options: RequestsOptions,
): ServiceSpec<'requests'> {
  return {name: 'requests', start: ctx => startRequests(ctx, options)};
}

function startRequests(
  ctx: ServiceContext<'requests'>,
  options: RequestsOptions,
): void {
  const timing = {...DEFAULT_REQUEST_TIMING, ...options.timing};
  const table = createRequestTable(ctx.clock, timing.endedRetentionMs);
  /** Functions to call when a request ends. */
  const releaseCallbacks = new Map<OpenRequest, Array<() => void>>();
  const drainReplies: Array<() => void> = [];
  /**
   * Resumes that are still locating their run. Their requests are not in the
   * table yet.
   */
  let resumesInProgress = 0;
  let draining = false;
  let view: MembershipView = {replicas: [], allSides: [], entries: []};

  const router = createRouter({
    runtime: ctx,
    failureDomain: options.failureDomain,
    routingPolicy: options.routingPolicy,
    view: () => view,
    prefixBlockTokens: options.prefixBlockTokens ?? DEFAULT_PREFIX_BLOCK_TOKENS,
  });

  const isIdle = () => table.openCount() === 0 && resumesInProgress === 0;

  const notifyIfDrained = () => {
    if (!draining || !isIdle()) return;
    for (const reply of drainReplies.splice(0)) reply();
  };

  const finish = (open: OpenRequest, event: FinalEvent) => {
    const isFirst = open.answerLog.finish(event);
    ctx.invariant(isFirst, 'one-final-event', {requestId: open.id});
    if (!isFirst) return;
    open.stopCurrentAttempt?.();
    for (const release of releaseCallbacks.get(open) ?? []) release();
    releaseCallbacks.delete(open);
    table.markEnded(open);
    logOutcome(ctx, open, event);
    ctx.metrics.gauge('onyxloft_owned_requests', {}, table.openCount());
    notifyIfDrained();
  };

  const deps: ExecuteDeps = {
    ...ctx,
    transport: options.transport,
    timing,
    node: options.node,
    router,
    retryBudget: createRetryBudget(),
    sendToMembership: message => ctx.send('membership', message),
    finish,
  };

  const addRequest = (
    request: OpenRequest,
    release: readonly (() => void)[],
  ) => {
    table.add(request);
    releaseCallbacks.set(request, [...release]);
    ctx.metrics.gauge('onyxloft_owned_requests', {}, table.openCount());
  };

  const resumer = createResumer({deps, table, addRequest, view: () => view});

  const submit = (spec: RequestSpec, listener: RequestListener) => {
    const answerLog = createAnswerLog(spec.id, 0, ctx.invariant);
    const request = createOpenRequest(
      {
        id: spec.id,
        organisation: spec.organisation,
        kind: spec.kind,
        model: modelName(spec),
        promptTokens: spec.promptTokens,
      },
      answerLog,
    );
    answerLog.subscribe(0, listener, spec.streamed);
    if (draining) {
      answerLog.finish(
        failedEvent(request, {
          code: 'draining',
          step: 'validate',
          message: 'this entry is shutting down; send the request to another',
          retryAfterMs: DRAIN_RETRY_AFTER_MS,
        }),
      );
      return;
    }
    addRequest(request, [
      // The caller gets its final event at the deadline, whatever the request
      // is still waiting for.
      ctx.clock.after(spec.deadlineAt - ctx.clock.now(), () =>
        onDeadline(request),
      ),
    ]);
    failOnError(request, admitAndExecute(request, spec));
  };

  const onDeadline = (request: OpenRequest) => {
    if (isFinished(request)) return;
    finish(
      request,
      failedEvent(request, {
        code: 'deadline-exceeded',
        step: request.side === '' ? 'route' : 'run',
        peer: request.side,
        message: 'the time limit passed before the answer was whole',
      }),
    );
  };

  const admitAndExecute = async (request: OpenRequest, spec: RequestSpec) => {
    const acquired = await acquireLimit(ctx, spec);
    if (acquired.isLeft()) {
      acquired.ifLeft(err => failWith(request, err));
      return;
    }
    const release = () =>
      ctx.send('limits', {kind: 'release', organisation: spec.organisation});
    if (isFinished(request)) {
      release();
      return;
    }
    releaseCallbacks.get(request)?.push(release);
    const claim = await claimIdempotencyKey(ctx, spec);
    if (isFinished(request)) return;
    await claim.caseOf<Promise<void>>({
      Left: err => Promise.resolve(failWith(request, err)),
      Right: outcome =>
        outcome.kind === 'ours'
          ? executeRequest(deps, request, spec)
          : resumer.followEarlierRequest(request, outcome.requestId),
    });
  };

  const failWith = (request: OpenRequest, err: Error) => {
    if (!isFinished(request)) finish(request, toFinalEvent(request, err));
  };

  /**
   * Fails the request when its handling throws. Without this, an internal error
   * would leave a caller without a final event.
   */
  const failOnError = (request: OpenRequest, work: Promise<void>) => {
    work.catch(err => {
      failWith(request, err instanceof Error ? err : new Error(String(err)));
    });
  };

  const cancel = (id: RequestId, organisation: OrganisationId): boolean => {
    const request = table.find(id, organisation);
    if (request === undefined || isFinished(request)) return false;
    finish(
      request,
      failedEvent(request, {
        code: 'cancelled',
        step: 'run',
        peer: request.side,
        message: 'cancelled by the caller',
      }),
    );
    return true;
  };

  const cancelElsewhere = async (
    {id, organisation}: CancelMessage,
    reply: (found: boolean) => void,
  ) => {
    const sides = view.allSides;
    reply(await cancelAtSides(deps, {id, organisation, sides}));
  };

  const resume = (message: Extract<RequestsMessage, {kind: 'resume'}>) => {
    // Keeps the drain from completing while a run is being located. Otherwise a
    // caller that came to resume its answer would be cut off.
    resumesInProgress++;
    void resumer.resume(message).finally(() => {
      resumesInProgress--;
      notifyIfDrained();
    });
  };

  const onMessage = (message: RequestsMessage) => {
    switch (message.kind) {
      case 'submit':
        submit(message.spec, message.listener);
        return;
      case 'cancel': {
        const found = cancel(message.id, message.organisation);
        if (found || message.reply === undefined) message.reply?.(found);
        else void cancelElsewhere(message, message.reply);
        return;
      }
      case 'resume':
        resume(message);
        return;
      case 'state':
        void resumer.reportState(
          message.id,
          message.organisation,
          message.reply,
        );
        return;
      case 'local-state':
        message.reply(resumer.localState(message.id, message.organisation));
        return;
      case 'explain':
        message.reply(router.explain(message.id));
        return;
      case 'drain':
        draining = true;
        if (isIdle()) message.reply();
        else drainReplies.push(message.reply);
        return;
      case 'count':
        message.reply(table.openCount());
        return;
    }
  };

  const subscribe = () => ctx.send('membership', {kind: 'subscribe', listener});
  const listener = (next: MembershipView) => {
    view = next;
  };
  subscribe();
  ctx.own(ctx.clock.every(RESUBSCRIBE_INTERVAL_MS, subscribe));
  ctx.own(() => {
    for (const request of table.openRequests()) {
      failWith(request, new Error('the request service ended'));
    }
  });
  void ctx.mailbox.observe(onMessage);
}

/** Converts an error to the final event of a request. */
function toFinalEvent(request: OpenRequest, err: Error): FinalEvent {
  if (!(err instanceof OnyxError)) {
    return failedEvent(request, {
      code: 'internal',
      step: 'run',
      peer: request.side,
      message: err.message,
    });
  }
  const {code, step, peer, message, retryAfterMs} = err;
  const ran = mergeRan(err.ran, currentRan(request));
  return failedEvent(request, {code, step, peer, message, ran, retryAfterMs});
}

/** Logs and counts the outcome of a request. */
function logOutcome(
  ctx: ServiceContext<'requests'>,
  request: OpenRequest,
  event: FinalEvent,
): void {
  const outcome = event.kind === 'end' ? 'ended' : event.error.code;
  ctx.metrics.count('onyxloft_request_outcomes_total', {outcome});
  if (event.kind === 'end') {
    ctx.log(REQUEST_EVENTS.ended, {
      requestId: request.id,
      side: request.side,
      dispatchId: request.dispatchId,
      chunks: event.count,
      tokens: event.tokens,
    });
    return;
  }
  ctx.log(REQUEST_EVENTS.failed, {
    requestId: request.id,
    side: request.side,
    dispatchId: request.dispatchId,
    code: event.error.code,
    step: event.error.step,
    ran: event.error.ran,
    cause: event.error.message,
  });
}
