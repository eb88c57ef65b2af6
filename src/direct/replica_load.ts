/** Load of one replica, and how parts of it are added up. */

/** Requests that write at a replica, by the longest pause they bear. */
export interface WriterGroup {
  readonly pauseAimMs: number;
  /** What their lateness would cost together; see `weightOf`. */
  readonly weight: number;
}

/** A request whose prompt is being read, or waits for it, at a replica. */
export interface Reader {
  /** Time left to its latency objective after its expected first token. */
  readonly slackMs: number;
  /** Slack below which it may miss the objective. */
  readonly marginMs: number;
  readonly weight: number;
}

/** Load of one replica as one entry tells it to the others. */
export interface ReplicaLoad {
  readonly replicaId: string;
  /** Requests that hold a place. */
  readonly running: number;
  /** Memory in use, in tokens. */
  readonly tokens: number;
  /** Reading still ahead, in milliseconds. */
  readonly readMs: number;
  /** Requests that a group's reading would hold up. */
  readonly readers: readonly Reader[];
  readonly writers: readonly WriterGroup[];
}

/** A load while it is added up. */
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

/** Those who bear equal pauses are one row. */
export function addWriterGroup(
  {writers}: LoadSum,
  {pauseAimMs, weight}: WriterGroup,
): void {
  const index = writers.findIndex(it => it.pauseAimMs === pauseAimMs);
  if (index < 0) writers.push({pauseAimMs, weight});
  else writers[index] = {pauseAimMs, weight: writers[index].weight + weight};
}
