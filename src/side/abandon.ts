/**
 * Handles `abandon` calls: an entry that got no reply to its `go` gives the
 * dispatch up and asks whether the run started. The reply is `never-started`
 * only after a tombstone for the id was recorded. A `go` that is still in
 * transit therefore cannot start the run after the reply.
 */
import type {AbandonReq, AbandonRes} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import type {Run} from './run.js';

/** Cancels or tombstones a dispatch and replies with its state. */
export type AbandonHandler = (req: AbandonReq) => AbandonRes;

/** Creates the handler of `abandon` calls. */
export function createAbandonHandler(
  core: SideCore,
  lifecycle: Lifecycle,
): AbandonHandler {
  const {ctx, table, tombstones, incarnation} = core;

  /** A dispatch that is not in the run table. */
  const abandonUnknown = (req: AbandonReq): AbandonRes['state'] => {
    const tombstone = tombstones.get(req.dispatchId);
    if (tombstone !== undefined) {
      return tombstone.started ? 'started' : 'never-started';
    }
    const recorded = tombstones.add(
      {
        dispatchId: req.dispatchId,
        organisation: '',
        started: false,
        answer: undefined,
      },
      ctx.clock.now(),
    );
    return recorded ? 'never-started' : 'unknown';
  };

  /** Cancels a run. A call that was sent to its service keeps running. */
  const cancelUnlessSent = (run: Run, message: string): AbandonRes['state'] => {
    const isSentCall = run.offer.kind === 'call' && run.started;
    if (!isSentCall) lifecycle.cancel(run, 'cancelled', message);
    if (run.started) return 'started';
    return tombstones.get(run.id) === undefined ? 'unknown' : 'never-started';
  };

  const abandonOwned = (run: Run, entry: string): AbandonRes['state'] => {
    // Another entry has taken the run over, so this entry must not cancel it.
    if (run.owner !== entry) return run.started ? 'started' : 'unknown';
    const state = cancelUnlessSent(run, 'the entry abandoned the run');
    run.delivered = true;
    return state;
  };

  /** The caller cancels its request at an entry that may not own the run. */
  const cancelForCaller = (
    dispatchId: string,
    organisation: string,
  ): AbandonRes['state'] => {
    const run = table.get(dispatchId);
    // An organisation must not cancel or detect another organisation's run.
    if (run?.offer.organisation !== organisation) return 'unknown';
    return cancelUnlessSent(
      run,
      'the caller cancelled the request at another entry',
    );
  };

  const decide = (req: AbandonReq): AbandonRes['state'] => {
    const organisation = req.organisation ?? '';
    if (organisation !== '')
      return cancelForCaller(req.dispatchId, organisation);
    if (req.incarnation !== incarnation) return 'unknown';
    const run = table.get(req.dispatchId);
    return run === undefined
      ? abandonUnknown(req)
      : abandonOwned(run, req.entry);
  };

  return req => {
    const state = decide(req);
    ctx.log(SIDE_EVENTS.runAbandoned, {dispatchId: req.dispatchId, state});
    return {state, incarnation};
  };
}
