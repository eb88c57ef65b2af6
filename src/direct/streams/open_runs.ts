/**
 * The runs of one streaming request that may still deliver its answer: usually
 * one. While a run is silent, a second one may be started elsewhere. Whichever
 * sends the next event goes on alone, and the others are cancelled: each event
 * comes from one run, and no run is let go before another has delivered.
 */
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';
import type {RequestPlacement} from '../request_placement.js';
import type {ServeContext} from '../serve_context.js';
import type {DirectReplica} from '../types.js';
import {isUnsent, startStreamAttempt} from './stream_attempt.js';
import type {StreamOutcome} from './stream_attempt.js';
import type {StreamProgress} from './stream_progress.js';

/** A run that has ended by itself, not because another one was ahead. */
export interface EndedRun {
  readonly replica: DirectReplica;
  readonly outcome: StreamOutcome;
}

export interface OpenRuns {
  /** Sends the request to the placement's replica. */
  start(placement: RequestPlacement): void;
  /** Whether no run is open that is not silent. */
  needsAnother(): boolean;
  /**
   * Whether another replica is to be sought now: at first, after a run has
   * ended, and each time that all open runs have been silent for a while.
   * Returns true once for each such time.
   */
  takeDue(): boolean;
  /** The next run that has ended; each is returned once. */
  takeEnded(): EndedRun | undefined;
  /** Resolves when a run has ended or fallen silent since the last call. */
  changed(): Promise<void>;
  count(): number;
  /** Whether no run is open and none has ended that was not taken. */
  isIdle(): boolean;
  /** Logs why the silent runs are all that the request has. */
  noteNoOther(reason: string): void;
  cancelAll(): void;
  /**
   * Ids of replicas that may be asked once more: their runs were cancelled for
   * another one, or they refused the request beside a silent run some time ago.
   */
  readonly askable: ReadonlySet<string>;
  /** Replicas that were reached and are not counted as attempts. */
  uncountedReplicas(): number;
}

interface OpenRun {
  readonly placement: RequestPlacement;
  /** Since when it has been silent, on this process's clock. */
  silentSince: number | undefined;
  cancel(): void;
}

export function createOpenRuns(
  ctx: ServeContext,
  exchange: Exchange,
  progress: StreamProgress,
): OpenRuns {
  const {clock, log, metrics} = ctx;
  const open = new Set<OpenRun>();
  const ended: EndedRun[] = [];
  const askable = new Set<string>();
  /** Those that refused the request since a run was last reported as silent. */
  const refused = new Set<string>();
  const askedAgain = new Set<string>();
  let isDue = true;
  let hasChanged = false;
  let notifyWaiting = () => {};
  let loggedReason: string | undefined;

  const notify = () => {
    hasChanged = true;
    notifyWaiting();
  };
  const needsAnother = () =>
    [...open].every(({silentSince}) => silentSince !== undefined);
  const countSilence = (outcome: 'resumed' | 'superseded' | 'ended') =>
    metrics.count('onyxloft_direct_silent_runs_total', {outcome});

  const fieldsOf = ({placement, silentSince = clock.now()}: OpenRun) => ({
    requestId: exchange.id,
    replica: placement.replica.id,
    silentMs: Math.round(clock.now() - silentSince),
    events: progress.events,
  });
  const close = (run: OpenRun): void => {
    open.delete(run);
    run.placement.close();
  };
  const cancel = (run: OpenRun): void => {
    close(run);
    run.cancel();
  };
  /** The attempt is not counted; the replica may be asked once more. */
  const uncount = (id: string, uncounted: Set<string>): void => {
    if (askedAgain.has(id)) return;
    uncounted.add(id);
    exchange.attempts--;
  };
  const askRefusedAgain = (): void => {
    for (const id of refused) askable.add(id);
    refused.clear();
  };
  const onSilent = (run: OpenRun, silentMs: number): void => {
    run.silentSince ??= clock.now() - silentMs;
    if (!needsAnother()) return;
    askRefusedAgain();
    isDue = true;
    notify();
  };
  /** The run has an event that the caller has not. */
  const onAhead = (run: OpenRun): void => {
    if (run.silentSince !== undefined) {
      log(DIRECT_EVENTS.runResumed, fieldsOf(run));
      countSilence('resumed');
      run.silentSince = undefined;
      loggedReason = undefined;
    }
    for (const other of [...open]) {
      if (other === run) continue;
      const by = run.placement.replica.id;
      log(DIRECT_EVENTS.runSuperseded, {...fieldsOf(other), by});
      if (other.silentSince !== undefined) countSilence('superseded');
      cancel(other);
      uncount(other.placement.replica.id, askable);
    }
  };
  const onEnded = (run: OpenRun, outcome: StreamOutcome): void => {
    if (!open.delete(run)) return;
    const {replica} = run.placement;
    // First of all: the request waits for it, whatever fails below.
    ended.push({replica, outcome});
    isDue = true;
    notify();
    if (run.silentSince !== undefined) countSilence('ended');
    run.placement.close();
    // It was reached before, and counts among the replicas of the route again.
    if (askedAgain.has(replica.id) && isUnsent(outcome)) exchange.attempts++;
    if (outcome.kind === 'not-run' && open.size > 0) {
      uncount(replica.id, refused);
    } else {
      askRefusedAgain();
    }
  };

  return {
    askable,
    uncountedReplicas: () => askable.size + refused.size,
    start: placement => {
      const {id} = placement.replica;
      if (askable.delete(id)) askedAgain.add(id);
      // Most silent runs are superseded, and their load would make the replicas
      // look fuller than they are.
      for (const {placement: silent} of open) silent.endLoad();
      const run: OpenRun = {
        placement,
        silentSince: undefined,
        cancel: () => undefined,
      };
      open.add(run);
      try {
        const attempt = startStreamAttempt(ctx, exchange, placement, progress, {
          onSilent: silentMs => onSilent(run, silentMs),
          onAhead: () => onAhead(run),
          onEnded: outcome => onEnded(run, outcome),
        });
        run.cancel = attempt.cancel;
      } catch (err) {
        close(run);
        throw err;
      }
    },
    needsAnother,
    takeDue: () => {
      const wasDue = isDue && needsAnother();
      isDue = false;
      return wasDue;
    },
    takeEnded: () => ended.shift(),
    changed: async () => {
      if (!hasChanged) {
        await new Promise<void>(resolve => {
          notifyWaiting = resolve;
        });
      }
      hasChanged = false;
    },
    count: () => open.size,
    isIdle: () => open.size === 0 && ended.length === 0,
    noteNoOther: reason => {
      if (reason === loggedReason) return;
      loggedReason = reason;
      for (const run of open) {
        log(DIRECT_EVENTS.runKept, {...fieldsOf(run), reason});
      }
    },
    cancelAll: () => [...open].forEach(cancel),
  };
}
