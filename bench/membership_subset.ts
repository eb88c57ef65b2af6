/** How much of the followed subsets moves when one host comes or goes. */
import {chooseSubset} from '../src/membership/subset.js';
import type {HostInfo} from '../src/types/platform.js';

const DOMAINS = ['hall-north', 'hall-south', 'hall-east'];
const LIMIT = 24;
const HOSTS_TRIED = 4;

export interface SubsetMoves {
  readonly replicas: number;
  readonly entries: number;
  /** Places in all subsets together. */
  readonly places: number;
  /** Places that changed when one host went, mean over those tried. */
  readonly movedByLeave: number;
  readonly movedByJoin: number;
  /** The least that must change: the subsets that held the host. */
  readonly leastByLeave: number;
  /** Most of one entry's places that changed at once. */
  readonly mostOfOneEntry: number;
  readonly followersLeast: number;
  readonly followersMost: number;
}

function hostsOf(count: number): readonly HostInfo[] {
  return Array.from({length: count}, (_, at) => ({
    host: `host-${at}`,
    address: `10.0.${at >> 8}.${at & 255}:7301`,
    failureDomain: DOMAINS[at % DOMAINS.length] as string,
    pool: 'onyx-pool',
    state: 'live',
  }));
}

function subsetsOf(entries: number, hosts: readonly HostInfo[]) {
  return Array.from({length: entries}, (_, at) =>
    chooseSubset({
      node: `entry-${at}`,
      ownFailureDomain: DOMAINS[at % DOMAINS.length] as string,
      hosts,
      limit: LIMIT,
    }),
  );
}

/** Places taken by others than before, of each entry. */
function moves(
  before: ReadonlyArray<ReadonlySet<string>>,
  after: ReadonlyArray<ReadonlySet<string>>,
): readonly number[] {
  return after.map(
    (subset, at) =>
      [...subset].filter(address => !before[at]?.has(address)).length,
  );
}

const sum = (values: readonly number[]) =>
  values.reduce((total, value) => total + value, 0);
const mean = (values: readonly number[]) => sum(values) / values.length;

/** Takes hosts out one at a time, and puts one more in. */
export function subsetMoves(replicas: number, entries: number): SubsetMoves {
  const hosts = hostsOf(replicas);
  const whole = subsetsOf(entries, hosts);
  const tried = hosts.slice(0, HOSTS_TRIED);
  const leaves = tried.map(gone =>
    moves(
      whole,
      subsetsOf(
        entries,
        hosts.filter(host => host !== gone),
      ),
    ),
  );
  const joined = moves(whole, subsetsOf(entries, hostsOf(replicas + 1)));
  const followers = hosts.map(
    ({address}) => whole.filter(subset => subset.has(address)).length,
  );
  const held = followers.slice(0, HOSTS_TRIED);
  return {
    replicas,
    entries,
    places: sum(whole.map(subset => subset.size)),
    movedByLeave: mean(leaves.map(sum)),
    movedByJoin: sum(joined),
    leastByLeave: mean(held),
    mostOfOneEntry: Math.max(...leaves.flat(), ...joined),
    followersLeast: Math.min(...followers),
    followersMost: Math.max(...followers),
  };
}
