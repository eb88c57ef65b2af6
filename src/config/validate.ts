/**
 * Checks declarations as a whole before they are accepted. All faults are told
 * at once, each with the pointer by which a patch would address it and what to
 * write instead, so that an operator mends a file in one go.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Declarations, PlacementWish} from '../types/config.js';
import type {FailureDomain, PoolId} from '../types/ids.js';
import type {HostInfo} from '../types/platform.js';
import type {ConfigFault} from '../types/services.js';
import {
  ROUTING_POLICIES,
  keyedDeclarationsSchema,
} from './declarations_schema.js';
import {fromKeyed} from './keyed_form.js';
import {toJsonPointer} from './json_pointer.js';

/** Pool name under which the host list shows entries. */
const ENTRY_POOL = 'entry';
/** A sum of shares may pass 1 by this much, for rounding. */
const SHARE_TOLERANCE = 1e-9;

/** What is known of the fleet: live hosts by pool and failure domain. */
export type LiveHostCounts = ReadonlyMap<
  PoolId,
  ReadonlyMap<FailureDomain, number>
>;

/** Counts the live upstream hosts of a host list. */
export function countLiveHosts(hosts: readonly HostInfo[]): LiveHostCounts {
  const counts = new Map<PoolId, Map<FailureDomain, number>>();
  for (const host of hosts) {
    if (host.pool === ENTRY_POOL || host.state !== 'live') continue;
    const domains = counts.get(host.pool) ?? new Map<FailureDomain, number>();
    domains.set(host.failureDomain, (domains.get(host.failureDomain) ?? 0) + 1);
    counts.set(host.pool, domains);
  }
  return counts;
}

/**
 * Reads the keyed form and checks it. Left: every fault found. `fleet` adds
 * the checks against live hosts; without it these are left out.
 */
export function parseKeyedDeclarations(
  keyed: unknown,
  fleet?: LiveHostCounts,
  before: readonly PlacementWish[] = [],
): Either<readonly ConfigFault[], Declarations> {
  const parsed = keyedDeclarationsSchema.safeParse(keyed);
  if (!parsed.success) return Left(parsed.error.issues.map(toFault));
  const declarations = fromKeyed(parsed.data);
  const faults = validateDeclarations(declarations, fleet, before);
  return faults.length === 0 ? Right(declarations) : Left(faults);
}

/**
 * Every fault of well-formed declarations; empty when there is none. `before`:
 * wishes in force, which are not judged by the live hosts again.
 */
function validateDeclarations(
  declarations: Declarations,
  fleet?: LiveHostCounts,
  before: readonly PlacementWish[] = [],
): readonly ConfigFault[] {
  return [
    ...duplicateFaults(declarations),
    ...modelFaults(declarations),
    ...priorityClassFaults(declarations),
    ...lengthClassFaults(declarations),
    ...duplicateKeyFaults(declarations),
    ...placementFaults(declarations),
    ...policyFaults(declarations),
    ...(fleet === undefined ? [] : capacityFaults(declarations, fleet, before)),
  ];
}

interface SchemaIssue {
  readonly code: string;
  readonly message: string;
  readonly path: readonly PropertyKey[];
  readonly keys?: readonly string[];
}

function toFault(raw: object): ConfigFault {
  const issue = raw as SchemaIssue;
  if (issue.code === 'unrecognized_keys') {
    const keys = issue.keys ?? [];
    return {
      path: toJsonPointer([...issue.path, ...keys.slice(0, 1)].map(String)),
      message: `unknown field ${keys.map(key => `"${key}"`).join(', ')}`,
      mend: 'remove the field or correct its name',
    };
  }
  return {
    path: toJsonPointer(issue.path.map(String)),
    message: issue.message,
    mend: 'write a value of the kind that docs/operators/configuration.md gives for this field',
  };
}

function duplicateFaults(d: Declarations): readonly ConfigFault[] {
  const lists: ReadonlyArray<readonly [string, readonly string[][]]> = [
    ['organisations', d.organisations.map(item => [item.id])],
    ['models', d.models.map(item => [item.id])],
    ['priorityClasses', d.priorityClasses.map(item => [item.name])],
    ['lengthClasses', d.lengthClasses.map(item => [item.name])],
    ['services', d.services.map(item => [item.pool])],
    ['placement', d.placement.map(item => [item.pool, item.model])],
  ];
  return lists.flatMap(([list, keys]) => {
    const paths = keys.map(key => toJsonPointer([list, ...key]));
    const twice = paths.filter((path, at) => paths.indexOf(path) !== at);
    return [...new Set(twice)].map(path => ({
      path,
      message: 'declared more than once',
      mend: 'keep one of them, or give the other another id',
    }));
  });
}

function modelFaults(d: Declarations): readonly ConfigFault[] {
  const defaults = d.models.filter(model => model.isDefault);
  const faults = defaults.slice(1).map(model => ({
    path: toJsonPointer(['models', model.id, 'isDefault']),
    message: `"${defaults[0]?.id}" is the default model already`,
    mend: 'set isDefault to false on all models but one',
  }));
  const longest = d.lengthClasses.at(-1)?.maxTokens ?? 0;
  const tooLong = d.models
    .filter(model => model.maxPromptTokens > longest)
    .map(model => ({
      path: toJsonPointer(['models', model.id, 'maxPromptTokens']),
      message: `prompts of ${model.maxPromptTokens} tokens fit no length class; the longest takes ${longest}`,
      mend: `lower it to ${longest}, or add a length class with a larger maxTokens`,
    }));
  return [...faults, ...tooLong];
}

