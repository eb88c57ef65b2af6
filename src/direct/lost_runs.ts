/**
 * Finds out whether a replica has ended under a run that broke off. A broken
 * connection alone says little: links are cut, answers are lost. A process that
 * has ended refuses new connections at once.
 */
import type {Clock} from '../types/runtime.js';
import type {Dial} from './dial.js';
import type {DirectReplica} from './types.js';

/** A replica that is found ended within this time of a lost run ended under it. */
const ENDED_WITHIN_MS = 5_000;
/** Of one replica; many run there at once. */
const RUNS_MOST = 64;

interface LostRun {
  readonly digest: string;
  readonly at: number;
}

export interface LostRuns {
  /** The run's connection broke, or fell silent: the replica is looked for. */
  broke(digest: string, replica: DirectReplica): void;
  /** Its caller left; counts if the replica is found ended for other reasons. */
  left(digest: string, replica: DirectReplica): void;
  /** It is known from elsewhere that this start of a replica has ended. */
  replicaEnded(replicaId: string): void;
}

export interface LostRunsOptions {
  readonly clock: Clock;
  readonly dial: Dial;
  /** It was told to leave, and ends without a crash. */
  isLeaving(replicaId: string): boolean;
  onEnded(digest: string, replicaId: string): void;
}

export function createLostRuns(options: LostRunsOptions): LostRuns {
  const {clock} = options;
  /** By the replica's start. */
  const pending = new Map<string, LostRun[]>();
  const ended = new Map<string, number>();
  const dialling = new Set<string>();

  const isNew = (at: number) => clock.now() - at <= ENDED_WITHIN_MS;
  const prune = () => {
    for (const [id, at] of ended) if (!isNew(at)) ended.delete(id);
    for (const [id, runs] of pending) {
      const kept = runs.filter(({at}) => isNew(at));
      if (kept.length > 0) pending.set(id, kept);
      else pending.delete(id);
    }
  };
  const replicaEnded = (replicaId: string): void => {
    prune();
    ended.set(replicaId, clock.now());
    const runs = pending.get(replicaId) ?? [];
    pending.delete(replicaId);
    for (const {digest} of runs) options.onEnded(digest, replicaId);
  };
  const left = (digest: string, {id}: DirectReplica): void => {
    prune();
    if (ended.has(id)) {
      options.onEnded(digest, id);
      return;
    }
    const runs = pending.get(id) ?? [];
    runs.push({digest, at: clock.now()});
    pending.set(id, runs.slice(-RUNS_MOST));
  };
  const look = async ({id, address}: DirectReplica): Promise<void> => {
    if (dialling.has(id)) return;
    dialling.add(id);
    const answer = await options.dial(address);
    dialling.delete(id);
    if (answer === 'refused' && !options.isLeaving(id)) replicaEnded(id);
  };

  return {
    broke: (digest, replica) => {
      left(digest, replica);
      if (!ended.has(replica.id)) void look(replica);
    },
    left,
    replicaEnded,
  };
}
