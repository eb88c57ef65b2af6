/**
 * Answers an entry that sent a go and heard nothing: did it start? "Never
 * started" is said only after the id was tombstoned, so that a go still on its
 * way can not run after the answer.
 */
import type {AbandonReq, AbandonRes} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import type {Run} from './run.js';

export type AbandonHandler = (req: AbandonReq) => AbandonRes;

export function createAbandonHandler(
  core: SideCore,
  lifecycle: Lifecycle,
): AbandonHandler {
  const {ctx, table, tombstones, incarnation} = core;

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

  const cancelUnlessSent = (run: Run, message: string): AbandonRes['state'] => {
    const isSentCall = run.offer.kind === 'call' && run.started;
    if (!isSentCall) lifecycle.cancel(run, 'cancelled', message);
    if (run.started) return 'started';
    return tombstones.get(run.id) === undefined ? 'unknown' : 'never-started';
  };

  const abandonOwned = (run: Run, entry: string): AbandonRes['state'] => {
    // Another entry has taken the run over: it is no longer this one's to end.
    if (run.owner !== entry) return run.started ? 'started' : 'unknown';
    const state = cancelUnlessSent(run, 'the entry abandoned the run');
    run.delivered = true;
    return state;
  };

  /** The caller's own wish, at whichever entry it was told. */
  const cancelForCaller = (
    dispatchId: string,
    organisation: string,
  ): AbandonRes['state'] => {
    const run = table.get(dispatchId);
    // One organisation must not end another's run, nor learn that there is one.
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
