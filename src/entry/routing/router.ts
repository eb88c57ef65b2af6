/**
 * Selects the sides to which a request is offered: replicas eligible by model
 * or pool, ranked by the routing policy. It keeps recent decisions for
 * `explain`.
 */
import type {
  Address,
  DispatchId,
  FailureDomain,
  Incarnation,
  RequestId,
} from '../../types/ids.js';
import type {LogFields, Runtime} from '../../types/runtime.js';
import type {
  MembershipView,
  Replica,
  RequestSpec,
  RoutingCandidate,
  RoutingDecision,
} from '../../types/services.js';
import type {RankedTarget, RoutingPolicy} from '../../policy/routing.js';
import {ROUTING_EVENTS} from '../../utils/events.js';
import type {GroupPart} from '../groups/group_plan.js';
import {createAssignments} from './assignments.js';
import {createPrefixHistory} from './prefix_history.js';

/**
 * Maximum number of requests whose decisions are kept for `explain`. Beyond it,
 * the oldest are removed.
 */
const MAX_EXPLAINED_REQUESTS = 1_024;
/** Maximum number of candidates shown in a decision, best first. */
const MAX_SHOWN_CANDIDATES = 8;

/** Ranks replicas for requests and tracks what was sent to them. */
export interface Router {
  /** Eligible replicas, best first, without the incarnations in `except`. */
  rank(
    spec: RequestSpec,
    except: ReadonlySet<Incarnation>,
  ): readonly RankedTarget[];
  /**
   * True when a replica is not live, has no known incarnation or, for a
   * completion, has not reported its memory. More memory may then be available
   * later.
   */
  hasUnavailableReplica(spec: RequestSpec): boolean;
  /** Logs a decision and keeps it for `explain`. */
  recordDecision(
    spec: RequestSpec,
    attempt: number,
    chosen: RankedTarget,
    ranked: readonly RankedTarget[],
  ): void;
  /**
   * Logs and keeps the decision for a group; the lead is recorded as the chosen
   * replica.
   */
  recordGroupDecision(
    spec: RequestSpec,
    attempt: number,
    parts: readonly GroupPart[],
    ranked: readonly RankedTarget[],
  ): void;
  recordAssignment(
    spec: RequestSpec,
    side: Address,
    dispatchId: DispatchId,
  ): void;
  removeAssignment(side: Address, dispatchId: DispatchId): void;
  /** Marks the assignment of an attempt that ended, whatever its outcome. */
  endAssignment(side: Address, dispatchId: DispatchId): void;
  /**
   * Records how many prompt tokens of a completed request the engine had
   * cached.
   */
  recordCachedTokens(spec: RequestSpec, cachedTokens: number): void;
  explain(id: RequestId): readonly RoutingDecision[];
}

export interface RouterOptions {
  readonly runtime: Runtime;
  readonly failureDomain: FailureDomain;
  /** Returns the routing policy of the name given in the configuration. */
  readonly routingPolicy: (name: string) => RoutingPolicy;
  readonly view: () => MembershipView;
  /** Prompt tokens covered by one prefix hash. */
  readonly prefixBlockTokens: number;
}

