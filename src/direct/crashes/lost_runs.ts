/**
 * Determines whether a replica's process ended during a run whose connection
 * was lost. A broken connection alone is no proof, since networks fail too. A
 * host whose process has ended refuses new connections at once, so the
 * replica's port is probed.
 */
import type {Clock} from '../../types/runtime.js';
import {
  createGuard,
  guardClock,
  toProcess,
} from '../../utils/callback_guard.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import type {ProbePort} from './port_probe.js';
import type {DirectReplica} from '../types.js';

/**
 * A replica's end is attributed to the runs that were lost at most this long
 * before or after it was noticed.
 */
const ATTRIBUTION_WINDOW_MS = 5_000;
/** Most lost runs kept for one replica; beyond it the oldest are dropped. */
const MAX_RUNS_PER_REPLICA = 64;
/**
 * Delay of the probe after a connection broke. A process that ends closes its
 * connections a moment before its port.
 */
const BROKEN_PROBE_DELAY_MS = 20;
/**
 * Delay of the probe after a suspect run was cancelled. The run may continue
 * for this long at most and crash the replica in that time.
 */
const CANCELLED_PROBE_DELAY_MS = 300;
/**
 * Most probes of a replica whose record was removed, while its host does not
 * answer them. A paused replica writes no heartbeats, so its record may be
 * removed, and its host accepts no connection while its queue of them is full.
 */
const REMOVED_PROBES = 4;
/** Pause between these probes, in milliseconds. */
const REMOVED_PROBE_PAUSE_MS = 400;

interface LostRun<R> {
  readonly run: R;
  /** Time of the loss on this process's clock, in milliseconds. */
  readonly at: number;
  /**
   * True when the connection broke, false when this entry cancelled the run.
   * A replica that accepts connections after a broken run did not crash.
   */
  readonly isBroken: boolean;
}

/** `R` describes a run to those who are told of it. */
export interface LostRuns<R> {
  /** The run's connection broke or fell silent. Probes the replica. */
  runBroken(run: R, replica: DirectReplica): void;
  /**
   * The run was cancelled. It counts if the replica is found to have ended; the
   * replica is not probed for it.
   */
  runCancelled(run: R, replica: DirectReplica): void;
  /** The run of a suspect request was cancelled. Probes the replica. */
  suspectRunCancelled(run: R, replica: DirectReplica): void;
  /** Another source reports that the replica with this id has ended. */
  replicaEnded(replicaId: string): void;
  /**
   * The replica's record is gone. If it lost runs recently, it is probed, and
   * they count as ended with it unless it listens or is recorded again. Later
   * ones do not, since the process may still serve for a while.
   */
  recordRemoved(replica: DirectReplica): void;
  /** Whether the replica was found to have ended in the last seconds. */
  hasEnded(replicaId: string): boolean;
}

export interface LostRunsOptions<R> extends StepOwner {
  readonly clock: Clock;
  readonly probePort: ProbePort;
  /** Whether the replica is shutting down, so that its end is not a crash. */
  isLeaving(replicaId: string): boolean;
  /** Id of the replica that is known at the address; undefined without one. */
  replicaAt(address: string): string | undefined;
  /** The replica ended during the run. */
  onEnded(run: R, replicaId: string): void;
}

