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
  // A caller comes to another entry for its answer. That entry asks all sides
  // at once; the one that runs the request answers first, one that knows
  // nothing of it answers last. The caller must not be told that there is no
  // such request.
  it('holds on to what is found when a side that knows nothing answers last', async () => {
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
