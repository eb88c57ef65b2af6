/**
 * The placement of a request at one engine or at a group of engines. While it
 * is open, its load counts at each replica and the reservations of a group are
 * held.
 */
import type {Cancel} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {EnginePlan} from './decide/choose_engines.js';
import type {EngineCandidate} from './decide/score_engine.js';
import {loggedParts} from './crashes/request_digest.js';
import {aimMarginMs} from './decide/waiting_loss.js';
import {answerTokens} from './exchange.js';
import type {Exchange} from './exchange.js';
import type {GroupLoss} from './decide/judge_memory.js';
import type {Group, GroupRefusal} from './groups.js';
import {plainCallAssignment} from './load_tracker.js';
import type {OpenAssignment} from './load_tracker.js';
import {passedOver} from './permitted_choice.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica, GroupMember} from './types.js';

/** Expected time to the first event where no figures are published. */
const DEFAULT_FIRST_EVENT_MS = 200;
/**
 * Why no answer is expected from a placement any more. A restart is certain,
 * since the restarted replica has lost the request; the other reasons are
 * inferred.
 */
export type PlacementLoss = 'a member restarted' | GroupLoss;

export interface RequestPlacement {
  /** The replica that gets the request; the lead of a group. */
  readonly replica: DirectReplica;
  /** Ids of the lead and of the helpers. */
  readonly memberIds: readonly string[];
  /** The other members of a group; empty at one engine. */
  readonly helpers: readonly GroupMember[];
  /** Expected time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Records that the replica sent data just now. */
  noteActivity(): void;
  /** Calls `onLost` when no answer is expected any more. */
  watchLoss(onLost: (loss: PlacementLoss) => void): Cancel;
  /** Records that the first event came after `tookMs`. */
  onFirstEvent(tookMs: number): void;
  /**
   * Records that the replica refused the request. `faultAt` is the address of
   * the member at fault, if the replica named one.
   */
  refused(faultAt: string | undefined): void;
  /** Removes the load, while the reservations are kept. */
  endLoad(): void;
  /** Removes the load and releases the reservations. */
  close(): void;
}

/**
 * Counts the plan's load and reserves the memory that it needs. A refusal names
 * the address of the member that refused.
 */
export async function acquirePlacement(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): Promise<RequestPlacement | GroupRefusal> {
  const {helpers, partTokens, lead} = plan;
  const assignments = assignPlan(ctx, exchange, plan);
  const endAssignments = () =>
    assignments.forEach(assignment => assignment.end());
  let group: Group | undefined;
  if (partTokens > 0 && helpers.length > 0) {
    const opened = await ctx.groups.open({
      requestId: exchange.id,
      lead: lead.replica,
      helpers: helpers.map(({replica}) => replica),
      tokens: partTokens,
      mayRepeat: ({id}) => !ctx.gate.isEvacuated(id),
    });
    if ('refusedBy' in opened) {
      endAssignments();
      noteUnreachable(ctx, plan, opened);
      return opened;
    }
    group = opened;
  }
  logPlan(ctx, exchange, plan);
  const addresses = helpers.map(({replica}) => replica.address);
  return {
    replica: lead.replica,
    memberIds: [lead, ...helpers].map(it => it.replica.id),
    noteActivity: () => group?.noteActivity(),
    watchLoss: onLost => {
      const onGroupLost = exchange.guard('group lost', (loss: GroupLoss) => {
        ctx.health.failed(lead.replica.id);
        onLost(loss);
      });
      group?.watchLoss(onGroupLost);
      return watchRestarts(ctx, [lead, ...helpers], onLost);
    },
    helpers:
      group?.members ??
      addresses.map(address => ({address, reservation: undefined})),
    firstEventMs: plan.firstEventMs,
    onFirstEvent: tookMs => {
      assignments.forEach(assignment => assignment.markPrefilled());
      if (helpers.length > 0) return;
      ctx.health.answered(lead.replica.id, tookMs, plan.firstEventMs);
    },
    refused: faultAt => {
      const helper = helpers.find(it => it.replica.address === faultAt);
      if (helper !== undefined) ctx.health.failed(helper.replica.id);
    },
    endLoad: endAssignments,
    close: () => {
      endAssignments();
      group?.close();
    },
  };
}

