/** The load of one replica, and functions that add up parts of it. */

/** Requests that a replica is decoding and that have the same pause objective. */
export interface DecodingGroup {
  /**
   * Pause objective: the longest pause between events that counts as on time, in
   * milliseconds.
   */
  readonly pauseAimMs: number;
  /** Combined cost of late events for these requests; see `weightOf`. */
  readonly weight: number;
}

/** A request whose prompt a replica is prefilling or will prefill. */
export interface PrefillingRequest {
  /**
   * Milliseconds between the expected first token and the latency objective;
   * negative when the objective will be missed.
   */
  readonly slackMs: number;
  /** Slack in milliseconds below which the request may miss its objective. */
  readonly marginMs: number;
  readonly weight: number;
}

/** Load of one replica, as one entry reports it to its peers. */
export interface ReplicaLoad {
  readonly replicaId: string;
  /** Number of requests that hold a slot. */
  readonly running: number;
  /** KV cache memory in use, in tokens. */
  readonly tokens: number;
  /** Prefill that is still to be done, in milliseconds. */
  readonly readMs: number;
  /** Requests that another prefill at the replica would delay. */
  readonly readers: readonly PrefillingRequest[];
  readonly writers: readonly DecodingGroup[];
}

/**
 * Load of one replica, as a peer reported it. The replica is named by its id or
 * by the `shortHash` of its id.
 */
export interface PeerLoad extends Omit<ReplicaLoad, 'replicaId'> {
  readonly replicaId: string | number;
}

/** A load that is being added up. */
export interface LoadSum extends ReplicaLoad {
  running: number;
  tokens: number;
  readMs: number;
  readonly readers: PrefillingRequest[];
  readonly writers: DecodingGroup[];
}

export function emptyLoad(replicaId: string): LoadSum {
  return {
    replicaId,
    running: 0,
    tokens: 0,
    readMs: 0,
    readers: [],
    writers: [],
  };
}

/** Whether an entry has no request at the replica. */
export function isEmptyLoad(load: PeerLoad): boolean {
  const {running, tokens, readMs, readers, writers} = load;
  return (
    running + tokens + readMs === 0 &&
    readers.length === 0 &&
    writers.length === 0
  );
}

/** Adds up the loads of two replicas, under the name of the first. */
export function mergeLoads(first: PeerLoad, second: PeerLoad): PeerLoad {
  const sum = emptyLoad('');
  addPeerLoad(sum, first, 0);
  addPeerLoad(sum, second, 0);
  return {...sum, replicaId: first.replicaId};
}

export function addPeerLoad(sum: LoadSum, load: PeerLoad, ageMs: number): void {
  sum.running += load.running;
  sum.tokens += load.tokens;
  sum.readMs += Math.max(0, load.readMs - ageMs);
  for (const reader of load.readers) sum.readers.push(reader);
  for (const writers of load.writers) addDecodingGroup(sum, writers);
}

/**
 * Adds a group of decoding requests. Groups with the same pause objective are
 * merged.
 */
export function addDecodingGroup(
  {writers}: LoadSum,
  {pauseAimMs, weight}: DecodingGroup,
): void {
  const index = writers.findIndex(it => it.pauseAimMs === pauseAimMs);
  if (index < 0) writers.push({pauseAimMs, weight});
  else writers[index] = {pauseAimMs, weight: writers[index].weight + weight};
}
