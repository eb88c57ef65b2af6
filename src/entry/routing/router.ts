/**
 * Chooses the sides to which a request is offered: eligible replicas by model
 * or pool, ranked by the routing policy. Keeps the last decisions to explain.
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
import {createPrefixMemory} from './prefix_history.js';

/** Requests whose decisions are kept for `explain`. */
const KEEP_EXPLAINED = 1_024;
/** Candidates shown in a decision, the best first. */
const SHOWN_CANDIDATES = 8;

export interface Router {
  /** Eligible replicas, best first, without the incarnations in `except`. */
  rank(
    spec: RequestSpec,
    except: ReadonlySet<Incarnation>,
  ): readonly RankedTarget[];
  /** Some replica that may do this work is not to be had just now. */
  someAway(spec: RequestSpec): boolean;
  /** Logs and keeps a decision. */
  decided(
    spec: RequestSpec,
    attempt: number,
    chosen: RankedTarget,
    ranked: readonly RankedTarget[],
  ): void;
  /** The same for a group; the lead is the one chosen. */
  decidedGroup(
    spec: RequestSpec,
    attempt: number,
    parts: readonly GroupPart[],
    ranked: readonly RankedTarget[],
  ): void;
  assigned(spec: RequestSpec, side: Address, dispatchId: DispatchId): void;
  refused(side: Address, dispatchId: DispatchId): void;
  /** The attempt is over, whatever its outcome. */
  attemptOver(side: Address, dispatchId: DispatchId): void;
  /** An answer ended whole: what the engine found in its prefix cache. */
  ended(spec: RequestSpec, cachedTokens: number): void;
  explain(id: RequestId): readonly RoutingDecision[];
}

export interface RouterOptions {
  readonly runtime: Runtime;
  readonly failureDomain: FailureDomain;
  /** Policy of the given name, as the configuration names it. */
  readonly routingPolicy: (name: string) => RoutingPolicy;
  readonly view: () => MembershipView;
  /** Prompt tokens that one prefix hash stands for. */
  readonly prefixBlockTokens: number;
}

export function createRouter(options: RouterOptions): Router {
  const {runtime} = options;
  const assignments = createAssignments();
  const prefixes = createPrefixMemory(options.prefixBlockTokens);
  const explained = new Map<RequestId, RoutingDecision[]>();

  const rank = (spec: RequestSpec, except: ReadonlySet<Incarnation>) => {
    assignments.forgetOver(runtime.clock.now());
    const eligible = options
      .view()
      .replicas.filter(
        one => !except.has(one.incarnation) && serves(one, spec),
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
      targets: usable(eligible).map(replica => {
        const unreported = assignments.since(replica);
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
      prefixHitRatio: prefixes.hitRatio(),
      knownPrefixTokens: prefixes.knownTokens(spec.prefixHashes),
    });
  };

  const shown = (ranked: readonly RankedTarget[]) => {
    const now = runtime.clock.now();
    return ranked.slice(0, SHOWN_CANDIDATES).map(one => candidateOf(one, now));
  };

  const keep = (decision: RoutingDecision): RoutingDecision => {
    const list = explained.get(decision.requestId) ?? [];
    list.push(decision);
    explained.set(decision.requestId, list);
    for (const oldest of explained.keys()) {
      if (explained.size <= KEEP_EXPLAINED) break;
      explained.delete(oldest);
    }
    return decision;
  };

  return {
    rank,
    someAway: spec =>
      options
        .view()
        .replicas.some(
          one =>
            one.state !== 'live' ||
            one.incarnation === '' ||
            (spec.kind === 'completion' && one.load.capacityTokens === 0),
        ),
    decided: (spec, attempt, chosen, ranked) => {
      const decision = keep({
        requestId: spec.id,
        attempt,
        chosen: chosen.target.replica.address,
        reason: chosen.reason,
        candidates: shown(ranked),
      });
      runtime.log(ROUTING_EVENTS.decided, {
        ...fieldsOf(spec, decision),
        considered: ranked.length,
      });
    },
    decidedGroup: (spec, attempt, parts, ranked) => {
      const lead = parts.find(part => part.lead);
      const decision = keep({
        requestId: spec.id,
        attempt,
        chosen: lead?.ranked.target.replica.address ?? '',
        reason: `group of ${parts.length}: ${parts.map(nameOf).join(', ')}`,
        candidates: shown(ranked),
      });
      runtime.log(ROUTING_EVENTS.groupDecided, {
        ...fieldsOf(spec, decision),
        considered: ranked.length,
      });
    },
    assigned: (spec, side, dispatchId) => {
      assignments.add(side, dispatchId, spec.promptTokens, runtime.clock.now());
      prefixes.routed(spec.prefixHashes);
    },
    refused: (side, dispatchId) => assignments.remove(side, dispatchId),
    attemptOver: (side, dispatchId) =>
      assignments.over(side, dispatchId, runtime.clock.now()),
    ended: (spec, cachedTokens) =>
      prefixes.confirmed(spec.prefixHashes, cachedTokens),
    explain: id => explained.get(id) ?? [],
  };
}

/** True when the replica can do this work at all. */
export function serves(replica: Replica, spec: RequestSpec): boolean {
  if (replica.state === 'leaving' || replica.state === 'gone') return false;
  // No heartbeat has been answered yet: there is no incarnation to offer to.
  if (replica.incarnation === '') return false;
  if (spec.kind === 'call') return replica.pool === spec.pool;
  return replica.models.some(
    model =>
      model.ready &&
      model.model === spec.model &&
      (spec.adapter === '' || model.adapters.includes(spec.adapter)),
  );
}

/** Suspect replicas are used only when no live one is left. */
function usable(replicas: readonly Replica[]): readonly Replica[] {
  const live = replicas.filter(one => one.state === 'live');
  return live.length > 0 ? live : replicas;
}

function nameOf(part: GroupPart): string {
  const {address} = part.ranked.target.replica;
  return `${address}${part.lead ? ' (lead)' : ''} ${part.holdTokens} tokens`;
}

function fieldsOf(spec: RequestSpec, decision: RoutingDecision): LogFields {
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

function candidateOf(ranked: RankedTarget, now: number): RoutingCandidate {
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
