/** Predictions of a side before and after it has observed runs. */
import {describe, expect, test} from 'vitest';
import {DEFAULT_RATE_PRIORS} from '../src/side/learned_rates.js';
import {createSideRig} from './support/side_rig.js';

/** Allows ten times as many tokens as an answer of 200 tokens has. */
const GENEROUS = {maxTokens: 2_000, timeLeftMs: 30_000};
const priors = DEFAULT_RATE_PRIORS;

async function offerAndRun(
  rig: Awaited<ReturnType<typeof createSideRig>>,
  id: string,
) {
  const offered = await rig.offer(id, GENEROUS);
  if (offered.kind === 'accepted') rig.goWithPrompt(id, GENEROUS.timeLeftMs);
  await rig.clock.runFor(29_000);
  return {offered, state: await rig.stateOf(id)};
}

describe('a side without observations', () => {
  // 2,000 allowed tokens take 50 s at the assumed 25 ms per step. A side that
  // refused them for a limit of 30 s would never observe the actual speed.
  test('accepts a run whose allowed tokens would exceed its time limit', async () => {
    const rig = await createSideRig({priors, model: {answerTokens: () => 200}});
    const first = await offerAndRun(rig, 'r1.0');
    expect(first).toMatchObject({offered: {kind: 'accepted'}, state: 'ended'});
  });

  // The engine prefills 100,000 tokens in 7 s, not in the assumed 12.5 s. A
  // refusal based on the assumption would last until shorter prompts ran.
  test('allows for a faster prefill than assumed, up to a limit', async () => {
    const rig = await createSideRig({priors});
    const offer = (id: string, timeLeftMs: number) =>
      rig.offer(id, {promptTokens: 100_000, timeLeftMs});
    expect(await offer('r1.0', 2_000)).toMatchObject({reason: 'too-late'});
    expect(await offer('r2.0', 9_000)).toMatchObject({kind: 'accepted'});
  });
});

describe('a side that has observed answers', () => {
  const createTrainedRig = async (...answerTokens: readonly number[]) => {
    let answerCount = 0;
    const nextLength = () => answerTokens[answerCount++ % answerTokens.length];
    const rig = await createSideRig({
      priors,
      model: {answerTokens: nextLength},
    });
    for (let count = 0; count < 20; count++) {
      const id = `t${count}.0`;
      await rig.offer(id, {maxTokens: 2_000, timeLeftMs: 600_000});
      rig.goWithPrompt(id, 600_000);
      await rig.clock.runFor(1_000);
    }
    // Until the last answer ends and no longer: the side becomes optimistic
    // after refusals without observations.
    await rig.clock.runFor(45_000);
    return rig;
  };

  test('predicts answers by their observed length, not the allowed one', async () => {
    const rig = await createTrainedRig(200);
    expect(await rig.offer('r1.0', GENEROUS)).toMatchObject({kind: 'accepted'});
  });

  test('refuses a run at once when answers of that length would end late', async () => {
    const rig = await createTrainedRig(2_000);
    expect(await rig.offer('r1.0', GENEROUS)).toMatchObject({
      reason: 'too-late',
      retryAfterMs: 0,
    });
  });

  // One answer in five takes 40 s. An answer of mean length would end in time,
  // but each of the long ones would be accepted and end late.
  test('refuses a run when a share of the answers would end late', async () => {
    const rig = await createTrainedRig(200, 200, 200, 200, 2_000);
    expect(await rig.offer('r1.0', GENEROUS)).toMatchObject({
      reason: 'too-late',
    });
  });
});

describe('a side whose engine was slow because of a fault', () => {
  // The learned rate is far too low after the engine has recovered. Refused
  // prompts give no observations, so the side would refuse them forever.
  test('accepts work again once the engine has recovered', async () => {
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
