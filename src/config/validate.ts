/**
 * Validates declarations as a whole before they are accepted. All faults are
 * reported at once, so that an operator can correct them in one edit. Each
 * fault has the JSON pointer that a patch would use, and what to write instead.
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

/** Pool name of the entries in the host list. */
const ENTRY_POOL = 'entry';
/**
 * Tolerance for rounding errors in a sum of shares. A sum that exceeds 1 by
 * more than this is a fault.
 */
const SHARE_TOLERANCE = 1e-9;

/** Number of live hosts, by pool and failure domain. */
export type LiveHostCounts = ReadonlyMap<
  PoolId,
  ReadonlyMap<FailureDomain, number>
>;

/** Counts the live hosts of a host list, without the entries. */
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
 * Parses the keyed form and validates it. A Left holds every fault found.
 * `liveHostCounts` adds the checks against live hosts, which are left out
 * without it. `wishesInForce` are exempt from these checks.
 */
export function parseKeyedDeclarations(
  keyed: unknown,
  liveHostCounts?: LiveHostCounts,
  wishesInForce: readonly PlacementWish[] = [],
): Either<readonly ConfigFault[], Declarations> {
  const parsed = keyedDeclarationsSchema.safeParse(keyed);
  if (!parsed.success) return Left(parsed.error.issues.map(toFault));
  const declarations = fromKeyed(parsed.data);
  const faults = validateDeclarations(
    declarations,
    liveHostCounts,
    wishesInForce,
  );
  return faults.length === 0 ? Right(declarations) : Left(faults);
}

/**
 * Returns every fault of declarations that fit the schema. `wishesInForce` are
 * not checked against the live hosts again.
 */
function validateDeclarations(
  declarations: Declarations,
  liveHostCounts?: LiveHostCounts,
  wishesInForce: readonly PlacementWish[] = [],
): readonly ConfigFault[] {
  return [
    ...duplicateFaults(declarations),
    ...modelFaults(declarations),
    ...priorityClassFaults(declarations),
    ...lengthClassFaults(declarations),
    ...duplicateKeyFaults(declarations),
    ...placementFaults(declarations),
    ...policyFaults(declarations),
    ...(liveHostCounts === undefined
      ? []
      : capacityFaults(declarations, liveHostCounts, wishesInForce)),
  ];
}

/** The fields of a zod issue that are used here. */
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
    const duplicates = paths.filter((path, at) => paths.indexOf(path) !== at);
    return [...new Set(duplicates)].map(path => ({
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
  const longestPrompt = d.lengthClasses.at(-1)?.maxTokens ?? 0;
  const tooLong = d.models
    .filter(model => model.maxPromptTokens > longestPrompt)
    .map(model => ({
      path: toJsonPointer(['models', model.id, 'maxPromptTokens']),
      message: `prompts of ${model.maxPromptTokens} tokens fit no length class; the longest takes ${longestPrompt}`,
      mend: `lower it to ${longestPrompt}, or add a length class with a larger maxTokens`,
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
    const shorterClass = d.lengthClasses[at - 1];
    if (shorterClass === undefined || shorterClass.maxTokens < item.maxTokens)
      return [];
    return [
      {
        path: toJsonPointer(['lengthClasses', item.name, 'maxTokens']),
        message: `${item.maxTokens} is not over the ${shorterClass.maxTokens} of "${shorterClass.name}"`,
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
  const ownerByHash = new Map<string, string>();
  return d.organisations.flatMap(organisation =>
    organisation.keyHashes.flatMap((hash, at) => {
      const previousOwner = ownerByHash.get(hash);
      ownerByHash.set(hash, organisation.id);
      if (previousOwner === undefined) return [];
      return [
        {
          path: toJsonPointer([
            'organisations',
            organisation.id,
            'keyHashes',
            String(at),
          ]),
          message: `the same key is declared for "${previousOwner}"`,
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
  const knownPolicies: readonly string[] = ROUTING_POLICIES;
  if (knownPolicies.includes(d.policy.routing)) return [];
  return [
    {
      path: '/policy/routing',
      message: `there is no routing policy "${d.policy.routing}"`,
      mend: `write one of ${knownPolicies.join(', ')}`,
    },
  ];
}

/**
 * Checks the wishes that the patch adds or changes against the live hosts.
 * While a failure domain is lost, a wish in force may not be met. It must not
 * prevent operators from changing other declarations.
 */
function capacityFaults(
  d: Declarations,
  liveHostCounts: LiveHostCounts,
  wishesInForce: readonly PlacementWish[],
) {
  const unchanged = new Set(wishesInForce.map(wish => JSON.stringify(wish)));
  return d.placement
    .filter(wish => !unchanged.has(JSON.stringify(wish)))
    .flatMap(wish => wishCapacityFaults(wish, liveHostCounts));
}

function wishCapacityFaults(
  wish: PlacementWish,
  liveHostCounts: LiveHostCounts,
): readonly ConfigFault[] {
  const hostsByDomain = liveHostCounts.get(wish.pool);
  const path = toJsonPointer(['placement', wish.pool, wish.model]);
  if (hostsByDomain === undefined) {
    return [
      {
        path,
        message: `no live host is in pool "${wish.pool}"`,
        mend: `name one of ${[...liveHostCounts.keys()].sort().join(', ') || '(no pool is live)'}`,
      },
    ];
  }
  const hostCount = [...hostsByDomain.values()].reduce((sum, n) => sum + n, 0);
  const smallestDomain = Math.min(...hostsByDomain.values());
  const faults: ConfigFault[] = [];
  if (wish.minReplicas > hostCount) {
    faults.push({
      path: `${path}/minReplicas`,
      message: `${wish.minReplicas} replicas are wished of a pool of ${hostCount} hosts`,
      mend: `lower it to ${hostCount} or add hosts first`,
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
