/** The load of one replica, and functions that add up parts of it. */

/**
 * Requests at a replica that are writing and have the same limit on pauses
 * between events.
 */
export interface WriterGroup {
  /** Longest pause between events that counts as on time, in milliseconds. */
  readonly pauseAimMs: number;
  /** Combined cost of late events for these requests; see `weightOf`. */
  readonly weight: number;
}

/** A request whose prompt a replica is reading or will read. */
export interface Reader {
  /**
   * Milliseconds between the expected first token and the latency objective;
   * negative when the objective will be missed.
   */
  readonly slackMs: number;
  /** Slack in milliseconds below which the request may miss its objective. */
  readonly marginMs: number;
  readonly weight: number;
}

/** Load of one replica, as one entry reports it to the others. */
export interface ReplicaLoad {
  readonly replicaId: string;
  /** Number of requests that hold a place. */
  readonly running: number;
  /** KV cache memory in use, in tokens. */
  readonly tokens: number;
  /** Prompt reading that is still to be done, in milliseconds. */
  readonly readMs: number;
  /** Requests that further prompt reading at the replica would delay. */
  readonly readers: readonly Reader[];
  readonly writers: readonly WriterGroup[];
}

/** A load that is being added up. */
export interface LoadSum extends ReplicaLoad {
  running: number;
  tokens: number;
  readMs: number;
  readonly readers: Reader[];
  readonly writers: WriterGroup[];
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

export function addPeerLoad(
  sum: LoadSum,
  load: ReplicaLoad,
  ageMs: number,
): void {
  sum.running += load.running;
  sum.tokens += load.tokens;
  sum.readMs += Math.max(0, load.readMs - ageMs);
  for (const reader of load.readers) sum.readers.push(reader);
  for (const writers of load.writers) addWriterGroup(sum, writers);
}

/** Adds a group of writers; groups with the same limit on pauses are merged. */
export function addWriterGroup(
  {writers}: LoadSum,
  {pauseAimMs, weight}: WriterGroup,
): void {
  const index = writers.findIndex(it => it.pauseAimMs === pauseAimMs);
  if (index < 0) writers.push({pauseAimMs, weight});
  else writers[index] = {pauseAimMs, weight: writers[index].weight + weight};
}