export function createLostRuns<R>(options: LostRunsOptions<R>): LostRuns<R> {
  const guard = createGuard(options.onError ?? toProcess);
  const clock = guardClock(options.clock, guard, 'look-up of a replica');
  /** An error at one run leaves the other runs their ends. */
  const onEnded = guard('run that ended', options.onEnded);
  /** Lost runs by replica id; each start of a replica has its own id. */
  const lostRuns = new Map<string, Array<LostRun<R>>>();
  /** Times at which replicas were found to have ended, by replica id. */
  const endedAt = new Map<string, number>();
  /** Scheduled probes, as replica id and delay. */
  const scheduledProbes = new Set<string>();
  /** Replicas whose records were removed and which are probed. */
  const removedIds = new Set<string>();

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));
  const isRecent = (at: number) => clock.now() - at <= ATTRIBUTION_WINDOW_MS;
  const dropOld = () => {
    for (const [id, at] of endedAt) if (!isRecent(at)) endedAt.delete(id);
    for (const [id, runs] of lostRuns) {
      const kept = runs.filter(({at}) => isRecent(at));
      if (kept.length > 0) lostRuns.set(id, kept);
      else lostRuns.delete(id);
    }
  };
  const replicaEnded = (replicaId: string): void => {
    dropOld();
    endedAt.set(replicaId, clock.now());
    const runs = lostRuns.get(replicaId) ?? [];
    lostRuns.delete(replicaId);
    for (const {run} of runs) onEnded(run, replicaId);
  };
  const addRun = (run: R, {id}: DirectReplica, isBroken: boolean): void => {
    dropOld();
    if (endedAt.has(id)) {
      onEnded(run, id);
      return;
    }
    const runs = lostRuns.get(id) ?? [];
    runs.push({run, at: clock.now(), isBroken});
    lostRuns.set(id, runs.slice(-MAX_RUNS_PER_REPLICA));
  };
  /** The replica is alive, so runs that broke up to `since` did not crash it. */
  const dropSurvivedRuns = (replicaId: string, since: number): void => {
    const runs = lostRuns.get(replicaId) ?? [];
    const kept = runs.filter(({at, isBroken}) => !isBroken || at > since);
    lostRuns.set(replicaId, kept);
  };
  const probe = async ({id, address}: DirectReplica): Promise<void> => {
    const since = clock.now();
    const state = await options.probePort(address);
    if (state === 'open') dropSurvivedRuns(id, since);
    if (state === 'refused' && !options.isLeaving(id)) replicaEnded(id);
  };
  /** Resolves with whether a replica without a record has ended. */
  const hasRemovedEnded = async ({
    id,
    address,
  }: DirectReplica): Promise<boolean> => {
    for (let probes = 1; ; probes++) {
      const since = clock.now();
      const state = await options.probePort(address);
      const known = options.replicaAt(address);
      if (known !== undefined) return known !== id;
      if (state === 'open') dropSurvivedRuns(id, since);
      if (state !== 'silent') return state === 'refused';
      if (probes === REMOVED_PROBES) return true;
      await pause(REMOVED_PROBE_PAUSE_MS);
    }
  };
  const recordRemoved = async (replica: DirectReplica): Promise<void> => {
    const {id} = replica;
    dropOld();
    const runs = [...(lostRuns.get(id) ?? [])];
    if (runs.length === 0 || removedIds.has(id)) return;
    removedIds.add(id);
    const hasEnded = await hasRemovedEnded(replica).finally(() =>
      removedIds.delete(id),
    );
    // Another source may have reported the end meanwhile.
    if (!hasEnded || endedAt.has(id)) return;
    const later = (lostRuns.get(id) ?? []).filter(run => !runs.includes(run));
    lostRuns.set(id, later);
    for (const {run} of runs) onEnded(run, id);
  };
  const scheduleProbe = (replica: DirectReplica, delayMs: number): void => {
    const key = `${replica.id}/${delayMs}`;
    if (scheduledProbes.has(key) || endedAt.has(replica.id)) return;
    scheduledProbes.add(key);
    clock.after(delayMs, () => {
      scheduledProbes.delete(key);
      guard('look-up of a replica', probe)(replica);
    });
  };

  return {
    runBroken: (run, replica) => {
      addRun(run, replica, true);
      scheduleProbe(replica, BROKEN_PROBE_DELAY_MS);
    },
    runCancelled: (run, replica) => addRun(run, replica, false),
    suspectRunCancelled: (run, replica) => {
      addRun(run, replica, false);
      scheduleProbe(replica, CANCELLED_PROBE_DELAY_MS);
    },
    replicaEnded,
    recordRemoved: guard('look-up of a removed replica', recordRemoved),
    hasEnded: replicaId => isRecent(endedAt.get(replicaId) ?? -Infinity),
  };
}