export function createRouter(options: RouterOptions): Router {
  const {runtime} = options;
  const assignments = createAssignments();
  const prefixHistory = createPrefixHistory(options.prefixBlockTokens);
  const decisionsByRequest = new Map<RequestId, RoutingDecision[]>();

  const rank = (spec: RequestSpec, except: ReadonlySet<Incarnation>) => {
    assignments.dropExpired(runtime.clock.now());
    const eligible = options
      .view()
      .replicas.filter(
        one => !except.has(one.incarnation) && canServe(one, spec),
      );
    const {policy, lengthClasses} = spec.config.declarations;
    const shortest = lengthClasses[0]?.maxTokens ?? 0;
    return options.routingPolicy(policy.routing)({
      request: {
        kind: spec.kind,
        promptTokens: spec.promptTokens,
        maxTokens: spec.maxTokens,
        prefixHashes: spec.prefixHashes,
        short: spec.promptTokens <= shortest,
      },
      targets: preferLive(eligible).map(replica => {
        const unreported = assignments.unreportedLoad(replica);
        return {
          replica,
          unreportedRequests: unreported.requests,
          unreportedTokens: unreported.tokens,
        };
      }),
      ownFailureDomain: options.failureDomain,
      now: runtime.clock.now(),
      random: runtime.random,
      weights: policy,
      prefixHitRatio: prefixHistory.hitRatio(),
      knownPrefixTokens: prefixHistory.knownTokens(spec.prefixHashes),
    });
  };

  const shownCandidates = (ranked: readonly RankedTarget[]) => {
    const now = runtime.clock.now();
    return ranked
      .slice(0, MAX_SHOWN_CANDIDATES)
      .map(one => toRoutingCandidate(one, now));
  };

  const storeDecision = (decision: RoutingDecision): RoutingDecision => {
    const list = decisionsByRequest.get(decision.requestId) ?? [];
    list.push(decision);
    decisionsByRequest.set(decision.requestId, list);
    for (const oldest of decisionsByRequest.keys()) {
      if (decisionsByRequest.size <= MAX_EXPLAINED_REQUESTS) break;
      decisionsByRequest.delete(oldest);
    }
    return decision;
  };

  return {
    rank,
    hasUnavailableReplica: spec =>
      options
        .view()
        .replicas.some(
          one =>
            one.state !== 'live' ||
            one.incarnation === '' ||
            (spec.kind === 'completion' && one.load.capacityTokens === 0),
        ),
    recordDecision: (spec, attempt, chosen, ranked) => {
      const decision = storeDecision({
        requestId: spec.id,
        attempt,
        chosen: chosen.target.replica.address,
        reason: chosen.reason,
        candidates: shownCandidates(ranked),
      });
      runtime.log(ROUTING_EVENTS.decided, {
        ...decisionFields(spec, decision),
        considered: ranked.length,
      });
    },
    recordGroupDecision: (spec, attempt, parts, ranked) => {
      const lead = parts.find(part => part.isLead);
      const decision = storeDecision({
        requestId: spec.id,
        attempt,
        chosen: lead?.ranked.target.replica.address ?? '',
        reason: `group of ${parts.length}: ${parts.map(describePart).join(', ')}`,
        candidates: shownCandidates(ranked),
      });
      runtime.log(ROUTING_EVENTS.groupDecided, {
        ...decisionFields(spec, decision),
        considered: ranked.length,
      });
    },
    recordAssignment: (spec, side, dispatchId) => {
      assignments.add(side, dispatchId, spec.promptTokens, runtime.clock.now());
      prefixHistory.recordRouted(spec.prefixHashes);
    },
    removeAssignment: (side, dispatchId) =>
      assignments.remove(side, dispatchId),
    endAssignment: (side, dispatchId) =>
      assignments.markEnded(side, dispatchId, runtime.clock.now()),
    recordCachedTokens: (spec, cachedTokens) =>
      prefixHistory.recordCached(spec.prefixHashes, cachedTokens),
    explain: id => decisionsByRequest.get(id) ?? [],
  };
}

/** True when the replica is able to run this request. */
export function canServe(replica: Replica, spec: RequestSpec): boolean {
  if (replica.state === 'leaving' || replica.state === 'gone') return false;
  // No heartbeat has been answered yet, so the incarnation to offer to is
  // unknown.
  if (replica.incarnation === '') return false;
  if (spec.kind === 'call') return replica.pool === spec.pool;
  return replica.models.some(
    model =>
      model.ready &&
      model.model === spec.model &&
      (spec.adapter === '' || model.adapters.includes(spec.adapter)),
  );
}

/** Leaves out suspect replicas unless no live one exists. */
function preferLive(replicas: readonly Replica[]): readonly Replica[] {
  const live = replicas.filter(one => one.state === 'live');
  return live.length > 0 ? live : replicas;
}

function describePart(part: GroupPart): string {
  const {address} = part.ranked.target.replica;
  return `${address}${part.isLead ? ' (lead)' : ''} ${part.holdTokens} tokens`;
}

function decisionFields(
  spec: RequestSpec,
  decision: RoutingDecision,
): LogFields {
  return {
    requestId: spec.id,
    attempt: decision.attempt,
    chosen: decision.chosen,
    reason: decision.reason,
    policy: spec.config.declarations.policy.routing,
    promptTokens: spec.promptTokens,
    candidates: decision.candidates.map(one => ({...one})),
  };
}

function toRoutingCandidate(
  ranked: RankedTarget,
  now: number,
): RoutingCandidate {
  const {replica, unreportedRequests, unreportedTokens} = ranked.target;
  return {
    address: replica.address,
    failureDomain: replica.failureDomain,
    predictedFirstTokenMs: Math.round(ranked.predictedFirstTokenMs),
    queued: replica.load.queued + unreportedRequests,
    backlogTokens: replica.load.prefillBacklogTokens + unreportedTokens,
    cachedTokens: Math.round(ranked.cachedTokens),
    loadAgeMs: Math.round(now - replica.loadAt + replica.load.reportAgeMs),
  };
}
