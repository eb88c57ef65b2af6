/** When a side reports itself as ready to probes and operators. */
import {Left} from 'purify-ts';
import {describe, expect, test} from 'vitest';
import {createSideOperatorHandlers} from '../src/side/operator_handlers.js';
import {OnyxError} from '../src/types/errors.js';
import {createSideRig} from './support/side_rig.js';

/** Longer than the default `upstreamDownMs`. */
const DOWN_MS = 6_000;

async function createRigWithOutage(startsDown: boolean) {
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
    ready: () => rig.awaitReply(handlers.ready()),
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
  // The side's first request for a report fails when both start together. If it
  // were ready before the next one, the first requests would be refused.
  test('begins once the engine has sent a report', async () => {
    const rig = await createRigWithOutage(true);
    expect(await rig.ready()).toBe(false);
    expect(await rig.offer('r1.0')).toMatchObject({reason: 'engine-down'});
    rig.setDown(false);
    await rig.clock.runFor(1_100);
    expect(await rig.ready()).toBe(true);
    expect(await rig.offer('r2.0')).toMatchObject({kind: 'accepted'});
  });

  // The engine crashes and its last report becomes stale. The probe must fail
  // from the moment at which the side refuses offers.
  test('ends when the engine has sent no report for too long', async () => {
    const rig = await createRigWithOutage(false);
    expect(await rig.ready()).toBe(true);
    rig.setDown(true);
    await rig.clock.runFor(DOWN_MS);
    expect(await rig.ready()).toBe(false);
  });

  test('ends when a drain starts', async () => {
    const rig = await createRigWithOutage(false);
    void rig.drain();
    expect(await rig.ready()).toBe(false);
  });
});
