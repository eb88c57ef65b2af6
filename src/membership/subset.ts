/**
 * Chooses which hosts an entry follows. The subset is bounded, so that control
 * traffic per process does not grow with the number of hosts. It covers each
 * pool and failure domain, with the most hosts in the entry's own failure
 * domain. Rendezvous hashing over entry and host changes the subset little when
 * other hosts come and go.
 */
import type {Address, FailureDomain, NodeId} from '../types/ids.js';
import type {HostInfo} from '../types/platform.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/**
 * Share of the hosts followed in a pool that is reserved for the entry's own
 * failure domain.
 */
const OWN_DOMAIN_SHARE = 0.5;

/** What the subset depends on. */
export interface SubsetOptions {
  /** Name of the entry that follows. */
  readonly node: NodeId;
  /** Failure domain of the entry. */
  readonly ownFailureDomain: FailureDomain;
  /** Hosts to choose from. */
  readonly hosts: readonly HostInfo[];
  /**
   * Hosts to follow over all pools. The subset is larger where rounding or the
   * coverage of failure domains needs more.
   */
  readonly limit: number;
}

/**
 * Returns the addresses of the hosts to follow. Each pool gets a part of the
 * limit in proportion to its size.
 */
export function chooseSubset(options: SubsetOptions): ReadonlySet<Address> {
  const chosen = new Set<Address>();
  const pools = groupBy(options.hosts, host => host.pool);
  for (const hosts of pools.values()) {
    const share = options.limit * (hosts.length / options.hosts.length);
    const count = Math.ceil(share);
    for (const address of chooseInPool(options, hosts, count)) {
      chosen.add(address);
    }
  }
  return chosen;
}

/**
 * Chooses `count` hosts of one pool, or more when it has more failure domains
 * than that.
 */
function chooseInPool(
  options: SubsetOptions,
  hosts: readonly HostInfo[],
  count: number,
): readonly Address[] {
  if (hosts.length <= count) return hosts.map(host => host.address);
  const domains = groupBy(hosts, host => host.failureDomain);
  const ordered = new Map(
    [...domains].map(([domain, members]) => [
      domain,
      rendezvousNames(
        options.node,
        members.map(host => host.address),
      ),
    ]),
  );
  const chosen: Address[] = [];
  for (const [domain, addresses] of ordered) {
    chosen.push(
      ...addresses.slice(0, domainQuota(options, domain, domains, count)),
    );
  }
  return fillRemaining(options, hosts, chosen, count);
}

/**
 * Number of hosts to follow in one failure domain of a pool. At least one, so
 * that every failure domain is covered.
 */
function domainQuota(
  options: SubsetOptions,
  domain: FailureDomain,
  domains: ReadonlyMap<FailureDomain, readonly HostInfo[]>,
  count: number,
): number {
  const hasOwn = domains.has(options.ownFailureDomain);
  const ownCount = hasOwn ? Math.floor(count * OWN_DOMAIN_SHARE) : 0;
  if (domain === options.ownFailureDomain) return Math.max(1, ownCount);
  const others = domains.size - (hasOwn ? 1 : 0);
  return Math.max(1, Math.floor((count - ownCount) / others));
}

/**
 * Adds hosts of any failure domain up to `count`. Hosts are missing when a
 * failure domain is smaller than its quota.
 */
function fillRemaining(
  options: SubsetOptions,
  hosts: readonly HostInfo[],
  chosen: readonly Address[],
  count: number,
): readonly Address[] {
  if (chosen.length >= count) return chosen;
  const taken = new Set(chosen);
  const rest = hosts
    .map(host => host.address)
    .filter(address => !taken.has(address));
  const more = rendezvousNames(options.node, rest);
  return [...chosen, ...more.slice(0, count - chosen.length)];
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? [];
    group.push(item);
    groups.set(keyOf(item), group);
  }
  return groups;
}
