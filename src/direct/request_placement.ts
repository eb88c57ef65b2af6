/**
 * A place for a request at one engine or at a group: entered in the load book,
 * and with its reservations held.
 */
import type {Cancel} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {chooseCallReplica} from './decide/choose_call_replica.js';
import type {CallCandidate} from './decide/choose_call_replica.js';
import type {EnginePlan} from './decide/choose_engines.js';
import type {EngineCandidate} from './decide/score_engine.js';
import {aimMarginMs} from './decide/waiting_loss.js';
import {answerTokens} from './exchange.js';
import type {Exchange} from './exchange.js';
import type {Group, GroupLoss} from './groups.js';
import {plainCallAssignment} from './load_tracker.js';
import type {OpenAssignment} from './load_tracker.js';
import {callRequestOf} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica, GroupMember} from './types.js';

/** First event of a stream without published figures. */
const UNKNOWN_FIRST_EVENT_MS = 200;
/** Why nothing more will come: sure where a member has started again. */
export type PlacementLoss = 'a member restarted' | GroupLoss;

export interface RequestPlacement {
  readonly replica: DirectReplica;
  readonly helpers: readonly GroupMember[];
  /** Expected time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Something came from the replica. */
  noteActivity(): void;
  /** `onLost` is called when no answer can come from here any more. */
  watchLoss(onLost: (loss: PlacementLoss) => void): Cancel;
  /** The first event came after `tookMs`. */
  firstEventReceived(tookMs: number): void;
  /** The replica refused; `faultAt` is the member at fault, if it said so. */
  refused(faultAt: string | undefined): void;
  close(): void;
}

/** Holds the plan's place; a refusal names the member's address. */
export async function acquirePlacement(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): Promise<RequestPlacement | {readonly refusedBy: string}> {
  const {helpers, partTokens, lead} = plan;
  const works = enterWorks(ctx, exchange, plan);
  const endWorks = () => works.forEach(work => work.end());
  let group: Group | undefined;
  if (partTokens > 0 && helpers.length > 0) {
    const opened = await ctx.groups.open({
      requestId: exchange.id,
      lead: lead.replica,
      helpers: helpers.map(({replica}) => replica),
      tokens: partTokens,
    });
    if ('refusedBy' in opened) {
      endWorks();
      return opened;
    }
    group = opened;
  }
  logPlan(ctx, exchange, plan);
  const addresses = helpers.map(({replica}) => replica.address);
  return {
    replica: lead.replica,
    noteActivity: () => group?.noteActivity(),
    watchLoss: onLost => {
      group?.watchLoss(loss => {
        ctx.health.failed(lead.replica.id);
        onLost(loss);
      });
      return watchRestarts(ctx, [lead, ...helpers], onLost);
    },
    helpers:
      group?.members ??
      addresses.map(address => ({address, reservation: undefined})),
    firstEventMs: plan.firstEventMs,
    firstEventReceived: tookMs => {
      works.forEach(work => work.markPromptRead());
      if (helpers.length > 0) return;
      ctx.health.answered(lead.replica.id, tookMs, plan.firstEventMs);
    },
    refused: faultAt => {
      const helper = helpers.find(it => it.replica.address === faultAt);
      if (helper !== undefined) ctx.health.failed(helper.replica.id);
    },
    close: () => {
      endWorks();
      group?.close();
    },
  };
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

function enterWorks(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): readonly OpenAssignment[] {
  const {facts, route} = exchange;
  const {lead, helpers, partPrefillMs, partTokens} = plan;
  const total = facts.promptTokens + answerTokens(facts);
  const shared = {
    readMs: partPrefillMs,
    expectedMs: plan.firstEventMs,
    aimLeftMs: route.aimMs - exchange.elapsedMs(),
    aimMarginMs: aimMarginMs(route.aimMs),
    pauseAimMs: route.pauseAimMs,
  };
  const main = ctx.book.assign({
    ...shared,
    replicaId: lead.replica.id,
    places: 1,
    tokens: total - partTokens * helpers.length,
    weight: exchange.weight,
  });
  const parts = helpers.map(({replica}) =>
    ctx.book.assign({
      ...shared,
      replicaId: replica.id,
      places: 0,
      tokens: partTokens,
      // Most of a group's delay is seen at each member that is held up.
      weight: exchange.weight / Math.sqrt(1 + helpers.length),
    }),
  );
  return [main, ...parts];
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
    readMsAhead: Math.round(lead.load.readMs),
    ownLoss: Number(plan.ownLoss.toFixed(2)),
    harm: Number((plan.harm / exchange.weight).toFixed(2)),
    waitedMs: Math.round(exchange.elapsedMs()),
    config: exchange.config.version,
  });
}

/** A place at a replica without published figures. */
export function placeOnPlainService(
  ctx: ServeContext,
  exchange: Exchange,
  candidates: readonly CallCandidate[],
): RequestPlacement | undefined {
  const chosen = chooseCallReplica(candidates, callRequestOf(ctx, exchange));
  if (chosen === undefined) return undefined;
  const {replica} = chosen;
  const {pauseAimMs} = exchange.route;
  const work = ctx.book.assign(plainCallAssignment(replica.id, pauseAimMs));
  return {
    replica,
    noteActivity: () => undefined,
    watchLoss: onLost => watchRestarts(ctx, [chosen], onLost),
    helpers: [],
    firstEventMs: UNKNOWN_FIRST_EVENT_MS,
    firstEventReceived: tookMs =>
      ctx.health.answered(replica.id, tookMs, UNKNOWN_FIRST_EVENT_MS),
    refused: () => undefined,
    close: () => work.end(),
  };
}