/**
 * Without this report, a group would try one dead replica after another until
 * the store removes their records.
 */
function noteUnreachable(
  {health}: ServeContext,
  {helpers}: EnginePlan,
  {refusedBy, isUnreachable}: GroupRefusal,
): void {
  const helper = helpers.find(it => it.replica.address === refusedBy);
  if (isUnreachable && helper !== undefined) health.failed(helper.replica.id);
}

function watchRestarts(
  ctx: ServeContext,
  members: readonly Pick<EngineCandidate, 'replica'>[],
  onLost: (loss: PlacementLoss) => void,
): Cancel {
  const cancels = members.map(({replica}) =>
    ctx.losses.watch(replica.id, () => onLost('a member restarted')),
  );
  return () => cancels.forEach(cancel => cancel());
}

function assignPlan(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): readonly OpenAssignment[] {
  const {facts, route} = exchange;
  const {lead, helpers, partPrefillMs, partTokens} = plan;
  const totalTokens = facts.promptTokens + answerTokens(facts);
  const shared = {
    prefillMs: partPrefillMs,
    expectedMs: plan.firstEventMs,
    aimLeftMs: route.aimMs - exchange.elapsedMs(),
    aimMarginMs: aimMarginMs(route.aimMs),
    pauseAimMs: route.pauseAimMs,
  };
  const leadAssignment = ctx.loadTracker.assign({
    ...shared,
    replicaId: lead.replica.id,
    failureDomain: lead.replica.failureDomain,
    places: 1,
    tokens: totalTokens - partTokens * helpers.length,
    weight: exchange.weight,
  });
  const helperAssignments = helpers.map(({replica}) =>
    ctx.loadTracker.assign({
      ...shared,
      replicaId: replica.id,
      failureDomain: replica.failureDomain,
      places: 0,
      tokens: partTokens,
      // A delay at any one member delays most of the group.
      weight: exchange.weight / Math.sqrt(1 + helpers.length),
    }),
  );
  return [leadAssignment, ...helperAssignments];
}

function logPlan(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): void {
  const {lead, helpers} = plan;
  ctx.log(DIRECT_EVENTS.dispatched, {
    requestId: exchange.id,
    replica: lead.replica.id,
    helpers: helpers.map(({replica}) => replica.id),
    promptTokens: exchange.facts.promptTokens,
    partTokens: plan.partTokens,
    firstEventMs: Math.round(plan.firstEventMs),
    running: lead.load.running,
    limit: ctx.limits.limitOf(lead.replica.id),
    ...ctx.gate.dispatchNotices(lead.replica.id),
    passedOver: passedOver(ctx, exchange, lead.replica.id),
    readMsAhead: Math.round(lead.load.readMs),
    ownLoss: Number(plan.ownLoss.toFixed(2)),
    harm: Number((plan.harm / exchange.weight).toFixed(2)),
    waitedMs: Math.round(exchange.elapsedMs()),
    config: exchange.config.version,
    parts: loggedParts(exchange.partDigests()),
  });
}

/** Places a request at a replica of a service without published figures. */
export function placeOnPlainService(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
): RequestPlacement {
  const {pauseAimMs} = exchange.route;
  const assignment = ctx.loadTracker.assign(
    plainCallAssignment(replica.id, pauseAimMs),
  );
  return {
    replica,
    memberIds: [replica.id],
    noteActivity: () => undefined,
    watchLoss: onLost => watchRestarts(ctx, [{replica}], onLost),
    helpers: [],
    firstEventMs: DEFAULT_FIRST_EVENT_MS,
    onFirstEvent: tookMs =>
      ctx.health.answered(replica.id, tookMs, DEFAULT_FIRST_EVENT_MS),
    refused: () => undefined,
    endLoad: () => assignment.end(),
    close: () => assignment.end(),
  };
}
