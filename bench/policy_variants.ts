/**
 * The policies that the bench runs: the baselines, ours, and ours less each of
 * its parts. A part is left out from the outside, by what the policy is given
 * to see or by the configuration, so that the product has no switch for it.
 */
import type {RoutingInput, RoutingPolicy} from '../src/policy/routing.js';
import {predictedFirstToken} from '../src/policy/predicted_first_token.js';
import {
  createRoundRobin,
  leastRequests,
  randomPairs,
} from '../src/policy/routing_policies.js';
import {classQueue, fcfsQueue} from '../src/policy/side_queue.js';
import type {QueuePolicy, QueueView} from '../src/side/queue_policy.js';
import type {RatePriors} from '../src/side/learned_rates.js';
import type {Declarations} from '../src/types/config.js';

export interface Variant {
  readonly name: string;
  readonly baseline: boolean;
  readonly routing: () => RoutingPolicy;
  readonly queue: QueuePolicy;
  readonly declare: (declarations: Declarations) => Declarations;
  readonly priors?: Partial<RatePriors>;
}

const NEVER_MS = 1e12;
const same = (declarations: Declarations) => declarations;

const OURS: Variant = {
  name: 'ours',
  baseline: false,
  routing: () => predictedFirstToken,
  queue: classQueue,
  declare: same,
};

function baseline(name: string, routing: () => RoutingPolicy): Variant {
  return {name, baseline: true, routing, queue: fcfsQueue, declare: same};
}

function withPolicy(
  policy: Partial<Declarations['policy']>,
): Variant['declare'] {
  return declarations => ({
    ...declarations,
    policy: {...declarations.policy, ...policy},
  });
}

function withoutFloors(declarations: Declarations): Declarations {
  return {
    ...declarations,
    lengthClasses: declarations.lengthClasses.map(one => ({
      ...one,
      memoryFloor: 0,
      maxRunning: 0,
    })),
  };
}

/** Shows the policy the same deadline and service time for all. */
function withoutSlack(view: QueueView): QueueView {
  const level = <T extends object>(item: T) => ({
    ...item,
    deadlineAt: 0,
    serviceMs: 0,
  });
  return {...view, waiting: view.waiting.map(level)};
}

function withoutPriority(queue: QueuePolicy): QueuePolicy {
  return {
    ...queue,
    enginePriority: () => 0,
    choose: view => {
      const choice = queue.choose(view);
      return choice && {...choice, enginePriority: 0};
    },
  };
}

function seeing(change: (input: RoutingInput) => RoutingInput): RoutingPolicy {
  return input => {
    const ranked = predictedFirstToken(change(input));
    const byAddress = new Map(
      input.targets.map(target => [target.replica.address, target]),
    );
    return ranked.map(one => ({
      ...one,
      target: byAddress.get(one.target.replica.address) ?? one.target,
    }));
  };
}

function withoutAssignments(input: RoutingInput): RoutingInput {
  return {
    ...input,
    targets: input.targets.map(target => ({
      ...target,
      unreportedRequests: 0,
      unreportedTokens: 0,
    })),
  };
}

function withoutRates(input: RoutingInput): RoutingInput {
  return {
    ...input,
    targets: input.targets.map(target => ({
      ...target,
      replica: {
        ...target.replica,
        load: {...target.replica.load, prefillTokensPerSec: 0},
      },
    })),
  };
}

export const VARIANTS: readonly Variant[] = [
  baseline('round robin, fcfs', createRoundRobin),
  baseline('least requests, fcfs', () => leastRequests),
  baseline('random pairs, fcfs', () => randomPairs),
  OURS,
  {...OURS, name: 'ours less affinity', declare: withPolicy({prefixWeight: 0})},
  {...OURS, name: 'ours less class floors', declare: withoutFloors},
  {
    ...OURS,
    name: 'ours less ageing',
    declare: withPolicy({ageingMs: NEVER_MS}),
  },
  {
    ...OURS,
    name: 'ours less slack order',
    queue: {
      ...classQueue,
      choose: view => classQueue.choose(withoutSlack(view)),
    },
  },
  {
    ...OURS,
    name: 'ours less engine priority',
    queue: withoutPriority(classQueue),
  },
  {
    ...OURS,
    name: 'ours less own assignments',
    routing: () => seeing(withoutAssignments),
  },
  {
    ...OURS,
    name: 'ours less learned rates',
    routing: () => seeing(withoutRates),
    priors: {newestWeight: 0},
  },
  {
    ...OURS,
    name: 'ours less long isolation',
    declare: withPolicy({longShare: 1}),
  },
];
