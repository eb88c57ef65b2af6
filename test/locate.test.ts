import {Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {locateRun} from '../src/entry/resume/locate_run.js';
import {DEFAULT_REQUEST_TIMING} from '../src/entry/timing.js';
import {createVirtualClock} from './support/virtual_clock.js';
import type {LocateRes} from '../src/types/peer_messages.js';
import type {Transport} from '../src/types/transport.js';

const NONE: LocateRes = {
  state: 'none',
  dispatchId: '',
  nextSeq: 0,
  kind: 'completion',
};
const RUNNING: LocateRes = {...NONE, state: 'running', dispatchId: 'r.1'};

describe('locating a run', () => {
  // The side that runs the request answers first, one that does not know it
  // last. The late answer must not discard the run that was found.
  it('keeps the run that was found when a side without it answers last', async () => {
    const answers = new Map<string, (res: LocateRes) => void>();
    const call = (side: string) =>
      new Promise(resolve => {
        answers.set(side, res => resolve(Right(res)));
      });
    const located = locateRun({
      clock: createVirtualClock(),
      transport: {call} as unknown as Transport,
      timing: DEFAULT_REQUEST_TIMING,
      id: 'r',
      organisation: 'o',
      sideHint: '',
      allSides: ['knows', 'knows-nothing'],
    });
    answers.get('knows')?.(RUNNING);
    await new Promise(setImmediate);
    answers.get('knows-nothing')?.(NONE);
    expect(await located).toEqual({side: 'knows', res: RUNNING});
  });
});
