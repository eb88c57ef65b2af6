/**
 * Finds out whether a replica has ended under a run that broke off. A broken
 * connection alone says little: links are cut, answers are lost. A process that
 * has ended refuses new connections at once.
 */
import type {Clock} from '../types/runtime.js';
import type {ProbePort} from './port_probe.js';
import type {DirectReplica} from './types.js';

/** A replica that is found ended within this time of a lost run ended under it. */
const ENDED_WITHIN_MS = 5_000;
/** Of one replica; many run there at once. */
const RUNS_MOST = 64;
/** A process that ends closes its connections a moment before its port. */
const BROKEN_LOOK_MS = 20;
/** A run that its caller left may go on for so long at most. */
const LEFT_LOOK_MS = 300;

interface LostRun {
  readonly digest: string;
  readonly at: number;
  /** The replica's side broke it off; what outlives that did not crash. */
  readonly isBroken: boolean;
}

export interface LostRuns {
  /** The run's connection broke, or fell silent: the replica is looked for. */
  runBroken(digest: string, replica: DirectReplica): void;
  /** Its caller left; counts if the replica is found ended for other reasons. */
  runCancelled(digest: string, replica: DirectReplica): void;
  /** The same, and the replica is looked for, as the request is suspect. */
  suspectRunCancelled(digest: string, replica: DirectReplica): void;
  /** It is known from elsewhere that this start of a replica has ended. */
  replicaEnded(replicaId: string): void;
  /** Its record is gone: its last runs count, but it may serve on for a while. */
  recordRemoved(replicaId: string): void;
}

export interface LostRunsOptions {
  readonly clock: Clock;
  readonly probePort: ProbePort;
  /** It was told to leave, and ends without a crash. */
  isLeaving(replicaId: string): boolean;
  onEnded(digest: string, replicaId: string): void;
}

export function createLostRuns(options: LostRunsOptions): LostRuns {
  const {clock} = options;
  /** By the replica's start. */
  const pending = new Map<string, LostRun[]>();
  const ended = new Map<string, number>();
  /** Replicas that are to be looked for in a moment, and after how long. */
  const looking = new Set<string>();

  const isNew = (at: number) => clock.now() - at <= ENDED_WITHIN_MS;
  const prune = () => {
    for (const [id, at] of ended) if (!isNew(at)) ended.delete(id);
    for (const [id, runs] of pending) {
      const kept = runs.filter(({at}) => isNew(at));
      if (kept.length > 0) pending.set(id, kept);
      else pending.delete(id);
    }
  };
  const recordRemoved = (replicaId: string): void => {
    prune();
    const runs = pending.get(replicaId) ?? [];
    pending.delete(replicaId);
    for (const {digest} of runs) options.onEnded(digest, replicaId);
  };
  const replicaEnded = (replicaId: string): void => {
    ended.set(replicaId, clock.now());
    recordRemoved(replicaId);
  };
  const note = (
    digest: string,
    {id}: DirectReplica,
    isBroken: boolean,
  ): void => {
    prune();
    if (ended.has(id)) {
      options.onEnded(digest, id);
      return;
    }
    const runs = pending.get(id) ?? [];
    runs.push({digest, at: clock.now(), isBroken});
    pending.set(id, runs.slice(-RUNS_MOST));
  };
  /** It lives: the runs that broke off before `since` ended otherwise. */
  const outlived = (replicaId: string, since: number): void => {
    const runs = pending.get(replicaId) ?? [];
    const kept = runs.filter(({at, isBroken}) => !isBroken || at > since);
    pending.set(replicaId, kept);
  };
  const lookFor = async ({id, address}: DirectReplica): Promise<void> => {
    const since = clock.now();
    const answer = await options.probePort(address);
    if (answer === 'open') outlived(id, since);
    if (answer === 'refused' && !options.isLeaving(id)) replicaEnded(id);
  };
  const lookOnce = (replica: DirectReplica, delayMs: number): void => {
    const look = `${replica.id}/${delayMs}`;
    if (looking.has(look) || ended.has(replica.id)) return;
    looking.add(look);
    clock.after(delayMs, () => {
      looking.delete(look);
      void lookFor(replica);
    });
  };

  return {
    runBroken: (digest, replica) => {
      note(digest, replica, true);
      lookOnce(replica, BROKEN_LOOK_MS);
    },
    runCancelled: (digest, replica) => note(digest, replica, false),
    suspectRunCancelled: (digest, replica) => {
      note(digest, replica, false);
      lookOnce(replica, LEFT_LOOK_MS);
    },
    replicaEnded,
    recordRemoved,
  };
}