function priorityClassFaults(d: Declarations): readonly ConfigFault[] {
  if (d.priorityClasses.length === 0) {
    return [
      {
        path: '/priorityClasses',
        message: 'there is no priority class',
        mend: 'declare at least one, with isDefault set to true',
      },
    ];
  }
  const defaults = d.priorityClasses.filter(item => item.isDefault);
  if (defaults.length === 0) {
    return [
      {
        path: '/priorityClasses',
        message: 'no priority class is the default',
        mend: 'set isDefault to true on one of them',
      },
    ];
  }
  return defaults.slice(1).map(item => ({
    path: toJsonPointer(['priorityClasses', item.name, 'isDefault']),
    message: `"${defaults[0]?.name}" is the default priority class already`,
    mend: 'set isDefault to false on all priority classes but one',
  }));
}

function lengthClassFaults(d: Declarations): readonly ConfigFault[] {
  if (d.lengthClasses.length === 0) {
    return [
      {
        path: '/lengthClasses',
        message: 'there is no length class',
        mend: 'declare at least one whose maxTokens holds the longest prompt',
      },
    ];
  }
  const orderFaults = d.lengthClasses.flatMap((item, at) => {
    const before = d.lengthClasses[at - 1];
    if (before === undefined || before.maxTokens < item.maxTokens) return [];
    return [
      {
        path: toJsonPointer(['lengthClasses', item.name, 'maxTokens']),
        message: `${item.maxTokens} is not over the ${before.maxTokens} of "${before.name}"`,
        mend: 'give each length class a maxTokens of its own',
      },
    ];
  });
  const floorSum = d.lengthClasses.reduce((sum, c) => sum + c.memoryFloor, 0);
  if (floorSum <= 1 + SHARE_TOLERANCE) return orderFaults;
  return [
    ...orderFaults,
    {
      path: '/lengthClasses',
      message: `memory floors add up to ${floorSum.toFixed(3)} of an engine`,
      mend: 'lower memoryFloor until the sum is 1 at most',
    },
  ];
}

function duplicateKeyFaults(d: Declarations): readonly ConfigFault[] {
  const owner = new Map<string, string>();
  return d.organisations.flatMap(organisation =>
    organisation.keyHashes.flatMap((hash, at) => {
      const other = owner.get(hash);
      owner.set(hash, organisation.id);
      if (other === undefined) return [];
      return [
        {
          path: toJsonPointer([
            'organisations',
            organisation.id,
            'keyHashes',
            String(at),
          ]),
          message: `the same key is declared for "${other}"`,
          mend: 'give each organisation keys of its own',
        },
      ];
    }),
  );
}

function placementFaults(d: Declarations): readonly ConfigFault[] {
  const models = new Set(d.models.map(model => model.id));
  const services = new Set(d.services.map(service => service.pool));
  return d.placement.flatMap(wish => {
    const path = toJsonPointer(['placement', wish.pool, wish.model]);
    const faults: ConfigFault[] = [];
    if (!models.has(wish.model)) {
      faults.push({
        path,
        message: `there is no model "${wish.model}"`,
        mend: 'declare the model in the same patch, or remove this wish',
      });
    }
    if (services.has(wish.pool) || wish.pool === ENTRY_POOL) {
      faults.push({
        path,
        message: `"${wish.pool}" is not a pool of model engines`,
        mend: 'name a pool of model engines, or remove this wish',
      });
    }
    return faults;
  });
}

function policyFaults(d: Declarations): readonly ConfigFault[] {
  const known: readonly string[] = ROUTING_POLICIES;
  if (known.includes(d.policy.routing)) return [];
  return [
    {
      path: '/policy/routing',
      message: `there is no routing policy "${d.policy.routing}"`,
      mend: `write one of ${known.join(', ')}`,
    },
  ];
}

/**
 * Only wishes that the patch changes: while a failure domain is lost, an old
 * wish can't be met, and must not stop an operator from changing anything.
 */
function capacityFaults(
  d: Declarations,
  fleet: LiveHostCounts,
  before: readonly PlacementWish[],
) {
  const unchanged = new Set(before.map(wish => JSON.stringify(wish)));
  return d.placement
    .filter(wish => !unchanged.has(JSON.stringify(wish)))
    .flatMap(wish => wishCapacityFaults(wish, fleet));
}

function wishCapacityFaults(
  wish: PlacementWish,
  fleet: LiveHostCounts,
): readonly ConfigFault[] {
  const domains = fleet.get(wish.pool);
  const path = toJsonPointer(['placement', wish.pool, wish.model]);
  if (domains === undefined) {
    return [
      {
        path,
        message: `no live host is in pool "${wish.pool}"`,
        mend: `name one of ${[...fleet.keys()].sort().join(', ') || '(no pool is live)'}`,
      },
    ];
  }
  const hosts = [...domains.values()].reduce((sum, n) => sum + n, 0);
  const smallestDomain = Math.min(...domains.values());
  const faults: ConfigFault[] = [];
  if (wish.minReplicas > hosts) {
    faults.push({
      path: `${path}/minReplicas`,
      message: `${wish.minReplicas} replicas are wished of a pool of ${hosts} hosts`,
      mend: `lower it to ${hosts} or add hosts first`,
    });
  }
  if (wish.minPerFailureDomain > smallestDomain) {
    faults.push({
      path: `${path}/minPerFailureDomain`,
      message: `${wish.minPerFailureDomain} replicas are wished of each failure domain; the smallest has ${smallestDomain} hosts`,
      mend: `lower it to ${smallestDomain} or add hosts first`,
    });
  }
  return faults;
}
