/**
 * The `runs` service of a side: the only owner of an upstream's capacity and of
 * the runs on it. It handles one message at a time. Timers, streams and
 * channels also report through its mailbox, so no state changes concurrently.
 */
import {followConfig} from '../config/follow_config.js';
import type {ServiceContext, ServiceSpec} from '../types/kernel.js';
import type {SideHeartbeatReq} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import {createAbandonHandler} from './abandon.js';
import {
  heartbeatReplyOf,
  locateRun,
  loadOf,
  statusOf,
} from './state_reports.js';
import {createAudit} from './audit.js';
import {createChannels} from './channels.js';
import type {RunsOptions, SideCore} from './side_core.js';
import {createFairShares} from './fair_shares.js';
import {createFrameHandler} from './frame_handler.js';
import {DEFAULT_RATE_PRIORS, createLearnedRates} from './learned_rates.js';
import {createOutputLengths} from './output_lengths.js';
import {createLifecycle, stopListening} from './lifecycle.js';
import {createMemoryLedger} from './memory_ledger.js';
import type {RunsEvent, RunsMessage, RunsRequest} from './messages.js';
import {createOffers} from './offers.js';
import {createOrders} from './orders.js';
import {createRunOwners} from './run_owners.js';
import type {Run} from './run.js';
import {createRunTable} from './run_table.js';
import {createScheduler} from './scheduler.js';
import {DEFAULT_SIDE_BOUNDS, DEFAULT_SIDE_TIMING} from './timing.js';
import {createTombstones} from './tombstones.js';
import {createUpstreamRunner} from './upstream_runner.js';
import {createUpstreamPoller} from './upstream_poller.js';

/** A gap of more than this many heartbeat periods means a frozen process. */
const FREEZE_PERIODS = 3;

/** Declares the `runs` service. */
export function createRunsService(options: RunsOptions): ServiceSpec<'runs'> {
  let startCount = 0;
  return {
    name: 'runs',
    start: ctx => {
      // A restart after a failure loses the tombstones, so the service must
      // have a new incarnation for its peers.
      const suffix = startCount === 0 ? '' : `-${startCount}`;
      startCount += 1;
      startRunsService(createCore(ctx, options, options.incarnation + suffix));
    },
  };
}

function createCore(
  ctx: ServiceContext<'runs'>,
  options: RunsOptions,
  incarnation: string,
): SideCore {
  const timing = {...DEFAULT_SIDE_TIMING, ...options.timing};
  const bounds = {...DEFAULT_SIDE_BOUNDS, ...options.bounds};
  const isEngine = options.upstream.kind === 'engine';
  return {
    ctx,
    options,
    incarnation,
    timing,
    bounds,
    table: createRunTable(),
    tombstones: createTombstones(timing.tombstoneMs, bounds.maxTombstones),
    memory: createMemoryLedger(ctx.invariant),
    rates: createLearnedRates({...DEFAULT_RATE_PRIORS, ...options.priors}),
    lengths: createOutputLengths(),
    upstream: {
      lastReportAt: undefined,
      reportAgeMs: 0,
      models: [],
      reconciled: !isEngine,
    },
    config: undefined,
    leaving: false,
    fence: 0,
    fenceKnown: false,
    queueChanged: false,
  };
}

