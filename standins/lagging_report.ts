/**
 * A load report that lags: it shows the figures as they stood a set time ago.
 * It needs no timer, so that an idle engine costs nothing.
 */

/** Snapshots closer together than this are merged. */
const GRAIN_MS = 50;

interface Snapshot<T> {
  readonly at: number;
  readonly value: T;
}

export interface LaggingReport<T> {
  /** Call after each change. */
  changed(): void;
  /** What held `lagMs` ago. */
  read(): T;
}

/** Begins with what `take` gives now. */
export function createLaggingReport<T>(
  now: () => number,
  lagMs: number,
  take: () => T,
): LaggingReport<T> {
  const snapshots: Snapshot<T>[] = [{at: now(), value: take()}];

  const prune = (before: number) => {
    let old = 0;
    while (old + 1 < snapshots.length && snapshots[old + 1].at <= before) {
      old += 1;
    }
    if (old > 0) snapshots.splice(0, old);
  };

  return {
    changed: () => {
      const at = now();
      prune(at - lagMs);
      const last = snapshots[snapshots.length - 1];
      // The merged one keeps its time: its values are newer than it says.
      const isMerged = at - last.at < GRAIN_MS && snapshots.length > 1;
      if (isMerged) snapshots.pop();
      snapshots.push({at: isMerged ? last.at : at, value: take()});
    },
    read: () => {
      prune(now() - lagMs);
      return snapshots[0].value;
    },
  };
}
