/** What a side promises before it has learned, and from what it has learned. */
import {describe, expect, test} from 'vitest';
import {DEFAULT_RATE_PRIORS} from '../src/side/learned_rates.js';
import {createSideRig} from './support/side_rig.js';

/** Answers of 200 tokens, of which the caller allowed ten times as many. */
const LOOSE = {maxTokens: 2_000, timeLeftMs: 30_000};
const priors = DEFAULT_RATE_PRIORS;

async function runOf(
  rig: Awaited<ReturnType<typeof createSideRig>>,
  id: string,
) {
  const offered = await rig.offer(id, LOOSE);
  if (offered.kind === 'accepted') rig.goWithPrompt(id, LOOSE.timeLeftMs);
  await rig.clock.runFor(29_000);
  return {offered, state: await rig.stateOf(id)};
}

describe('a side that has seen no run', () => {
  // A fresh fleet: the first completion allows 2,000 tokens in 30 s. At the
  // assumed 25 ms a step that is 50 s, so that each side refused it for good,
  // and none could ever learn that engines are quicker or answers shorter.
  test('takes a first run that allows more tokens than it has time for', async () => {
    const rig = await createSideRig({priors, model: {answerTokens: () => 200}});
    const first = await runOf(rig, 'r1.0');
    expect(first).toMatchObject({offered: {kind: 'accepted'}, state: 'ended'});
  });

  // The engine prefills twice as fast as assumed: 100,000 tokens in 7 s, not
  // in 12.5 s. A refusal on the assumption would stand until shorter prompts
  // had taught the side better.
  test('doubts the assumed prefill rate too, within bounds', async () => {
    const rig = await createSideRig({priors});
    const offer = (id: string, timeLeftMs: number) =>
      rig.offer(id, {promptTokens: 100_000, timeLeftMs});
    expect(await offer('r1.0', 2_000)).toMatchObject({reason: 'too-late'});
    expect(await offer('r2.0', 9_000)).toMatchObject({kind: 'accepted'});
  });
});

describe('a side that has seen answers end', () => {
  const taught = async (...answerTokens: readonly number[]) => {
    let asked = 0;
    const next = () => answerTokens[asked++ % answerTokens.length];
    const rig = await createSideRig({priors, model: {answerTokens: next}});
    for (let count = 0; count < 20; count++) {
      const id = `t${count}.0`;
      await rig.offer(id, {maxTokens: 2_000, timeLeftMs: 600_000});
      rig.goWithPrompt(id, 600_000);
      await rig.clock.runFor(1_000);
    }
    // To the end of the last, and no longer: what is learned is doubted once
    // nothing was seen for a while.
    await rig.clock.runFor(45_000);
    return rig;
  };

  test('expects answers as long as they were, not as long as allowed', async () => {
    const rig = await taught(200);
    expect(await rig.offer('r1.0', LOOSE)).toMatchObject({kind: 'accepted'});
  });

  test('refuses at once what answers of that length make late', async () => {
    const rig = await taught(2_000);
    expect(await rig.offer('r1.0', LOOSE)).toMatchObject({
      reason: 'too-late',
      retryAfterMs: 0,
    });
  });

  // One answer in five takes 40 s. The mean of all would end in good time, and
  // each of the long ones would be admitted and end late.
  test('refuses too what answers of some length make late', async () => {
    const rig = await taught(200, 200, 200, 200, 2_000);
    expect(await rig.offer('r1.0', LOOSE)).toMatchObject({reason: 'too-late'});
  });
});

describe('a side whose engine was slow by a fault', () => {
  // Runs on the slowed engine teach the side a rate far too low. The engine is
  // well again, but each prompt is refused as too late at the learned rate, and
  // what is refused teaches nothing: without doubt it would refuse for good.
  test('takes work again once the engine is well', async () => {
    const rig = await createSideRig({priors});
    rig.model.slow(100);
    await rig.offer('r1.0', {promptTokens: 30_000, timeLeftMs: 900_000});
    rig.goWithPrompt('r1.0', 900_000);
    await rig.clock.runFor(300_000);
    rig.model.slow(1);
    const offer = {promptTokens: 30_000, timeLeftMs: 20_000};
    expect(await rig.offer('r2.0', offer)).toMatchObject({reason: 'too-late'});
    await rig.clock.runFor(60_000);
    expect(await rig.offer('r3.0', offer)).toMatchObject({kind: 'accepted'});
  });
});
