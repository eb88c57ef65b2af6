/**
 * Orders of the placer to the engine. Some engines ignore fencing numbers, so
 * the side, the only one that gives its engine orders, fences them itself: one
 * at a time, none with a number below the highest seen. A side that was just
 * started has seen none, so it reads the lease first; otherwise a placer long
 * replaced could order through it.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {OrderReq, OrderRes} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import {isFinished} from './run.js';

const MAX_REMEMBERED_ORDERS = 256;

type Reply = (res: OrderRes) => void;

interface PendingOrder {
  readonly req: OrderReq;
  readonly reply: Reply;
}

export interface Orders {
  submit(req: OrderReq, reply: Reply): void;
  handleOutcome(orderId: string, outcome: Either<OnyxError, void>): void;
  observeFence(fence: number): void;
  handleFence(outcome: Either<OnyxError, number>): void;
  /** Asks for the highest fencing number. */
  requestFence(): void;
}

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
    // The engine's report lags: no offer is taken on what is being unloaded.
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

  /** The number may have grown while an order waited: it is looked at again. */
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
