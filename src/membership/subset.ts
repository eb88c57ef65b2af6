/**
 * Which hosts an entry follows: a bounded subset, so that control traffic per
 * process does not grow with the fleet. Each pool and failure domain is
 * covered, the own failure domain most; rendezvous hashing over entry and host
 * keeps the subset when other hosts come and go.
 */
import type {Address, FailureDomain, NodeId} from '../types/ids.js';
import type {HostInfo} from '../types/platform.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/** Share of a pool's places for the own failure domain. */
const OWN_DOMAIN_SHARE = 0.5;

export interface SubsetOptions {
  /** Entry that follows. */
  readonly node: NodeId;
  readonly ownFailureDomain: FailureDomain;
  readonly hosts: readonly HostInfo[];
  /** Hosts to follow over all pools; more where coverage needs them. */
  readonly limit: number;
}

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

/** Places of one failure domain; at least one, so that none is uncovered. */
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

/** Gives the places that small failure domains left over to any host. */
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
