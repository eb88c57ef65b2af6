/** When a side tells probes and operators that it is ready. */
import {Left} from 'purify-ts';
import {describe, expect, test} from 'vitest';
import {createSideOperatorHandlers} from '../src/side/operator_handlers.js';
import {OnyxError} from '../src/types/errors.js';
import {createSideRig} from './support/side_rig.js';

const DOWN_MS = 6_000;

async function rigWithSwitch(startsDown: boolean) {
  let down = startsDown;
  const rig = await createSideRig({
    wrapEngine: engine => ({
      ...engine,
      report: () => (down ? Promise.resolve(Left(refused)) : engine.report()),
    }),
  });
  const handlers = createSideOperatorHandlers(rig.kernel(), {
    node: 'side-1',
    drain: () => undefined,
  });
  return {
    ...rig,
    ready: () => rig.answer(handlers.ready()),
    setDown: (value: boolean) => {
      down = value;
    },
  };
}

const refused = new OnyxError({
  code: 'peer-unreachable',
  step: 'run',
  peer: 'engine',
  message: 'connect ECONNREFUSED',
});

describe('the readiness of a side', () => {
  // Side and engine start together, and the side's first question comes too
  // early. Until the next one, a second later, it refuses each offer; a probe
  // that called it ready would send the first requests into those refusals.
  test('waits until the engine has answered once', async () => {
    const rig = await rigWithSwitch(true);
    expect(await rig.ready()).toBe(false);
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'engine-down'});
    rig.setDown(false);
    await rig.clock.runFor(1_100);
    expect(await rig.ready()).toBe(true);
    expect(await rig.offer('r2.0')).toMatchObject({kind: 'accepted'});
  });

  // The engine dies in service. Its last report goes stale, the side refuses,
  // and the probe learns it at the same moment as the callers do.
  test('ends when the engine has not answered for too long', async () => {
    const rig = await rigWithSwitch(false);
    expect(await rig.ready()).toBe(true);
    rig.setDown(true);
    await rig.clock.runFor(DOWN_MS);
    expect(await rig.ready()).toBe(false);
  });

  test('ends with the start of a drain', async () => {
    const rig = await rigWithSwitch(false);
    void rig.drain();
    expect(await rig.ready()).toBe(false);
  });
});