/** Creates the parts of the service and connects them to its mailbox. */
function startRunsService(core: SideCore): void {
  const {ctx, timing, table} = core;
  const shares = createFairShares();
  const channels = createChannels(core);
  const lifecycle = createLifecycle(core, channels);
  const runner = createUpstreamRunner(core, channels, lifecycle);
  const scheduler = createScheduler(core, shares, lifecycle, runner);
  const runOwners = createRunOwners(core, channels, lifecycle);
  const audit = createAudit(core, lifecycle);
  const orders = createOrders(core);
  const upstreamPoller = createUpstreamPoller(core);
  const handleAbandon = createAbandonHandler(core, lifecycle);
  const drainReplies: Array<() => void> = [];
  let lastTickAt = ctx.clock.now();

  const scheduleTimer = (
    target: Run,
    timer: (RunsEvent & {kind: 'due'})['timer'],
    afterMs: number,
  ) => {
    const dispatchId = target.id;
    target.timers.push(
      ctx.clock.after(afterMs, () =>
        ctx.send('runs', {kind: 'due', dispatchId, timer}),
      ),
    );
  };

  const watchDeadline = (target: Run) =>
    scheduleTimer(target, 'deadline', target.deadlineAt - ctx.clock.now());

  const offers = createOffers(core, shares, target => {
    scheduleTimer(target, 'lapse', timing.offerLapseMs);
    watchDeadline(target);
  });
  const frameHandler = createFrameHandler(core, channels, lifecycle, {
    watchDeadline,
    startReserved: scheduler.startReserved,
  });

  const lapseOffer = (target: Run) => {
    if (target.state !== 'offered') return;
    ctx.log(SIDE_EVENTS.offerLapsed, {dispatchId: target.id});
    lifecycle.cancel(target, 'lapsed', 'no go came for the accepted offer');
  };

  const handleDeadline = (target: Run) => {
    if (ctx.clock.now() < target.deadlineAt) {
      watchDeadline(target);
      return;
    }
    lifecycle.fail(target, {
      code: 'deadline-exceeded',
      message: 'the time limit passed',
    });
    if (target.lateCall) scheduleTimer(target, 'late-call', timing.lateCallMs);
  };

  /** Frees the slot of a late call whose service never replied. */
  const releaseLateCall = (target: Run) => {
    if (!target.lateCall) return;
    stopListening(target);
    target.lateCall = false;
    core.queueChanged = true;
  };

  const handleTimer = (message: RunsEvent & {kind: 'due'}) => {
    const target = table.get(message.dispatchId);
    if (target === undefined) return;
    switch (message.timer) {
      case 'lapse':
        return lapseOffer(target);
      case 'deadline':
        return handleDeadline(target);
      case 'prompt-gap':
        return frameHandler.promptGapExpired(target);
      case 'late-call':
        return releaseLateCall(target);
    }
  };

  /** Resets all silence measurements after a freeze of this process. */
  const detectFreeze = () => {
    const now = ctx.clock.now();
    const sinceLastTickMs = now - lastTickAt;
    lastTickAt = now;
    if (sinceLastTickMs <= FREEZE_PERIODS * timing.heartbeatMs) return;
    // A frozen process receives nothing. Counting that time as silence of the
    // entries would cancel runs whose owners are healthy.
    ctx.log(SIDE_EVENTS.sideFrozen, {ms: Math.round(sinceLastTickMs)});
    channels.resetSilence();
    runOwners.resetSilence();
  };

  const updateGauges = () => {
    const load = loadOf(core);
    ctx.metrics.gauge('onyxloft_side_queue_length', {}, load.queued);
    ctx.metrics.gauge('onyxloft_side_running', {}, load.running);
    ctx.metrics.gauge(
      'onyxloft_side_reserved_tokens',
      {},
      core.memory.reserved(),
    );
  };

  const handleTick = () => {
    detectFreeze();
    for (const id of channels.sweep()) {
      ctx.log(SIDE_EVENTS.channelSilent, {channel: id});
      frameHandler.channelClosed(id, false);
    }
    runOwners.sweep();
    runner.sweep();
    // Ageing and deadlines change the order of the queue without any event.
    core.queueChanged = true;
    updateGauges();
  };

  const handleHeartbeat = (req: SideHeartbeatReq) => {
    runOwners.renew(req.entry, req.owned);
    orders.observeFence(req.fence);
    if (req.configNumber > (core.config?.number ?? 0)) {
      ctx.send('config', {
        kind: 'peer-number',
        peer: req.entryAddress,
        number: req.configNumber,
      });
    }
    return heartbeatReplyOf(core);
  };

  const startDrain = (reply: () => void) => {
    if (!core.leaving) ctx.log(SIDE_EVENTS.sideLeaving, {});
    core.leaving = true;
    drainReplies.push(reply);
  };

  const handleRequest = (message: RunsRequest) => {
    switch (message.kind) {
      case 'offer':
        return message.reply(offers.offer(message.req));
      case 'abandon':
        return message.reply(handleAbandon(message.req));
      case 'locate':
        return message.reply(locateRun(core, message.req));
      case 'heartbeat':
        return message.reply(handleHeartbeat(message.req));
      case 'order':
        return orders.submit(message.req, message.reply);
      case 'channel':
        return channels.open(message.channel);
      case 'config':
        if (message.config.number <= (core.config?.number ?? 0)) return;
        core.config = message.config;
        core.queueChanged = true;
        return;
      case 'drain':
        return startDrain(message.reply);
      case 'status':
        return message.reply(statusOf(core, channels.count()));
    }
  };

  const handleEvent = (message: RunsEvent) => {
    switch (message.kind) {
      case 'frame':
        return frameHandler.handle(message.channelId, message.frame);
      case 'channel-closed':
        return frameHandler.channelClosed(message.channelId, message.clean);
      case 'channel-ready': {
        const id = channels.markReady(message.channelId);
        const target = id === undefined ? undefined : table.get(id);
        if (target !== undefined) channels.sendPending(target);
        return;
      }
      case 'upstream': {
        const target = table.get(message.dispatchId);
        if (target === undefined) return;
        return runner.handle(target, message.streamGeneration, message.event);
      }
      case 'resume-due': {
        const target = table.get(message.dispatchId);
        if (target !== undefined)
          runner.resume(target, message.streamGeneration);
        return;
      }
      case 'due':
        return handleTimer(message);
      case 'tick':
        return handleTick();
      case 'audit':
        return audit.requestList();
      case 'listed':
        return audit.handleList(message.sentAt, message.outcome);
      case 'freed':
        return audit.handleFreed(message.dispatchId, message.outcome);
      case 'report':
        if (!core.upstream.reconciled) audit.requestList();
        return upstreamPoller.requestReport();
      case 'reported':
        return upstreamPoller.handleReport(message.outcome);
      case 'fence-due':
        return orders.requestFence();
      case 'fence-read':
        return orders.handleFence(message.outcome);
      case 'order-done':
        return orders.handleOutcome(message.orderId, message.outcome);
    }
  };

  /** Replies to pending drains once no run is awaited or in a slot. */
  const replyToDrains = () => {
    if (drainReplies.length === 0 || table.all().some(runOwners.isAwaited))
      return;
    if (table.runsInSlots().length > 0) return;
    ctx.log(SIDE_EVENTS.sideDrained, {});
    for (const reply of drainReplies.splice(0)) reply();
  };

  const handle = (message: RunsMessage) => {
    if (isRequest(message)) handleRequest(message);
    else handleEvent(message);
    if (core.queueChanged) {
      core.queueChanged = false;
      scheduler.startEligible();
    }
    replyToDrains();
  };

  const periodically = (ms: number, message: RunsEvent) =>
    ctx.own(ctx.clock.every(ms, () => ctx.send('runs', message)));

  ctx.own(() => channels.closeAll());
  ctx.own(() => {
    for (const target of table.all()) {
      stopListening(target);
      for (const cancel of target.timers.splice(0)) cancel();
    }
  });
  void ctx.mailbox.observe(handle);
  periodically(timing.heartbeatMs, {kind: 'tick'});
  periodically(timing.auditMs, {kind: 'audit'});
  periodically(timing.reportMs, {kind: 'report'});
  ctx.send('runs', {kind: 'report'});
  ctx.send('runs', {kind: 'fence-due'});
  followConfig(ctx, config => ctx.send('runs', {kind: 'config', config}));
}

/** Distinguishes requests from events by their kind. */
const REQUEST_KINDS: ReadonlySet<string> = new Set<RunsRequest['kind']>([
  'offer',
  'abandon',
  'locate',
  'heartbeat',
  'order',
  'channel',
  'config',
  'drain',
  'status',
]);

function isRequest(message: RunsMessage): message is RunsRequest {
  return REQUEST_KINDS.has(message.kind);
}
