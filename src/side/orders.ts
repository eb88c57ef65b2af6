/**
 * Forwards the placer's orders to the engine. Some engines ignore fencing
 * numbers. The side is the only sender of orders to its engine, so it enforces
 * fencing itself: it forwards one order at a time and refuses each order whose
 * number is below the highest seen. After a start it first reads the number
 * from the lease, so that a replaced placer cannot send orders through it.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {OrderReq, OrderRes} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import {isFinished} from './run.js';

/**
 * Outcomes kept for duplicates of an order; beyond this bound the oldest is
 * dropped.
 */
const MAX_REMEMBERED_ORDERS = 256;

/** Replies to the placer. */
type Reply = (res: OrderRes) => void;

/** An order without a reply yet. */
interface PendingOrder {
  readonly req: OrderReq;
  readonly reply: Reply;
}

/** Handles the placer's orders. */
export interface Orders {
  /** Refuses, queues or forwards an order. */
  submit(req: OrderReq, reply: Reply): void;
  /** Handles the engine's response to the order in flight. */
  handleOutcome(orderId: string, outcome: Either<OnyxError, void>): void;
  /** Raises the highest fencing number seen. */
  observeFence(fence: number): void;
  /** Handles the number read from the lease; retries later after an error. */
  handleFence(outcome: Either<OnyxError, number>): void;
  /** Reads the highest fencing number, unless it is known already. */
  requestFence(): void;
}

/** Creates the order handling of one side. */
export function createOrders(core: SideCore): Orders {
  const {ctx, options, table, timing} = core;
  const {upstream} = options;
  const outcomes = new Map<string, OrderRes>();
  const waiting: PendingOrder[] = [];
  let inFlight: PendingOrder | undefined;

  const response = (state: OrderRes['state'], reason: string): OrderRes => ({
    state,
    reason,
    fence: core.fence,
  });

  const observeFence = (fence: number) => {
    core.fence = Math.max(core.fence, fence);
  };

  const isModelInUse = (req: OrderReq) =>
    req.action === 'unload' &&
    table.all().some(run => !isFinished(run) && run.offer.model === req.model);

  const refusal = (req: OrderReq): string | undefined => {
    if (upstream.kind !== 'engine') return 'not-an-engine';
    if (!core.fenceKnown) return 'fence-unknown';
    if (req.fence < core.fence) return 'stale-fence';
    if (isModelInUse(req)) return 'in-use';
    return undefined;
  };

  const refuse = ({req, reply}: PendingOrder, reason: string) => {
    ctx.log(SIDE_EVENTS.orderRefused, {
      orderId: req.orderId,
      reason,
      fence: req.fence,
      highestFence: core.fence,
    });
    reply(response('refused', reason));
  };

  const remember = (orderId: string, res: OrderRes) => {
    outcomes.set(orderId, res);
    if (outcomes.size <= MAX_REMEMBERED_ORDERS) return;
    const [oldest] = outcomes.keys();
    if (oldest !== undefined) outcomes.delete(oldest);
  };

  const hideUnloadedModels = (req: OrderReq) => {
    if (req.action !== 'unload') return;
    // The engine's report lags. Until it arrives, offers for the model that is
    // being unloaded must already be refused.
    core.upstream.models = core.upstream.models.filter(
      state =>
        state.model !== req.model ||
        (req.version !== '' && state.version !== req.version),
    );
  };

  const forward = (pending: PendingOrder) => {
    const {req} = pending;
    if (upstream.kind !== 'engine') return;
    inFlight = pending;
    hideUnloadedModels(req);
    ctx.log(SIDE_EVENTS.orderPassed, {
      orderId: req.orderId,
      action: req.action,
      model: req.model,
      version: req.version,
      fence: req.fence,
    });
    upstream.client
      .order(req)
      .then(outcome =>
        ctx.send('runs', {kind: 'order-done', orderId: req.orderId, outcome}),
      )
      .catch(cause => ctx.fail(cause));
  };

  /**
   * Forwards the next waiting order. Each one is checked again, since the
   * highest fencing number may have risen while it waited.
   */
  const forwardNext = () => {
    while (inFlight === undefined) {
      const next = waiting.shift();
      if (next === undefined) return;
      const reason = refusal(next.req);
      if (reason === undefined) forward(next);
      else refuse(next, reason);
    }
  };

  const isPending = (orderId: string) =>
    inFlight?.req.orderId === orderId ||
    waiting.some(pending => pending.req.orderId === orderId);

  const settle = (pending: PendingOrder, outcome: Either<OnyxError, void>) => {
    const {req, reply} = pending;
    outcome
      .ifLeft(err => {
        ctx.log(SIDE_EVENTS.orderFailed, {
          orderId: req.orderId,
          code: err.code,
          cause: err.message,
        });
        const reason = err.code === 'stale' ? 'stale-fence' : err.code;
        reply(response('refused', reason));
      })
      .ifRight(() => {
        const res = response(req.action === 'load' ? 'started' : 'done', '');
        remember(req.orderId, res);
        reply(res);
      });
  };

  return {
    submit: (req, reply) => {
      const pending = {req, reply};
      const reason = refusal(req);
      const isFinal = reason !== undefined && reason !== 'in-use';
      if (isFinal) return refuse(pending, reason);
      observeFence(req.fence);
      const previous = outcomes.get(req.orderId);
      if (previous !== undefined)
        return reply({...previous, fence: core.fence});
      if (isPending(req.orderId)) return reply(response('started', ''));
      waiting.push(pending);
      forwardNext();
    },
    handleOutcome: (orderId, outcome) => {
      const pending = inFlight;
      if (pending?.req.orderId !== orderId) return;
      inFlight = undefined;
      settle(pending, outcome);
      forwardNext();
    },
    observeFence,
    requestFence: () => {
      if (upstream.kind !== 'engine' || core.fenceKnown) return;
      options
        .readFence()
        .then(outcome => ctx.send('runs', {kind: 'fence-read', outcome}))
        .catch(cause => ctx.fail(cause));
    },
    handleFence: outcome => {
      outcome
        .ifRight(fence => {
          core.fenceKnown = true;
          observeFence(fence);
          ctx.log(SIDE_EVENTS.fenceRead, {fence: core.fence});
        })
        .ifLeft(() => {
          const cancelRetry = ctx.clock.after(timing.fenceRetryMs, () => {
            ctx.send('runs', {kind: 'fence-due'});
          });
          ctx.own(cancelRetry);
        });
    },
  };
}
