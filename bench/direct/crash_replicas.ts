/** Modelled replicas that run requests, and break them off when they crash. */
import type {Clock, Random} from '../../src/types/runtime.js';

const REBORN_MS = 3_000;
/** From a broken connection until the refused one that shows the end. */
const PROBE_MS = 20;

export interface Replica {
  readonly at: number;
  start: number;
  isUp: boolean;
  readonly runs: Set<Run>;
}

/** One run of a request at a replica. */
export interface Run {
  /** It ends well by itself after this time. */
  readonly lastsMs: number;
  /** It crashes its replica after this time. */
  readonly crashMs: number | undefined;
  onWell(): void;
  /** The replica crashed; it is named by its start. */
  onBroken(replicaId: string): void;
}

export interface Replicas {
  /** One that is up; undefined where none is. */
  draw(): Replica | undefined;
  run(replica: Replica, run: Run): void;
  /** A share of them crashes by itself. */
  storm(share: number): void;
}

export function createReplicas(
  clock: Clock,
  random: Random,
  count: number,
): Replicas {
  const replicas: readonly Replica[] = Array.from({length: count}, (_, at) => ({
    at,
    start: 1,
    isUp: true,
    runs: new Set<Run>(),
  }));

  const crash = (replica: Replica): void => {
    if (!replica.isUp) return;
    replica.isUp = false;
    const id = `replica-${replica.at}@${replica.start}`;
    const broken = [...replica.runs];
    replica.runs.clear();
    for (const run of broken) clock.after(PROBE_MS, () => run.onBroken(id));
    clock.after(REBORN_MS, () => {
      replica.start++;
      replica.isUp = true;
    });
  };

  return {
    draw: () => {
      const up = replicas.filter(({isUp}) => isUp);
      return up[Math.floor(random.next() * up.length)];
    },
    run: (replica, run) => {
      replica.runs.add(run);
      if (run.crashMs !== undefined) {
        clock.after(run.crashMs, () => {
          if (replica.runs.has(run)) crash(replica);
        });
      }
      clock.after(run.lastsMs, () => {
        if (replica.runs.delete(run)) run.onWell();
      });
    },
    storm: share =>
      replicas.forEach(replica => {
        if (random.next() < share) crash(replica);
      }),
  };
}
